#pragma once
// Incremental SHA-256.

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
  // Returns the digest as 64 lower-case hexadecimal digits. No calls may
  // follow.
  std::string Finish();

private:
  evp_md_ctx_st* m_context;
};

} // namespace siskindeal
