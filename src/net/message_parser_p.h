#pragma once
// Collects the parts of one HTTP message parsed by Boost.Beast: start line,
// fields and decoded body.

#include "net/http_fields_p.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace siskindeal {

// Bytes that may arrive before the parser can use them, beyond a head: the line
// with a chunk's size, or a trailer, which the parser takes only whole.
inline constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

template<bool isRequest>
class MessageParser final : public boost::beast::http::basic_parser<isRequest>
{
public:
  MessageParser(std::uint32_t aMaxHeadBytes, std::uint64_t aMaxBodyBytes)
  {
    this->header_limit(aMaxHeadBytes);
    this->body_limit(aMaxBodyBytes);
    this->eager(true);
  }

  std::string m_method; // of a request
  std::string m_target;
  int m_version = 11; // ten times the HTTP version, of a request
  int m_status = 0;   // of a response
  std::string m_reason;
  HttpFields m_fields;
  std::optional<std::uint64_t> m_length; // unset: chunked, or until close
  std::string m_body;                    // received so far
  bool m_hasHead = false;

private:
  using StringView = boost::beast::string_view;
  using Error = boost::beast::error_code;

  static std::string_view View(StringView aText)
  {
    return { aText.data(), aText.size() };
  }

  void on_request_impl(boost::beast::http::verb,
                       StringView aMethod,
                       StringView aTarget,
                       int aVersion,
                       Error&) override
  {
    m_version = aVersion;
    m_method = View(aMethod);
    m_target = View(aTarget);
  }
  void on_response_impl(int aCode, StringView aReason, int, Error&) override
  {
    m_status = aCode;
    m_reason = View(aReason);
  }
  void on_field_impl(boost::beast::http::field,
                     StringView aName,
                     StringView aValue,
                     Error&) override
  {
    m_fields.Add(View(aName), View(aValue));
  }
  void on_header_impl(Error&) override { m_hasHead = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         Error&) override
  {
    if (aLength) {
      m_length = *aLength;
    }
  }
  std::size_t on_body_impl(StringView aBody, Error&) override
  {
    m_body += View(aBody);
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, StringView, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 StringView aBody,
                                 Error&) override
  {
    m_body += View(aBody);
    return aBody.size();
  }
  void on_finish_impl(Error&) override {}
};

} // namespace siskindeal
