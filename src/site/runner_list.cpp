#include "site/runner_list_p.h"

#include <algorithm>
#include <set>

namespace siskindeal {

namespace {

// Older changes are dropped; a copy that lacks them gets the complete list.
constexpr std::size_t kMaxChanges = 2048;

} // namespace

void
RunnerList::Replace(const std::vector<RunnerRecord>& aRunners,
                    const RunnerListMark& aMark)
{
  m_runners.clear();
  for (const RunnerRecord& runner : aRunners) {
    m_runners[runner.m_id] = runner;
  }
  m_changes.clear();
  m_mark = aMark;
  m_changedAt = m_historyFrom = aMark.m_revision;
}

bool
RunnerList::Put(const RunnerRecord& aRunner, std::uint64_t aRevision)
{
  RunnerRecord& present = m_runners[aRunner.m_id];
  const bool changes = !(present == aRunner);
  present = aRunner;
  RecordChange(aRunner.m_id, aRevision, changes);
  return changes;
}

bool
RunnerList::Remove(const std::string& aId, std::uint64_t aRevision)
{
  const bool changes = m_runners.erase(aId) > 0;
  RecordChange(aId, aRevision, changes);
  return changes;
}

void
RunnerList::RecordChange(const std::string& aId,
                         std::uint64_t aRevision,
                         bool aChanges)
{
  // Also if nothing changes here: another copy may have a state in between.
  m_changes.push_back({ aRevision, aId });
  if (aChanges) {
    m_changedAt = std::max(m_changedAt, aRevision);
  }
  if (m_changes.size() > kMaxChanges) {
    m_historyFrom = m_changes.front().m_revision;
    m_changes.pop_front();
  }
}

void
RunnerList::Advance(std::uint64_t aRevision)
{
  m_mark.m_revision = std::max(m_mark.m_revision, aRevision);
}

bool
RunnerList::IsInHistory(const RunnerListMark& aMark) const
{
  return aMark.m_lineage == m_mark.m_lineage &&
         aMark.m_revision >= m_historyFrom;
}

bool
RunnerList::HasNewsFor(const RunnerListMark& aMark) const
{
  return m_mark.m_lineage != 0 && m_mark.m_era >= aMark.m_era &&
         (!IsInHistory(aMark) || m_changedAt > aMark.m_revision);
}

RunnerListDelta
RunnerList::Since(const RunnerListMark& aMark) const
{
  RunnerListDelta delta;
  if (!IsInHistory(aMark)) {
    delta.m_whole = true;
    for (const auto& [id, runner] : m_runners) {
      delta.m_runners.push_back(runner);
    }
    return delta;
  }
  std::set<std::string> changed;
  for (const Change& change : m_changes) {
    if (change.m_revision > aMark.m_revision) {
      changed.insert(change.m_id);
    }
  }
  for (const std::string& id : changed) {
    const auto found = m_runners.find(id);
    if (found == m_runners.end()) {
      delta.m_removed.push_back(id);
    } else {
      delta.m_runners.push_back(found->second);
    }
  }
  return delta;
}

} // namespace siskindeal
