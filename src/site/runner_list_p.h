#pragma once
// A copy of the platform's list of runners that can tell what has changed since
// an earlier revision, so that gateways pass on changes instead of lists. Does
// no I/O.

#include "siskindeal/site.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// How far a copy of the list goes. Revisions are comparable only within one
// lineage: a store that has lost its newest changes gives their revisions to
// other changes.
struct RunnerListMark
{
  std::uint64_t m_lineage = 0; // 0: nothing is known
  std::uint64_t m_revision = 0;
  std::uint64_t m_era = 0; // of the store; one lineage is of one era

  StorePosition Position() const { return { m_era, m_revision }; }
  bool operator==(const RunnerListMark&) const = default;
};

struct RunnerListDelta
{
  bool m_whole = false; // the complete list, not only changes
  std::vector<RunnerRecord> m_runners;
  std::vector<std::string> m_removed; // ids
};

class RunnerList
{
public:
  // Replaces the list with a complete one, which begins a lineage unless the
  // mark continues the present one.
  void Replace(const std::vector<RunnerRecord>& aRunners,
               const RunnerListMark& aMark);
  // Records a change that was read at aRevision. Returns false if the runner is
  // unchanged in all that RunnerRecord holds.
  bool Put(const RunnerRecord& aRunner, std::uint64_t aRevision);
  bool Remove(const std::string& aId, std::uint64_t aRevision);
  // Records that all changes up to aRevision are included.
  void Advance(std::uint64_t aRevision);

  const RunnerListMark& Mark() const { return m_mark; }
  // What a copy with that mark lacks.
  RunnerListDelta Since(const RunnerListMark& aMark) const;
  // Whether the list has changed since. Since may also return runners that are
  // as they were.
  bool HasNewsFor(const RunnerListMark& aMark) const;

private:
  struct Change
  {
    std::uint64_t m_revision = 0;
    std::string m_id;
  };

  void RecordChange(const std::string& aId,
                    std::uint64_t aRevision,
                    bool aChanges);
  bool IsInHistory(const RunnerListMark& aMark) const;

  RunnerListMark m_mark;
  std::uint64_t m_changedAt = 0;
  std::uint64_t m_historyFrom = 0; // changes after this revision are recorded
  std::map<std::string, RunnerRecord> m_runners; // by id
  std::deque<Change> m_changes;
};

} // namespace siskindeal
