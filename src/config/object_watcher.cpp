#include "config/object_watcher_p.h"

#include "config/object_cache_p.h"

#include "siskindeal/metrics.h"

#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kWatchTimeout{ 20000 };
constexpr std::chrono::milliseconds kMinRetryDelay{ 100 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 3000 };
// A relayed object that the watch has not returned within this time may have
// been deleted before the watch started.
constexpr std::chrono::milliseconds kConfirmDelay{ 2000 };
constexpr std::chrono::milliseconds kConfirmPeriod{ 5000 };

} // namespace

ObjectWatcher::ObjectWatcher(Platform& aPlatform,
                             std::string aPrefix,
                             std::uint64_t aSeed,
                             Hooks aHooks)
  : m_platform(aPlatform)
  , m_prefix(std::move(aPrefix))
  , m_hooks(std::move(aHooks))
  , m_random(aSeed)
  , m_backoff(kMinRetryDelay, kMaxRetryDelay)
{
}

void
ObjectWatcher::Tick(MonotonicTime aNow, bool aWatching)
{
  ConfirmRelayedObjects(aNow);
  std::optional<std::uint64_t> revision;
  {
    const absl::MutexLock lock(&m_mutex);
    m_lastTickAt = aNow;
    if (m_watching && !aWatching) {
      m_revision.reset(); // the next watch starts with a list
    }
    m_watching = aWatching;
    if (!aWatching || m_callInFlight || m_stopped || aNow < m_backoffUntil) {
      return;
    }
    m_callInFlight = true;
    revision = m_revision;
  }
  if (revision) {
    Watch(*revision);
  } else {
    List();
  }
}

void
ObjectWatcher::List()
{
  m_platform.List(PlatformUse::Config,
                  m_prefix,
                  [self = shared_from_this(),
                   held = m_hooks.m_held()](const PlatformChanges& aChanges) {
                    self->OnList(held, aChanges);
                  });
}

// Lists the prefix in parallel with the watch while it has an unconfirmed
// object.
void
ObjectWatcher::ConfirmRelayedObjects(MonotonicTime aNow)
{
  const bool unconfirmed = m_hooks.m_unconfirmed();
  {
    const absl::MutexLock lock(&m_mutex);
    if (!unconfirmed || !m_watching || !m_revision) {
      m_unconfirmedSince.reset();
      return;
    }
    if (!m_unconfirmedSince) {
      m_unconfirmedSince = aNow;
    }
    if (m_confirming || m_stopped || m_failing ||
        aNow - *m_unconfirmedSince < kConfirmDelay ||
        aNow - m_lastConfirmAt < kConfirmPeriod) {
      return;
    }
    m_confirming = true;
    m_lastConfirmAt = aNow;
  }
  m_platform.List(PlatformUse::Config,
                  m_prefix,
                  [self = shared_from_this(),
                   held = m_hooks.m_held()](const PlatformChanges& aChanges) {
                    {
                      const absl::MutexLock lock(&self->m_mutex);
                      self->m_confirming = false;
                      if (self->m_stopped ||
                          aChanges.m_outcome != PlatformOutcome::Ok) {
                        return;
                      }
                    }
                    self->ApplyList(held, aChanges);
                  });
}

void
ObjectWatcher::ApplyList(const std::map<std::string, std::uint64_t>& aHeld,
                         const PlatformChanges& aChanges)
{
  auto objects = ObjectCache::MakeTombstones(aHeld, aChanges.m_objects);
  objects.insert(
    objects.end(), aChanges.m_objects.begin(), aChanges.m_objects.end());
  m_hooks.m_onObjects(objects);
}

void
ObjectWatcher::Watch(std::uint64_t aAfter)
{
  m_platform.Watch(
    PlatformUse::Config,
    m_prefix,
    aAfter,
    kWatchTimeout,
    [self = shared_from_this()](const PlatformChanges& aChanges) {
      self->OnWatch(aChanges);
    });
}

void
ObjectWatcher::OnList(const std::map<std::string, std::uint64_t>& aHeld,
                      const PlatformChanges& aChanges)
{
  {
    const absl::MutexLock lock(&m_mutex);
    m_callInFlight = false;
    if (m_stopped) {
      return;
    }
    if (aChanges.m_outcome != PlatformOutcome::Ok) {
      return RecordFailure();
    }
    m_failing = false;
    m_backoff.Reset();
    if (m_watching) {
      m_revision = aChanges.m_revision;
    }
  }
  ApplyList(aHeld, aChanges);
}

void
ObjectWatcher::OnWatch(const PlatformChanges& aChanges)
{
  {
    const absl::MutexLock lock(&m_mutex);
    m_callInFlight = false;
    if (m_stopped) {
      return;
    }
    if (aChanges.m_outcome == PlatformOutcome::Compacted) {
      CountMetric("siskindeal_watch_compacted_total");
      m_revision.reset();
      return;
    }
    if (aChanges.m_outcome != PlatformOutcome::Ok) {
      return RecordFailure();
    }
    m_failing = false;
    m_backoff.Reset();
    if (m_revision && aChanges.m_revision > *m_revision) {
      m_revision = aChanges.m_revision;
    }
  }
  m_hooks.m_onObjects(aChanges.m_objects);
}

void
ObjectWatcher::RecordFailure()
{
  m_failing = true;
  m_backoffUntil = m_lastTickAt + m_backoff.Next(m_random);
}

bool
ObjectWatcher::Failing() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_failing;
}

bool
ObjectWatcher::Listed() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_revision.has_value();
}

void
ObjectWatcher::Stop()
{
  const absl::MutexLock lock(&m_mutex);
  m_stopped = true;
}

} // namespace siskindeal
