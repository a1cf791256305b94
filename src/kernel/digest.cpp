#include "siskindeal/digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>

namespace siskindeal {

namespace {

std::string
Hex(const unsigned char* aBytes, std::size_t aCount)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4];
    text += kDigits[aBytes[i] & 15];
  }
  return text;
}

} // namespace

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  if (EVP_Digest(aBytes.data(),
                 aBytes.size(),
                 digest.data(),
                 &length,
                 EVP_sha256(),
                 nullptr) != 1) {
    throw std::runtime_error("SHA-256 failed");
  }
  return Hex(digest.data(), length);
}

std::string
HmacSha256Hex(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  if (HMAC(EVP_sha256(),
           aKey.data(),
           static_cast<int>(aKey.size()),
           bytes,
           aBytes.size(),
           digest.data(),
           &length) == nullptr) {
    throw std::runtime_error("HMAC-SHA-256 failed");
  }
  return Hex(digest.data(), length);
}

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
NewId()
{
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("RAND_bytes failed");
  }
  return Hex(bytes.data(), bytes.size());
}

} // namespace siskindeal
