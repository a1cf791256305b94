#pragma once
// Which runners there are, what they hold and how loaded they are, as this
// entry knows it: from the platform's list, from the other entries, from the
// stagers beside the runners and from its own requests. Pure: no I/O, time is
// given.

#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskindeal {

// What requests put on a runner at a moment.
struct RunnerLoad
{
  std::uint32_t m_requests = 0;     // sent and not yet answered in full
  std::uint32_t m_promptTokens = 0; // of those without a first event yet

  bool operator==(const RunnerLoad&) const = default;
};

struct RunnerState
{
  RunnerRecord m_record;
  RunnerLoad m_own;
  RunnerLoad m_others; // what the other entries said last, summed
  // Told by the runner with its answers.
  std::uint32_t m_toldRequests = 0;

  // Time of a whole request with a free slot, plain services only.
  std::chrono::duration<double, std::milli> m_usualTime{ 0 };
  // Until then it gets work only if no other can.
  MonotonicTime m_avoidUntil{};
  std::uint32_t m_failuresInRow = 0;
  // Until then its stager keeps it free of new work to load weights.
  MonotonicTime m_loadingUntil{};
  // Set while it is not in the list, since the list may have lapsed.
  std::optional<MonotonicTime> m_missingSince;

  // The weights of a model that the runner has, by all that is known; 0: none.
  std::uint64_t VersionOf(const std::string& aModel) const
  {
    const auto found = m_record.m_versions.find(aModel);
    return found == m_record.m_versions.end() ? 0 : found->second;
  }

  std::uint32_t Requests() const
  {
    return m_own.m_requests + m_others.m_requests;
  }
};

class RunnerTable
{
public:
  // The list, whole. Runners that aren't in it are missing from now on.
  void Replace(const std::vector<RunnerRecord>& aRunners, MonotonicTime aNow);
  // One runner as the list has it now.
  void Put(const RunnerRecord& aRunner);
  // One runner left the list.
  void Remove(const std::string& aId, MonotonicTime aNow);
  // The list can't be read, or could not until now: entries that lapsed in the
  // meantime are back a little later, so missing ones are kept until then.
  void NoteListTrouble(MonotonicTime aNow);
  // Drops runners that have been missing long enough.
  void Sweep(MonotonicTime aNow);

  // Null when there is no such runner.
  RunnerState* Find(const std::string& aId);
  RunnerState* FindByAddress(const Address& aAddress);

  // Every runner of a service that may get work at all.
  std::vector<RunnerState*> Usable(const std::string& aService);

  const std::map<std::string, RunnerState>& All() const { return m_runners; }
  std::map<std::string, RunnerState>& All() { return m_runners; }

private:
  bool MayHaveLapsed(MonotonicTime aNow) const;

  std::map<std::string, RunnerState> m_runners; // by id
  std::optional<MonotonicTime> m_troubleAt;
};

} // namespace siskindeal
