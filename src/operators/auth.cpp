#include "siskindeal/operators.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"

#include <openssl/crypto.h>

#include <charconv>

namespace siskindeal {

namespace {

struct Signature
{
  std::string m_keyId;
  std::string m_seconds; // Unix time
  std::string m_hmac;
};

[[noreturn]] void
ThrowUnauthenticated(const std::string& aWhat)
{
  throw Error(Reason::Unauthenticated, Verdict::NotRun, aWhat);
}

Signature
ParseSignature(const std::string& aText)
{
  const auto first = aText.find(':');
  const auto second =
    aText.find(':', first == std::string::npos ? first : first + 1);
  if (second == std::string::npos) {
    ThrowUnauthenticated("expected KEYID:UNIX_SECONDS:HMAC in " +
                         std::string(kOperatorAuthHeader));
  }
  return { aText.substr(0, first),
           aText.substr(first + 1, second - first - 1),
           aText.substr(second + 1) };
}

std::string
Hmac(const std::string& aSecret,
     const std::string& aMethod,
     const std::string& aSignedPath,
     const std::string& aSeconds,
     const std::string& aBody)
{
  return HmacSha256Hex(aSecret,
                       aMethod + "\n" + aSignedPath + "\n" + aSeconds + "\n" +
                         Sha256Hex(aBody));
}

bool
ConstantTimeEquals(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::chrono::seconds
ToUnixSeconds(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
    aTime.time_since_epoch());
}

void
CheckTimestamp(const std::string& aSeconds, WallTime aNow)
{
  std::int64_t seconds = 0;
  const char* end = aSeconds.data() + aSeconds.size();
  const auto [rest, error] = std::from_chars(aSeconds.data(), end, seconds);
  // Keeps the subtraction below within range.
  constexpr std::int64_t kMaxSeconds = 1LL << 40;
  if (error != std::errc{} || rest != end || seconds < 0 ||
      seconds > kMaxSeconds) {
    ThrowUnauthenticated("expected Unix time in seconds in the signature");
  }
  const auto skew =
    std::chrono::abs(std::chrono::seconds(seconds) - ToUnixSeconds(aNow));
  if (skew > kMaxSignatureClockSkew) {
    ThrowUnauthenticated(
      "the signature's timestamp differs by " + std::to_string(skew.count()) +
      " s from this process's clock; at most " +
      std::to_string(std::chrono::seconds(kMaxSignatureClockSkew).count()) +
      " s are allowed");
  }
}

} // namespace

std::string
SignedPath(const std::string& aPath, const HttpHeaders& aQuery)
{
  std::string text = aPath;
  char separator = '?';
  for (const auto& [name, value] : aQuery) {
    text.append(1, separator).append(name).append("=").append(value);
    separator = '&';
  }
  return text;
}

std::string
SignOperatorCall(const AuthSettings& aAuth,
                 const std::string& aMethod,
                 const std::string& aSignedPath,
                 const std::string& aBody,
                 WallTime aNow)
{
  const std::string seconds = std::to_string(ToUnixSeconds(aNow).count());
  const std::string& secret = aAuth.m_keys.at(aAuth.m_activeKey);
  return aAuth.m_activeKey + ":" + seconds + ":" +
         Hmac(secret, aMethod, aSignedPath, seconds, aBody);
}

void
VerifyOperatorCall(const AuthSettings& aAuth,
                   const HttpRequest& aRequest,
                   WallTime aNow)
{
  const auto header = aRequest.m_headers.find(std::string(kOperatorAuthHeader));
  if (header == aRequest.m_headers.end()) {
    ThrowUnauthenticated("expected a signature in the header " +
                         std::string(kOperatorAuthHeader));
  }
  const Signature signature = ParseSignature(header->second);
  const auto key = aAuth.m_keys.find(signature.m_keyId);
  if (key == aAuth.m_keys.end()) {
    ThrowUnauthenticated("unknown key id in the signature");
  }
  const std::string expected =
    Hmac(key->second,
         aRequest.m_method,
         SignedPath(aRequest.m_path, aRequest.m_query),
         signature.m_seconds,
         aRequest.m_body);
  if (!ConstantTimeEquals(expected, signature.m_hmac)) {
    ThrowUnauthenticated("the signature does not match the request");
  }
  CheckTimestamp(signature.m_seconds, aNow);
}

} // namespace siskindeal
