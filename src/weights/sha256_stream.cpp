#include "weights/sha256_stream_p.h"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace siskindeal {

Sha256Stream::Sha256Stream()
  : m_context(EVP_MD_CTX_new())
{
  if (m_context == nullptr ||
      EVP_DigestInit_ex(m_context, EVP_sha256(), nullptr) != 1) {
    EVP_MD_CTX_free(m_context);
    throw std::runtime_error("SHA-256 initialization failed");
  }
}

Sha256Stream::~Sha256Stream()
{
  EVP_MD_CTX_free(m_context);
}

void
Sha256Stream::Add(std::string_view aBytes)
{
  if (EVP_DigestUpdate(m_context, aBytes.data(), aBytes.size()) != 1) {
    throw std::runtime_error("SHA-256 update failed");
  }
}

std::string
Sha256Stream::Finish()
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  if (EVP_DigestFinal_ex(m_context, digest.data(), &length) != 1) {
    throw std::runtime_error("SHA-256 finalization failed");
  }
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += kHexDigits[digest[i] >> 4];
    text += kHexDigits[digest[i] & 15];
  }
  return text;
}

} // namespace siskindeal
