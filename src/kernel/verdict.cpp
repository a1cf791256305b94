#include "siskindeal/verdict.h"

#include <algorithm>

namespace siskindeal {

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return "not run";
    case Verdict::MayHaveRun:
      return "may have run";
    case Verdict::Ran:
      return "ran";
  }
  return "may have run";
}

std::optional<Verdict>
ParseVerdict(std::string_view aText)
{
  for (const auto verdict :
       { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
    if (aText == ToString(verdict)) {
      return verdict;
    }
  }
  return std::nullopt;
}

Verdict
Combine(Verdict aFirst, Verdict aSecond)
{
  return std::max(aFirst, aSecond);
}

} // namespace siskindeal
