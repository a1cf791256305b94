#pragma once
// Learns how long answers are, compared with what callers estimate, by route
// and by size of the estimate. Does no I/O.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

class AnswerLengths
{
public:
  // Records that an answer had aTokens where aEstimate were estimated.
  void Record(const std::string& aRoute, double aEstimate, double aTokens);
  // The tokens to expect of an answer.
  double Expected(const std::string& aRoute, double aEstimate) const;

private:
  static constexpr std::size_t kMaxRoutes = 256;
  static constexpr std::size_t kSizes = 16; // powers of two of the estimate

  struct Ratio
  {
    double m_mean = 1; // of the actual length to the estimate
    std::uint32_t m_samples = 0;
  };

  static std::size_t SizeOf(double aEstimate);

  std::map<std::string, std::array<Ratio, kSizes>> m_ratios; // by route
};

} // namespace siskindeal
