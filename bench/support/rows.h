#pragma once
// The output of a benchmark, one JSON object per line.

#include <optional>
#include <string>
#include <vector>

namespace siskindeal::bench {

struct Row
{
  std::string m_case;
  std::string m_metric;
  std::string m_unit;
  double m_value = 0;
  std::optional<double> m_baseline; // of a simple alternative, in the same run
  std::optional<double> m_target;
};

// Prints a result of the benchmark aBench.
void
Print(const std::string& aBench, const Row& aRow);

// Returns the aShare quantile of aValues, or 0 if there are none. Sorts
// aValues.
double
Quantile(std::vector<double>& aValues, double aShare);

} // namespace siskindeal::bench
