// Call handling and fault injection of the fake platform.

#include "support/fake_platform.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 50 };

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

std::chrono::milliseconds
FakePlatform::Latency()
{
  const auto spread = m_faults.m_maxLatency - m_faults.m_minLatency;
  return m_faults.m_minLatency +
         std::chrono::milliseconds(m_random.Below(spread.count() + 1));
}

void
FakePlatform::Schedule(std::chrono::milliseconds aDelay, Task aTask)
{
  m_scheduledTasks.emplace(m_clock.Now() + aDelay, std::move(aTask));
}

bool
FakePlatform::IsCut(const std::string& aClient, Cut aCut) const
{
  const auto found = m_cuts.find(aClient);
  return found != m_cuts.end() && found->second == aCut;
}

// Runs aHandler on the platform and the task that it returns on the client.
void
FakePlatform::Dispatch(const std::string& aClient,
                       std::function<Task()> aHandler,
                       Task aTimedOut,
                       Task aRejected)
{
  const absl::MutexLock lock(&m_mutex);
  const auto requestLatency = Latency();
  const auto replyLatency = std::max(Latency(), std::chrono::milliseconds{ 1 });
  if (IsCut(aClient, Cut::Requests)) {
    Schedule(m_faults.m_timeout, std::move(aTimedOut));
    return;
  }
  if (m_faults.m_outage || m_random.Chance(m_faults.m_rateLimited)) {
    Schedule(requestLatency + replyLatency, std::move(aRejected));
    return;
  }
  Schedule(requestLatency,
           [this,
            aClient,
            replyLatency,
            handler = std::move(aHandler),
            timedOut = std::move(aTimedOut)]() mutable {
             auto reply = handler();
             const absl::MutexLock inner(&m_mutex);
             if (IsCut(aClient, Cut::Answers)) {
               Schedule(m_faults.m_timeout, std::move(timedOut));
               return;
             }
             Schedule(replyLatency, std::move(reply));
           });
}

PlatformReply
FakePlatform::Apply(const PlatformWrite& aWrite, bool aDelete)
{
  ++m_writes;
  PlatformReply reply;
  if (aWrite.m_value.size() > kMaxPlatformValueBytes) {
    reply.m_outcome = PlatformOutcome::Invalid;
    return reply;
  }
  auto& object = m_objects[aWrite.m_key];
  const auto current = object.m_deleted ? 0 : object.m_version;
  if (aDelete && current == 0) {
    reply.m_outcome = PlatformOutcome::NotFound;
    return reply;
  }
  if (current != aWrite.m_expectedVersion) {
    reply.m_outcome = PlatformOutcome::Conflict;
    reply.m_object = object;
    return reply;
  }
  object = { aWrite.m_key,
             object.m_version + 1,
             aDelete ? std::string() : aWrite.m_value,
             aWrite.m_changeId,
             aDelete };
  m_history.push_back({ ++m_revision, aWrite.m_key });
  reply.m_outcome = PlatformOutcome::Ok;
  reply.m_object = object;
  CompleteWatches();
  return reply;
}

void
FakePlatform::WriteFrom(const std::string& aClient,
                        const PlatformWrite& aWrite,
                        bool aDelete,
                        const ReplyCallback& aDone)
{
  PlatformReply unknown;
  unknown.m_outcome = PlatformOutcome::Unknown;
  PlatformReply rejected;
  rejected.m_retryAfter = kRetryAfter;
  auto replyUnknown = [aDone, unknown] { aDone(unknown); };
  bool loseRequest = false;
  bool loseReply = false;
  {
    const absl::MutexLock lock(&m_mutex);
    loseRequest = m_random.Chance(m_faults.m_lostRequests);
    loseReply = m_random.Chance(m_faults.m_lostAnswers);
  }
  Dispatch(
    aClient,
    [this, aWrite, aDelete, aDone, loseRequest, loseReply, replyUnknown]()
      -> Task {
      const absl::MutexLock lock(&m_mutex);
      if (loseRequest) {
        return replyUnknown;
      }
      auto reply = Apply(aWrite, aDelete);
      if (loseReply) {
        return replyUnknown;
      }
      return [aDone, reply] { aDone(reply); };
    },
    replyUnknown,
    [aDone, rejected] { aDone(rejected); });
}

void
FakePlatform::GetFrom(const std::string& aClient,
                      const std::string& aKey,
                      const ReplyCallback& aDone)
{
  PlatformReply rejected;
  rejected.m_retryAfter = kRetryAfter;
  auto fail = [aDone, rejected] { aDone(rejected); };
  Dispatch(
    aClient,
    [this, aKey, aDone]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      ++m_reads;
      const auto found = m_objects.find(aKey);
      PlatformReply reply;
      if (found == m_objects.end() || found->second.m_version == 0 ||
          found->second.m_deleted) {
        reply.m_outcome = PlatformOutcome::NotFound;
      } else {
        reply.m_outcome = PlatformOutcome::Ok;
        reply.m_object = found->second;
      }
      return [aDone, reply] { aDone(reply); };
    },
    fail,
    fail);
}

void
FakePlatform::ListFrom(const std::string& aClient,
                       const std::string& aPrefix,
                       const ChangesCallback& aDone)
{
  auto fail = [aDone] { aDone({}); };
  Dispatch(
    aClient,
    [this, aPrefix, aDone]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      ++m_reads;
      PlatformChanges changes;
      changes.m_outcome = PlatformOutcome::Ok;
      changes.m_revision = m_revision;
      for (const auto& [key, object] : m_objects) {
        if (StartsWith(key, aPrefix) && object.m_version != 0 &&
            !object.m_deleted) {
          changes.m_objects.push_back(object);
        }
      }
      return [aDone, changes] { aDone(changes); };
    },
    fail,
    fail);
}

PlatformChanges
FakePlatform::ChangesAfter(const std::string& aPrefix,
                           std::uint64_t aAfterRevision) const
{
  PlatformChanges changes;
  changes.m_outcome = PlatformOutcome::Ok;
  changes.m_revision = m_revision;
  std::set<std::string> keys;
  for (const auto& change : m_history) {
    if (change.m_revision > aAfterRevision &&
        StartsWith(change.m_key, aPrefix)) {
      keys.insert(change.m_key);
    }
  }
  for (const auto& key : keys) {
    changes.m_objects.push_back(m_objects.at(key));
  }
  return changes;
}

void
FakePlatform::CompleteWatches()
{
  std::vector<PendingWatch> remaining;
  for (auto& watch : m_pendingWatches) {
    auto changes = ChangesAfter(watch.m_prefix, watch.m_afterRevision);
    if (changes.m_objects.empty() && m_clock.Now() < watch.m_deadline) {
      remaining.push_back(std::move(watch));
      continue;
    }
    if (IsCut(watch.m_client, Cut::Answers) ||
        IsCut(watch.m_client, Cut::Requests) || m_faults.m_outage) {
      changes = {};
    }
    Schedule(std::max(Latency(), std::chrono::milliseconds{ 1 }),
             [done = std::move(watch.m_done), changes] { done(changes); });
  }
  m_pendingWatches = std::move(remaining);
}

void
FakePlatform::WatchFrom(const std::string& aClient,
                        const std::string& aPrefix,
                        std::uint64_t aAfterRevision,
                        std::chrono::milliseconds aWait,
                        const ChangesCallback& aDone)
{
  auto fail = [aDone] { aDone({}); };
  Dispatch(
    aClient,
    [this, aClient, aPrefix, aAfterRevision, aWait, aDone, fail]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      ++m_reads;
      if (m_random.Chance(m_faults.m_watchGaps)) {
        return fail;
      }
      if (aAfterRevision < m_compactedRevision) {
        PlatformChanges compacted;
        compacted.m_outcome = PlatformOutcome::Compacted;
        return [aDone, compacted] { aDone(compacted); };
      }
      m_pendingWatches.push_back(
        { aClient, aPrefix, aAfterRevision, m_clock.Now() + aWait, aDone });
      Schedule(aWait, [this] {
        const absl::MutexLock inner(&m_mutex);
        CompleteWatches();
      });
      CompleteWatches();
      return [] {};
    },
    fail,
    fail);
}

void
FakePlatform::VmsFrom(const std::string& aClient, const VmsCallback& aDone)
{
  auto fail = [aDone] { aDone({}); };
  Dispatch(
    aClient,
    [this, aDone]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      ++m_reads;
      VmList list;
      list.m_outcome = PlatformOutcome::Ok;
      list.m_vms = m_vms;
      return [aDone, list] { aDone(list); };
    },
    fail,
    fail);
}

} // namespace siskindeal
