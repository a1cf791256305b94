// What the fake platform answers, and what its faults make of it.

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
  const auto spread = m_faults.m_mostLatency - m_faults.m_leastLatency;
  return m_faults.m_leastLatency +
         std::chrono::milliseconds(m_random.Below(spread.count() + 1));
}

void
FakePlatform::At(std::chrono::milliseconds aDelay, Task aTask)
{
  m_tasks.emplace(m_clock.Now() + aDelay, std::move(aTask));
}

bool
FakePlatform::IsCut(const std::string& aClient, Cut aCut) const
{
  const auto found = m_cuts.find(aClient);
  return found != m_cuts.end() && found->second == aCut;
}

// Runs aAnswer at the platform; what it gives runs at the client.
void
FakePlatform::Call(const std::string& aClient,
                   std::function<Task()> aAnswer,
                   Task aNoAnswer,
                   Task aRefused)
{
  const absl::MutexLock lock(&m_mutex);
  const auto latency = Latency();
  const auto back = std::max(Latency(), std::chrono::milliseconds{ 1 });
  if (IsCut(aClient, Cut::Requests)) {
    At(m_faults.m_timeout, std::move(aNoAnswer));
    return;
  }
  if (m_faults.m_outage || m_random.Chance(m_faults.m_rateLimited)) {
    At(latency + back, std::move(aRefused));
    return;
  }
  At(latency,
     [this,
      aClient,
      back,
      answer = std::move(aAnswer),
      noAnswer = std::move(aNoAnswer)]() mutable {
       auto reply = answer();
       const absl::MutexLock inner(&m_mutex);
       if (IsCut(aClient, Cut::Answers)) {
         At(m_faults.m_timeout, std::move(noAnswer));
         return;
       }
       At(back, std::move(reply));
     });
}

PlatformReply
FakePlatform::Apply(const PlatformWrite& aWrite, bool aDelete)
{
  ++m_writes;
  PlatformReply reply;
  if (aWrite.m_value.size() > kPlatformValueBytes) {
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
  AnswerWatches();
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
  PlatformReply refused;
  refused.m_retryAfter = kRetryAfter;
  auto lose = [aDone, unknown] { aDone(unknown); };
  bool lostRequest = false;
  bool lostAnswer = false;
  {
    const absl::MutexLock lock(&m_mutex);
    lostRequest = m_random.Chance(m_faults.m_lostRequests);
    lostAnswer = m_random.Chance(m_faults.m_lostAnswers);
  }
  Call(
    aClient,
    [this, aWrite, aDelete, aDone, lostRequest, lostAnswer, lose]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      if (lostRequest) {
        return lose;
      }
      auto reply = Apply(aWrite, aDelete);
      if (lostAnswer) {
        return lose;
      }
      return [aDone, reply] { aDone(reply); };
    },
    lose,
    [aDone, refused] { aDone(refused); });
}

void
FakePlatform::GetFrom(const std::string& aClient,
                      const std::string& aKey,
                      const ReplyCallback& aDone)
{
  PlatformReply refused;
  refused.m_retryAfter = kRetryAfter;
  auto fail = [aDone, refused] { aDone(refused); };
  Call(
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
  Call(
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
                           std::uint64_t aAfter) const
{
  PlatformChanges changes;
  changes.m_outcome = PlatformOutcome::Ok;
  changes.m_revision = m_revision;
  std::set<std::string> keys;
  for (const auto& change : m_history) {
    if (change.m_revision > aAfter && StartsWith(change.m_key, aPrefix)) {
      keys.insert(change.m_key);
    }
  }
  for (const auto& key : keys) {
    changes.m_objects.push_back(m_objects.at(key));
  }
  return changes;
}

void
FakePlatform::AnswerWatches()
{
  std::vector<Waiting> still;
  for (auto& waiting : m_waiting) {
    auto changes = ChangesAfter(waiting.m_prefix, waiting.m_after);
    if (changes.m_objects.empty() && m_clock.Now() < waiting.m_until) {
      still.push_back(std::move(waiting));
      continue;
    }
    if (IsCut(waiting.m_client, Cut::Answers) ||
        IsCut(waiting.m_client, Cut::Requests) || m_faults.m_outage) {
      changes = {};
    }
    At(std::max(Latency(), std::chrono::milliseconds{ 1 }),
       [done = std::move(waiting.m_done), changes] { done(changes); });
  }
  m_waiting = std::move(still);
}

void
FakePlatform::WatchFrom(const std::string& aClient,
                        const std::string& aPrefix,
                        std::uint64_t aAfter,
                        std::chrono::milliseconds aWait,
                        const ChangesCallback& aDone)
{
  auto fail = [aDone] { aDone({}); };
  Call(
    aClient,
    [this, aClient, aPrefix, aAfter, aWait, aDone, fail]() -> Task {
      const absl::MutexLock lock(&m_mutex);
      ++m_reads;
      if (m_random.Chance(m_faults.m_watchGaps)) {
        return fail;
      }
      if (aAfter < m_compacted) {
        PlatformChanges compacted;
        compacted.m_outcome = PlatformOutcome::Compacted;
        return [aDone, compacted] { aDone(compacted); };
      }
      m_waiting.push_back(
        { aClient, aPrefix, aAfter, m_clock.Now() + aWait, aDone });
      At(aWait, [this] {
        const absl::MutexLock inner(&m_mutex);
        AnswerWatches();
      });
      AnswerWatches();
      return [] {};
    },
    fail,
    fail);
}

void
FakePlatform::VmsFrom(const std::string& aClient, const VmsCallback& aDone)
{
  auto fail = [aDone] { aDone({}); };
  Call(
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
