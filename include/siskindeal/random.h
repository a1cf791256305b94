#pragma once
// Seeded randomness as an explicit input of decision code.

#include <cstdint>
#include <random>

namespace siskindeal {

// A generator whose sequence follows from its seed on every machine.
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

  bool Chance(double aProbability) { return Unit() < aProbability; }

private:
  std::mt19937_64 m_engine;
};

} // namespace siskindeal
