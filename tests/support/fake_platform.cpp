#include "support/fake_platform.h"

#include <utility>

namespace siskindeal {

// The calls of one client, which can be cut off on its own.
class FakePlatform::ClientView final : public Platform
{
public:
  ClientView(FakePlatform& aPlatform, std::string aName)
    : m_platform(aPlatform)
    , m_name(std::move(aName))
  {
  }

  void Get(PlatformUse aUse,
           const std::string& aKey,
           ReplyCallback aDone) override
  {
    m_platform.GetFrom(m_name, aKey, aDone);
  }
  void Put(PlatformUse aUse,
           const PlatformWrite& aWrite,
           ReplyCallback aDone) override
  {
    m_platform.WriteFrom(m_name, aWrite, false, aDone);
  }
  void Delete(PlatformUse aUse,
              const PlatformWrite& aWrite,
              ReplyCallback aDone) override
  {
    m_platform.WriteFrom(m_name, aWrite, true, aDone);
  }
  void List(PlatformUse aUse,
            const std::string& aPrefix,
            ChangesCallback aDone) override
  {
    m_platform.ListFrom(m_name, aPrefix, aDone);
  }
  void Watch(PlatformUse aUse,
             const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             std::chrono::milliseconds aWait,
             ChangesCallback aDone) override
  {
    m_platform.WatchFrom(m_name, aPrefix, aAfterRevision, aWait, aDone);
  }
  void Vms(VmsCallback aDone) override { m_platform.VmsFrom(m_name, aDone); }

private:
  FakePlatform& m_platform;
  const std::string m_name;
};

FakePlatform::FakePlatform(ManualClock& aClock, std::uint64_t aSeed)
  : m_clock(aClock)
  , m_random(aSeed)
{
}

FakePlatform::~FakePlatform() = default;

Platform&
FakePlatform::Client(const std::string& aName)
{
  const absl::MutexLock lock(&m_mutex);
  auto& view = m_clients[aName];
  if (!view) {
    view = std::make_unique<ClientView>(*this, aName);
  }
  return *view;
}

void
FakePlatform::SetCut(const std::string& aName, Cut aCut)
{
  const absl::MutexLock lock(&m_mutex);
  m_cuts[aName] = aCut;
}

void
FakePlatform::Advance(std::chrono::milliseconds aStep)
{
  const auto end = m_clock.Now() + aStep;
  while (true) {
    Task task;
    {
      const absl::MutexLock lock(&m_mutex);
      if (m_scheduledTasks.empty() || m_scheduledTasks.begin()->first > end) {
        break;
      }
      const auto due = m_scheduledTasks.begin()->first;
      task = std::move(m_scheduledTasks.begin()->second);
      m_scheduledTasks.erase(m_scheduledTasks.begin());
      if (due > m_clock.Now()) {
        m_clock.Advance(due - m_clock.Now());
      }
    }
    task();
  }
  if (end > m_clock.Now()) {
    m_clock.Advance(end - m_clock.Now());
  }
}

bool
FakePlatform::Write(const std::string& aKey,
                    const std::string& aValue,
                    std::uint64_t aExpectedVersion)
{
  const absl::MutexLock lock(&m_mutex);
  return Apply({ aKey, aValue, aExpectedVersion, "test" }, false).m_outcome ==
         PlatformOutcome::Ok;
}

void
FakePlatform::Remove(const std::string& aKey)
{
  const absl::MutexLock lock(&m_mutex);
  Apply({ aKey, "", m_objects[aKey].m_version, "test" }, true);
}

PlatformObject
FakePlatform::Stored(const std::string& aKey) const
{
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_objects.find(aKey);
  return found == m_objects.end() ? PlatformObject{} : found->second;
}

std::uint64_t
FakePlatform::Revision() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_revision;
}

void
FakePlatform::Compact()
{
  const absl::MutexLock lock(&m_mutex);
  m_history.clear();
  m_compactedRevision = m_revision;
}

void
FakePlatform::SetVms(std::vector<VmListing> aVms)
{
  const absl::MutexLock lock(&m_mutex);
  m_vms = std::move(aVms);
}

std::uint64_t
FakePlatform::Reads() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_reads;
}

std::uint64_t
FakePlatform::Writes() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_writes;
}

std::size_t
FakePlatform::PendingWatchCount() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_pendingWatches.size();
}

void
FakePlatform::Get(PlatformUse aUse,
                  const std::string& aKey,
                  ReplyCallback aDone)
{
  GetFrom({}, aKey, aDone);
}

void
FakePlatform::Put(PlatformUse aUse,
                  const PlatformWrite& aWrite,
                  ReplyCallback aDone)
{
  WriteFrom({}, aWrite, false, aDone);
}

void
FakePlatform::Delete(PlatformUse aUse,
                     const PlatformWrite& aWrite,
                     ReplyCallback aDone)
{
  WriteFrom({}, aWrite, true, aDone);
}

void
FakePlatform::List(PlatformUse aUse,
                   const std::string& aPrefix,
                   ChangesCallback aDone)
{
  ListFrom({}, aPrefix, aDone);
}

void
FakePlatform::Watch(PlatformUse aUse,
                    const std::string& aPrefix,
                    std::uint64_t aAfterRevision,
                    std::chrono::milliseconds aWait,
                    ChangesCallback aDone)
{
  WatchFrom({}, aPrefix, aAfterRevision, aWait, aDone);
}

void
FakePlatform::Vms(VmsCallback aDone)
{
  VmsFrom({}, aDone);
}

} // namespace siskindeal
