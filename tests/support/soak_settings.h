#pragma once
// The size and the seeds of a soak, from the environment.

#include <cstdint>
#include <cstdlib>

namespace siskindeal {

inline std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

struct SoakSeeds
{
  std::uint64_t m_first = 1;
  std::uint64_t m_last = 3;
};

// SISKINDEAL_SOAK_SEEDS=FIRST-LAST, or those of CI.
inline SoakSeeds
SeedsFromEnvironment(SoakSeeds aDefault)
{
  const char* const text = std::getenv("SISKINDEAL_SOAK_SEEDS");
  if (text == nullptr) {
    return aDefault;
  }
  char* end = nullptr;
  const std::uint64_t first = std::strtoull(text, &end, 10);
  return { first, std::strtoull(end + 1, nullptr, 10) };
}

} // namespace siskindeal
