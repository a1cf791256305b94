#pragma once
// Seeded random numbers, passed to decision code so that its runs are
// reproducible.

#include <cstdint>
#include <random>

namespace siskindeal {

// Generator whose sequence for a given seed is the same on every platform.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  // Uniform in [0, aBound); 0 for a bound of 0.
  std::uint64_t Below(std::uint64_t aBound)
  {
    return aBound == 0 ? 0 : m_engine() % aBound;
  }

  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

  // Returns true with probability aProbability.
  bool Chance(double aProbability) { return Unit() < aProbability; }

private:
  std::mt19937_64 m_engine;
};

} // namespace siskindeal
