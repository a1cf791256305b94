#pragma once
// A SHA-256 over bytes that come in pieces.

#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace siskindeal {

class Sha256Stream
{
public:
  Sha256Stream();
  ~Sha256Stream();
  Sha256Stream(const Sha256Stream&) = delete;
  Sha256Stream& operator=(const Sha256Stream&) = delete;

  void Add(std::string_view aBytes);
  // The digest as 64 lower-case hexadecimal digits; ends the stream.
  std::string Finish();

private:
  evp_md_ctx_st* m_context;
};

} // namespace siskindeal
