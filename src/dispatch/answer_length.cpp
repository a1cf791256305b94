#include "dispatch/answer_length_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr std::uint32_t kMaxSamples = 20; // a new one counts for 1 in so many
// A few long answers would outweigh all others.
constexpr double kMaxRatio = 8;

} // namespace

std::size_t
AnswerLengths::SizeOf(double aEstimate)
{
  const double size = std::log2(std::max(1.0, aEstimate));
  return std::min(kSizes - 1, static_cast<std::size_t>(size));
}

void
AnswerLengths::Record(const std::string& aRoute,
                      double aEstimate,
                      double aTokens)
{
  const bool isKnown = m_ratios.contains(aRoute);
  if (aEstimate <= 0 || (!isKnown && m_ratios.size() >= kMaxRoutes)) {
    return;
  }
  Ratio& ratio = m_ratios[aRoute].at(SizeOf(aEstimate));
  ratio.m_samples = std::min(ratio.m_samples + 1, kMaxSamples);
  ratio.m_mean +=
    (std::min(aTokens / aEstimate, kMaxRatio) - ratio.m_mean) / ratio.m_samples;
}

double
AnswerLengths::Expected(const std::string& aRoute, double aEstimate) const
{
  const auto found = m_ratios.find(aRoute);
  return found == m_ratios.end()
           ? aEstimate
           : aEstimate * found->second.at(SizeOf(aEstimate)).m_mean;
}

} // namespace siskindeal
