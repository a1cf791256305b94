#include "signature_p.h"

#include "siskindeal/digest.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/crypto.h>

#include <cstdint>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::size_t kSignatureParts = 4; // key id, time, VM, HMAC

std::int64_t
UnixSeconds(std::chrono::system_clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aTime.time_since_epoch())
    .count();
}

std::string
Hmac(const std::string& aSecret,
     std::string_view aMethod,
     std::string_view aSeconds,
     std::string_view aVm)
{
  std::string text(aMethod);
  text.append("\n").append(aSeconds).append("\n").append(aVm);
  return HmacSha256Hex(aSecret, text);
}

bool
EqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string
SignCall(const AuthSettings& aAuth,
         std::string_view aMethod,
         std::string_view aVm,
         std::chrono::system_clock::time_point aNow)
{
  const auto key = aAuth.m_keys.find(aAuth.m_activeKey);
  if (key == aAuth.m_keys.end()) {
    return {};
  }
  const auto seconds = std::to_string(UnixSeconds(aNow));
  return key->first + ":" + seconds + ":" + std::string(aVm) + ":" +
         Hmac(key->second, aMethod, seconds, aVm);
}

bool
VerifySignature(const AuthSettings& aAuth,
                std::string_view aMethod,
                std::string_view aSignature,
                std::chrono::system_clock::time_point aNow)
{
  if (aAuth.m_keys.empty()) {
    return true;
  }
  const std::vector<std::string> parts = absl::StrSplit(
    absl::string_view(aSignature.data(), aSignature.size()), ':');
  if (parts.size() != kSignatureParts) {
    return false;
  }
  const auto key = aAuth.m_keys.find(parts[0]);
  std::int64_t seconds = 0;
  if (key == aAuth.m_keys.end() || !absl::SimpleAtoi(parts[1], &seconds)) {
    return false;
  }
  if (std::abs(UnixSeconds(aNow) - seconds) > kMaxClockSkew.count()) {
    return false;
  }
  return EqualInConstantTime(Hmac(key->second, aMethod, parts[1], parts[2]),
                             parts[3]);
}

} // namespace siskindeal
