#pragma once
// Numbers that other processes send, brought into the range of their types
// here. An age of 2^64-1 would otherwise be a time to come.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace siskindeal {

inline constexpr std::int64_t kMaxWireMillis = 1LL << 40;

inline std::chrono::milliseconds
MillisFromWire(std::uint64_t aMillis)
{
  return std::chrono::milliseconds(
    std::min<std::uint64_t>(aMillis, kMaxWireMillis));
}

// The same for a time before or after another one.
inline std::chrono::milliseconds
OffsetFromWire(std::int64_t aMillis)
{
  return std::chrono::milliseconds(
    std::clamp(aMillis, -kMaxWireMillis, kMaxWireMillis));
}

// Returns 0, which stands for no port, if the number is none.
inline std::uint16_t
PortFromWire(std::uint32_t aPort)
{
  return aPort > std::numeric_limits<std::uint16_t>::max()
           ? std::uint16_t{ 0 }
           : static_cast<std::uint16_t>(aPort);
}

} // namespace siskindeal
