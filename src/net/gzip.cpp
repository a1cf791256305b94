#include "net/gzip_p.h"

#include <zlib.h>

#include <array>
#include <cstdint>
#include <stdexcept>

namespace siskindeal {

namespace {

constexpr int kGzipWindowBits =
  15 + 16;                      // the largest window, with gzip framing
constexpr int kMemoryLevel = 8; // zlib's default
constexpr std::size_t kPartBytes = 16 << 10;

// Sets what a stream reads. zlib's type isn't const, but it doesn't write
// there.
void
SetInput(z_stream& aStream, std::string_view aBytes)
{
  aStream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
  aStream.avail_in = static_cast<uInt>(aBytes.size());
}

// Runs aStep until it doesn't fill its output, and returns its last status.
template<typename Step>
int
Run(z_stream& aStream, std::string& aTo, std::size_t aMaxBytes, Step aStep)
{
  std::array<char, kPartBytes> part{};
  int status = Z_OK;
  do {
    aStream.next_out = reinterpret_cast<Bytef*>(part.data());
    aStream.avail_out = static_cast<uInt>(part.size());
    status = aStep(&aStream);
    aTo.append(part.data(), part.size() - aStream.avail_out);
  } while (status == Z_OK && aStream.avail_out == 0 && aTo.size() <= aMaxBytes);
  return status;
}

} // namespace

std::string
Compress(std::string_view aBytes)
{
  z_stream stream{};
  if (deflateInit2(&stream,
                   Z_BEST_SPEED,
                   Z_DEFLATED,
                   kGzipWindowBits,
                   kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::runtime_error("zlib: cannot compress");
  }
  SetInput(stream, aBytes);
  std::string compressed;
  Run(stream, compressed, SIZE_MAX, [](z_stream* aStream) {
    return deflate(aStream, Z_FINISH);
  });
  deflateEnd(&stream);
  return compressed;
}

std::string
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream stream{};
  if (inflateInit2(&stream, kGzipWindowBits) != Z_OK) {
    throw std::runtime_error("zlib: cannot decompress");
  }
  SetInput(stream, aBytes);
  std::string bytes;
  const int status = Run(stream, bytes, aMaxBytes, [](z_stream* aStream) {
    return inflate(aStream, Z_NO_FLUSH);
  });
  inflateEnd(&stream);
  if (bytes.size() > aMaxBytes) {
    throw std::invalid_argument("compressed data is too large");
  }
  if (status != Z_STREAM_END) {
    throw std::invalid_argument("compressed data is malformed or cut off");
  }
  return bytes;
}

} // namespace siskindeal
