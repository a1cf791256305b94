#pragma once
// What a benchmark prints: one JSON object a line.

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
  std::optional<double> m_baseline; // the plain way, in the same run
  std::optional<double> m_target;
};

// Prints aRow as measured by the benchmark aBench.
void
Print(const std::string& aBench, const Row& aRow);

// The value below which aShare of aValues lie; 0 for none. Sorts them.
double
Quantile(std::vector<double>& aValues, double aShare);

} // namespace siskindeal::bench
