#include "support/rows.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace siskindeal::bench {

namespace {

nlohmann::json
OrNull(const std::optional<double>& aValue)
{
  return aValue ? nlohmann::json(*aValue) : nlohmann::json(nullptr);
}

} // namespace

void
Print(const std::string& aBench, const Row& aRow)
{
  const nlohmann::ordered_json json = { { "bench", aBench },
                                        { "case", aRow.m_case },
                                        { "metric", aRow.m_metric },
                                        { "unit", aRow.m_unit },
                                        { "value", aRow.m_value },
                                        { "baseline", OrNull(aRow.m_baseline) },
                                        { "target", OrNull(aRow.m_target) } };
  std::cout << json.dump() << std::endl;
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aShare)];
}

} // namespace siskindeal::bench
