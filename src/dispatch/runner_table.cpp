#include "dispatch/runner_table_p.h"

#include "siskindeal/log.h"

#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Runners that expired from the list during an outage of the store are listed
// again within 2 s of its recovery.
constexpr milliseconds kRelistTime{ 2300 };

} // namespace

bool
RunnerTable::MayHaveExpired(MonotonicTime aNow) const
{
  return m_lastListFailure && aNow - *m_lastListFailure < kRelistTime;
}

void
RunnerTable::RecordListFailure(MonotonicTime aNow)
{
  m_lastListFailure = std::max(m_lastListFailure.value_or(aNow), aNow);
}

void
RunnerTable::Replace(const std::vector<RunnerRecord>& aRunners,
                     MonotonicTime aNow)
{
  std::set<std::string> listed;
  for (const RunnerRecord& runner : aRunners) {
    listed.insert(runner.m_id);
    Put(runner);
  }
  std::vector<std::string> missing;
  for (const auto& [id, state] : m_runners) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, aNow);
  }
}

void
RunnerTable::Put(const RunnerRecord& aRunner)
{
  auto& state = m_runners[aRunner.m_id];
  const bool reborn = state.m_record.m_created != aRunner.m_created &&
                      !state.m_record.m_id.empty();
  const bool moved = !state.m_record.m_id.empty() &&
                     !(state.m_record.m_address == aRunner.m_address);
  if (state.m_record.m_id.empty() || reborn || moved ||
      state.m_record.m_draining != aRunner.m_draining) {
    Log(LogLevel::Info,
        "runner added or changed",
        { { "runner", aRunner.m_id },
          { "service", aRunner.m_service },
          { "address", aRunner.m_address.ToString() },
          { "draining", aRunner.m_draining },
          { "reborn", reborn } });
  }
  state.m_record = aRunner;
  state.m_missingSince.reset();
}

void
RunnerTable::Remove(const std::string& aId, MonotonicTime aNow)
{
  const auto found = m_runners.find(aId);
  if (found == m_runners.end()) {
    return;
  }
  if (!found->second.m_missingSince) {
    found->second.m_missingSince = aNow;
    Log(LogLevel::Info,
        "runner removed from list",
        { { "runner", aId }, { "kept", MayHaveExpired(aNow) } });
  }
  if (!MayHaveExpired(aNow)) {
    m_runners.erase(found);
  }
}

void
RunnerTable::Withdraw(const std::string& aId)
{
  if (m_runners.erase(aId) > 0) {
    Log(LogLevel::Info,
        "runner removed from list",
        { { "runner", aId }, { "kept", false }, { "withdrawn", true } });
  }
}

void
RunnerTable::Sweep(MonotonicTime aNow)
{
  if (MayHaveExpired(aNow)) {
    return;
  }
  std::erase_if(m_runners, [](const auto& aEntry) {
    return aEntry.second.m_missingSince.has_value();
  });
}

RunnerState*
RunnerTable::Find(const std::string& aId)
{
  const auto found = m_runners.find(aId);
  return found == m_runners.end() ? nullptr : &found->second;
}

RunnerState*
RunnerTable::Find(const RunnerIncarnation& aRunner)
{
  RunnerState* state = Find(aRunner.m_id);
  return state != nullptr && state->m_record.Incarnation() == aRunner ? state
                                                                      : nullptr;
}

RunnerIncarnation
RunnerTable::Resolve(const RunnerIncarnation& aNamed) const
{
  const auto found = m_runners.find(aNamed.m_id);
  if (aNamed.m_born != 0 || found == m_runners.end() ||
      found->second.m_record.m_created != aNamed.m_created) {
    return aNamed;
  }
  return found->second.m_record.Incarnation();
}

RunnerState*
RunnerTable::FindByAddress(const Address& aAddress)
{
  for (auto& [id, state] : m_runners) {
    if (state.m_record.m_address == aAddress) {
      return &state;
    }
  }
  return nullptr;
}

std::vector<RunnerState*>
RunnerTable::Usable(const std::string& aService)
{
  std::vector<RunnerState*> usable;
  for (auto& [id, state] : m_runners) {
    if (state.m_record.m_service == aService && !state.m_record.m_draining) {
      usable.push_back(&state);
    }
  }
  return usable;
}

} // namespace siskindeal
