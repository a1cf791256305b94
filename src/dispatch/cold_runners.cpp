#include "dispatch/cold_runners_p.h"

#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Until the entries of runners whose place returns tell whether they are cold.
constexpr milliseconds kMinUnknown{ 2000 };

bool
CanBeCold(const ServiceRecord& aService)
{
  return aService.m_coldPerSecond > 0;
}

} // namespace

void
ColdRunners::Observe(const RunnerRecord& aRunner,
                     const ServiceRecord& aService,
                     MonotonicTime aNow)
{
  if (!CanBeCold(aService)) {
    return;
  }
  const RunnerIncarnation runner = aRunner.Incarnation();
  const auto [entry, isNew] = m_known.try_emplace(runner);
  if (!isNew && entry->second.m_stated == aRunner.m_coldFor) {
    return;
  }
  entry->second.m_stated = aRunner.m_coldFor;
  const milliseconds coldFor =
    aRunner.m_coldFor.value_or(isNew ? aService.m_coldStart : milliseconds(0));
  ExtendUntil(runner,
              aService,
              aNow + coldFor,
              aRunner.m_coldFor ? "stated" : "new start",
              aNow);
}

void
ColdRunners::RecordCrash(const RunnerIncarnation& aRunner,
                         const ServiceRecord& aService,
                         MonotonicTime aNow)
{
  if (CanBeCold(aService)) {
    ExtendUntil(
      aRunner, aService, aNow + aService.m_coldStart, "crashed", aNow);
  }
}

void
ColdRunners::RecordReturn(const RunnerRecord& aRunner,
                          const ServiceRecord& aService,
                          MonotonicTime aNow)
{
  if (CanBeCold(aService)) {
    ExtendUntil(aRunner.Incarnation(),
                aService,
                aNow + std::max(kMinUnknown, aService.m_coldStart),
                "evacuation ended",
                aNow);
  }
}

void
ColdRunners::ExtendUntil(const RunnerIncarnation& aRunner,
                         const ServiceRecord& aService,
                         MonotonicTime aUntil,
                         const char* aReason,
                         MonotonicTime aNow)
{
  Known& known = m_known[aRunner];
  if (aUntil <= known.m_coldUntil || aUntil <= aNow) {
    return;
  }
  const bool wasCold = known.m_coldUntil > aNow;
  known.m_coldUntil = aUntil;
  if (wasCold) {
    return;
  }
  m_limits.Merge(aRunner, { aService.m_coldPerSecond, aNow, aNow }, aNow);
  Log(LogLevel::Info,
      "runner is cold",
      { { "runner", aRunner.m_id },
        { "runner_start", aRunner.Start() },
        { "reason", aReason },
        { "per_second", aService.m_coldPerSecond },
        { "for_ms",
          std::chrono::duration_cast<milliseconds>(aUntil - aNow).count() } });
}

void
ColdRunners::Update(
  const RunnerLimits::PositionOf& aPositionOf,
  const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
  MonotonicTime aNow)
{
  std::erase_if(m_known,
                [&](const auto& aEntry) { return !aIsKnown(aEntry.first); });
  m_limits.Update(
    aPositionOf,
    [&](const RunnerIncarnation& aRunner) { return IsCold(aRunner, aNow); },
    aNow);
}

bool
ColdRunners::Allows(const RunnerIncarnation& aRunner, MonotonicTime aNow) const
{
  return !IsCold(aRunner, aNow) || m_limits.Allows(aRunner, aNow);
}

bool
ColdRunners::IsCold(const RunnerIncarnation& aRunner, MonotonicTime aNow) const
{
  const auto found = m_known.find(aRunner);
  return found != m_known.end() && aNow < found->second.m_coldUntil;
}

} // namespace siskindeal
