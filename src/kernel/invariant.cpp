#include "siskindeal/invariant.h"

#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace siskindeal {

namespace {

std::atomic<bool> gAbortOnBroken{ false };
std::atomic<std::uint64_t> gBrokenCount{ 0 };

} // namespace

void
ReportBrokenInvariant(std::string_view aCondition,
                      std::string_view aWhat,
                      std::string_view aFile,
                      int aLine)
{
  gBrokenCount.fetch_add(1);
  CountMetric("siskindeal_broken_invariants_total");
  Log(LogLevel::Error,
      "invariant_broken",
      { { "condition", aCondition },
        { "what", aWhat },
        { "file", aFile.substr(aFile.rfind('/') + 1) },
        { "line", aLine } });
  if (gAbortOnBroken.load()) {
    std::fprintf(stderr,
                 "invariant broken: %.*s (%.*s)\n",
                 static_cast<int>(aWhat.size()),
                 aWhat.data(),
                 static_cast<int>(aCondition.size()),
                 aCondition.data());
    std::abort();
  }
}

void
SetAbortOnBrokenInvariant(bool aAbort)
{
  gAbortOnBroken.store(aAbort);
}

std::uint64_t
BrokenInvariants()
{
  return gBrokenCount.load();
}

} // namespace siskindeal
