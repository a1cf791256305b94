#include "dispatch/runner_table_p.h"

#include "siskindeal/log.h"

#include <set>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Runners that expired from the list during an outage of the store are listed
// again within 2 s of its recovery.
constexpr milliseconds kRelistTime{ 2300 };
// A runner writes its entry again long before that, so an older one that lasts
// longer is from a clock that was set back.
constexpr milliseconds kOlderEntryTime{ 10000 };

} // namespace

bool
RunnerTable::MayHaveExpired(MonotonicTime aNow) const
{
  const auto isRecent = [&](const std::optional<MonotonicTime>& aTime) {
    return aTime && aNow - *aTime < kRelistTime;
  };
  return isRecent(m_lastListFailure) || isRecent(m_lastListRebuilt);
}

void
RunnerTable::RecordListFailure(MonotonicTime aNow)
{
  m_lastListFailure = std::max(m_lastListFailure.value_or(aNow), aNow);
}

void
RunnerTable::ForgetListFailure(MonotonicTime aNow)
{
  m_lastListFailure.reset();
  Sweep(aNow);
}

void
RunnerTable::RecordListRebuilt(MonotonicTime aNow)
{
  m_lastListRebuilt = std::max(m_lastListRebuilt.value_or(aNow), aNow);
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
  RunnerState& state = m_runners[aRunner.m_id];
  const bool isNew = state.m_record.m_id.empty();
  if (!isNew && aRunner.m_born != 0 && aRunner.m_born < state.m_record.m_born) {
    Log(LogLevel::Info,
        "older runner entry ignored",
        { { "runner", aRunner.m_id },
          { "born", aRunner.m_born },
          { "known_born", state.m_record.m_born } });
    state.m_olderRecord = aRunner;
    return;
  }
  const bool reborn =
    !isNew && !(state.m_record.Incarnation() == aRunner.Incarnation());
  const bool moved = !isNew && !(state.m_record.m_address == aRunner.m_address);
  if (isNew || reborn || moved ||
      state.m_record.m_draining != aRunner.m_draining) {
    Log(LogLevel::Info,
        "runner added or changed",
        { { "runner", aRunner.m_id },
          { "service", aRunner.m_service },
          { "address", aRunner.m_address.ToString() },
          { "draining", aRunner.m_draining },
          { "born", aRunner.m_born },
          { "reborn", reborn } });
  }
  if (reborn) {
    // Without the times of both starts, it may only be listed anew.
    if (state.m_record.m_born != 0 && aRunner.m_born != 0) {
      m_replacedStarts.push_back(state.m_record.Incarnation());
    }
    state = {};
  }
  state.m_record = aRunner;
  state.m_missingSince.reset();
  state.m_olderRecord.reset();
  state.m_olderSince.reset();
}

bool
RunnerTable::IsReplaced(const RunnerIncarnation& aRunner) const
{
  const auto found = m_runners.find(aRunner.m_id);
  // Without the times of both starts, it may only be listed anew.
  return found != m_runners.end() && aRunner.m_born != 0 &&
         found->second.m_record.m_born > aRunner.m_born;
}

bool
RunnerTable::RecordStart(RunnerState& aState, std::uint64_t aBorn)
{
  const std::uint64_t known = aState.m_record.m_born;
  if (aBorn == 0 || known == 0) {
    return true;
  }
  if (aBorn > known) {
    Log(LogLevel::Info,
        "runner restarted",
        { { "runner", aState.m_record.m_id },
          { "born", aBorn },
          { "known_born", known } });
    m_replacedStarts.push_back(aState.m_record.Incarnation());
    RunnerState restarted;
    restarted.m_record = aState.m_record;
    restarted.m_record.m_born = aBorn;
    restarted.m_record.m_versions.clear();
    restarted.m_record.m_coldFor.reset();
    restarted.m_missingSince = aState.m_missingSince;
    aState = std::move(restarted);
  }
  return aBorn >= known;
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
  AcceptOlderRecords(aNow);
  if (MayHaveExpired(aNow)) {
    return;
  }
  std::erase_if(m_runners, [](const auto& aEntry) {
    return aEntry.second.m_missingSince.has_value();
  });
}

void
RunnerTable::AcceptOlderRecords(MonotonicTime aNow)
{
  for (auto& [id, state] : m_runners) {
    if (!state.m_olderRecord) {
      continue;
    }
    if (!state.m_olderSince) {
      state.m_olderSince = aNow;
    } else if (aNow - *state.m_olderSince >= kOlderEntryTime) {
      const RunnerRecord older = *state.m_olderRecord;
      state = {};
      Put(older);
    }
  }
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
RunnerTable::FindByAddress(const Address& aAddress, std::uint64_t aBorn)
{
  RunnerState* found = nullptr;
  for (auto& [id, state] : m_runners) {
    if (!(state.m_record.m_address == aAddress)) {
      continue;
    }
    if (aBorn != 0 && state.m_record.m_born == aBorn) {
      return &state;
    }
    found = found == nullptr ? &state : found;
  }
  return found;
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
