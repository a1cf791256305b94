#include "dispatch/runner_notices_p.h"

#include "dispatch/take_turns_p.h"
#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

milliseconds
ToWait(RunnerNotices::Seconds aNamed)
{
  if (!(aNamed.count() >= 0)) { // also NaN
    return RunnerNotices::kDefaultWait;
  }
  if (aNamed > RunnerNotices::kMaxWait) {
    return RunnerNotices::kMaxWait;
  }
  return std::chrono::ceil<milliseconds>(aNamed);
}

// Makes room for one entry, at the expense of the one with the least time.
template<typename Map, typename TimeOf>
void
MakeRoom(Map& aEntries, TimeOf aTimeOf)
{
  if (aEntries.size() >= RunnerNotices::kMaxRunners) {
    aEntries.erase(std::min_element(
      aEntries.begin(),
      aEntries.end(),
      [&](const auto& aFirst, const auto& aSecond) {
        return aTimeOf(aFirst.second) < aTimeOf(aSecond.second);
      }));
  }
}

} // namespace

bool
RunnerNotices::AddLeaving(const RunnerIncarnation& aRunner,
                          bool aIsListed,
                          MonotonicTime aNow)
{
  if (IsLeaving(aRunner)) {
    return false;
  }
  MakeRoom(m_leaving,
           [](const Leaving& aLeaving) { return aLeaving.m_lastListed; });
  m_leaving[aRunner] = { aIsListed, aNow };
  Log(LogLevel::Info,
      "runner is leaving",
      { { "runner", aRunner.m_id },
        { "created", aRunner.m_created },
        { "born", aRunner.m_born },
        { "from_peer", !aIsListed } });
  return true;
}

bool
RunnerNotices::RecordLeaving(const RunnerIncarnation& aRunner,
                             MonotonicTime aNow)
{
  return AddLeaving(aRunner, true, aNow);
}

bool
RunnerNotices::MergeLeaving(const RunnerIncarnation& aRunner,
                            MonotonicTime aNow)
{
  return AddLeaving(aRunner, false, aNow);
}

milliseconds
RunnerNotices::RecordWait(const RunnerIncarnation& aRunner,
                          Seconds aNamed,
                          MonotonicTime aNow)
{
  const milliseconds wait = ToWait(aNamed);
  if (!m_waits.contains(aRunner)) {
    MakeRoom(m_waits, [](MonotonicTime aEnd) { return aEnd; });
  }
  MonotonicTime& end = m_waits[aRunner];
  end = std::max(end, aNow + wait);
  return wait;
}

void
RunnerNotices::Update(const IsListed& aIsListed, MonotonicTime aNow)
{
  for (auto& [runner, leaving] : m_leaving) {
    leaving.m_isListed = aIsListed(runner);
    if (leaving.m_isListed) {
      leaving.m_lastListed = aNow;
    }
  }
  std::erase_if(m_leaving, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastListed > kMemory;
  });
  std::erase_if(m_waits,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

bool
RunnerNotices::IsLeaving(const RunnerIncarnation& aRunner) const
{
  return m_leaving.contains(aRunner);
}

std::optional<MonotonicTime>
RunnerNotices::WaitEnd(const RunnerIncarnation& aRunner,
                       MonotonicTime aNow) const
{
  const auto found = m_waits.find(aRunner);
  if (found == m_waits.end() || found->second <= aNow) {
    return std::nullopt;
  }
  return found->second;
}

milliseconds
RunnerNotices::RetryAfter(const std::vector<RunnerIncarnation>& aRunners,
                          MonotonicTime aNow) const
{
  milliseconds earliest = kMaxWait;
  for (const RunnerIncarnation& runner : aRunners) {
    const MonotonicTime end = WaitEnd(runner, aNow).value_or(aNow);
    earliest = std::min(earliest, std::chrono::ceil<milliseconds>(end - aNow));
  }
  return earliest;
}

// Runners that aren't listed are left out: gateways would otherwise remind each
// other of them for ever.
std::vector<RunnerIncarnation>
RunnerNotices::Advertise()
{
  std::vector<RunnerIncarnation> advertised;
  const auto take = [&](const RunnerIncarnation& aRunner,
                        const Leaving& aLeaving) {
    if (aLeaving.m_isListed) {
      advertised.push_back(aRunner);
    }
    return aLeaving.m_isListed;
  };
  TakeTurns(m_leaving, m_lastAdvertised, kMaxAdvertised, take);
  return advertised;
}

} // namespace siskindeal
