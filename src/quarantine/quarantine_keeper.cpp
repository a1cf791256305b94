#include "quarantine_keeper_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"
#include "siskindeal/json.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kMinBackoff{ 500 };
constexpr std::chrono::milliseconds kMaxBackoff{ 10000 };

// Whether aStored lacks part of aLocal. aStored must already have been merged
// into aLocal.
bool
IsOutdated(const wire::Suspicion& aStored, const wire::Suspicion& aLocal)
{
  if (aStored.release() != aLocal.release()) {
    return aStored.release() < aLocal.release();
  }
  if (aStored.quarantined() || aLocal.quarantined()) {
    return !aStored.quarantined();
  }
  if (aStored.version() != aLocal.version()) {
    return aStored.version() < aLocal.version();
  }
  const auto& stored = aStored.crash_ids();
  const auto full = static_cast<int>(SuspicionTable::kMaxCrashes);
  return stored.size() < full &&
         std::any_of(aLocal.crash_ids().begin(),
                     aLocal.crash_ids().end(),
                     [&](const std::string& aCrash) {
                       return std::find(stored.begin(), stored.end(), aCrash) ==
                              stored.end();
                     });
}

} // namespace

std::string
QuarantineKey(std::uint64_t aFingerprint)
{
  return kQuarantinePrefix + FormatFingerprint(aFingerprint);
}

std::string
QuarantineJson(const wire::Suspicion& aSuspicion)
{
  return nlohmann::json{
    { "fingerprint", FormatFingerprint(aSuspicion.fingerprint()) },
    { "class", aSuspicion.class_of_work() },
    { "quarantined", aSuspicion.quarantined() },
    { "release", aSuspicion.release() },
    { "version", aSuspicion.version() },
    { "crashes",
      std::vector<std::string>(aSuspicion.crash_ids().begin(),
                               aSuspicion.crash_ids().end()) }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<wire::Suspicion>
ParseQuarantine(const std::string& aJson)
{
  wire::Suspicion suspicion;
  try {
    const auto json = ParseJson(aJson);
    std::uint64_t fingerprint = 0;
    if (!absl::SimpleHexAtoi(json.at("fingerprint").get<std::string>(),
                             &fingerprint)) {
      return std::nullopt;
    }
    suspicion.set_fingerprint(fingerprint);
    suspicion.set_class_of_work(json.at("class").get<std::string>());
    suspicion.set_quarantined(json.at("quarantined").get<bool>());
    suspicion.set_release(json.at("release").get<std::uint64_t>());
    suspicion.set_version(json.at("version").get<std::uint64_t>());
    for (const auto& crash : json.at("crashes")) {
      suspicion.add_crash_ids(crash.get<std::string>());
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  suspicion.set_crashes(static_cast<std::uint32_t>(suspicion.crash_ids_size()));
  return suspicion;
}

QuarantineKeeper::QuarantineKeeper(Platform& aPlatform,
                                   std::uint64_t aSeed,
                                   Hooks aHooks)
  : m_platform(aPlatform)
  , m_hooks(std::move(aHooks))
  , m_random(aSeed)
  , m_backoff(kMinBackoff, kMaxBackoff)
{
}

void
QuarantineKeeper::OnObject(const PlatformObject& aObject)
{
  const auto value =
    aObject.m_deleted ? std::nullopt : ParseQuarantine(aObject.m_value);
  const bool valid =
    value && QuarantineKey(value->fingerprint()) == aObject.m_key;
  if (!valid && !aObject.m_deleted) {
    Log(LogLevel::Warning,
        "quarantine_object_refused",
        { { "key", aObject.m_key } });
    return;
  }
  {
    const absl::MutexLock lock(&m_mutex);
    auto& known = m_knownObjects[aObject.m_key];
    if (m_stopped || aObject.m_version <= known.m_version) {
      return;
    }
    SISKINDEAL_INVARIANT(!valid || value->release() >= known.m_value.release(),
                         "the release of an object never decreases");
    known = { aObject.m_version,
              valid ? *value : wire::Suspicion(),
              aObject.m_deleted };
  }
  if (valid) {
    m_hooks.m_merge(*value);
  }
  const absl::MutexLock lock(&m_mutex);
  m_syncedSequence.reset();
  ++m_objectsHandled;
}

// A missing object is created only for a quarantine; an existing one is updated
// with every change.
std::optional<wire::Suspicion>
QuarantineKeeper::FindOutdated(const std::vector<wire::Suspicion>& aAll,
                               const std::vector<bool>& aQuarantined) const
{
  for (std::size_t i = 0; i < aAll.size(); ++i) {
    const auto known =
      m_knownObjects.find(QuarantineKey(aAll[i].fingerprint()));
    const bool outdated =
      known == m_knownObjects.end() || known->second.m_deleted
        ? aQuarantined[i]
        : IsOutdated(known->second.m_value, aAll[i]);
    if (outdated) {
      return aAll[i];
    }
  }
  return std::nullopt;
}

void
QuarantineKeeper::Tick(MonotonicTime aNow)
{
  std::uint64_t objectsHandled = 0;
  const auto sequence = m_hooks.m_number();
  {
    const absl::MutexLock lock(&m_mutex);
    m_now = aNow;
    if (m_stopped || m_writeInFlight || aNow < m_notBefore ||
        m_syncedSequence == sequence) {
      return;
    }
    objectsHandled = m_objectsHandled;
  }
  const auto all = m_hooks.m_all();
  std::vector<bool> quarantined;
  quarantined.reserve(all.size());
  for (const auto& suspicion : all) {
    quarantined.push_back(m_hooks.m_stateOf(suspicion.fingerprint()) ==
                          SuspicionState::Quarantined);
  }
  std::optional<wire::Suspicion> outdated;
  std::uint64_t version = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    outdated = FindOutdated(all, quarantined);
    if (!outdated) {
      m_writePending = false;
      if (m_objectsHandled == objectsHandled) {
        m_syncedSequence = sequence;
      }
      return;
    }
    if (!std::exchange(m_writePending, true)) {
      m_notBefore =
        aNow + std::chrono::milliseconds(m_random.Below(
                 static_cast<std::uint64_t>(kMaxWriteDelay.count())));
      return;
    }
    m_writeInFlight = true;
    const auto known =
      m_knownObjects.find(QuarantineKey(outdated->fingerprint()));
    const bool exists =
      known != m_knownObjects.end() && !known->second.m_deleted;
    version = exists ? known->second.m_version : 0;
  }
  Write(*outdated, version);
}

void
QuarantineKeeper::Write(const wire::Suspicion& aValue, std::uint64_t aVersion)
{
  const PlatformWrite write{ QuarantineKey(aValue.fingerprint()),
                             QuarantineJson(aValue),
                             aVersion,
                             NewId() };
  m_platform.Put(PlatformUse::Operator,
                 write,
                 [self = shared_from_this()](const PlatformReply& aReply) {
                   self->OnReply(aReply);
                 });
}

void
QuarantineKeeper::OnReply(const PlatformReply& aReply)
{
  const bool hasObject = aReply.m_outcome == PlatformOutcome::Ok ||
                         aReply.m_outcome == PlatformOutcome::Conflict;
  CountMetric("siskindeal_quarantine_writes_total",
              { { "result", hasObject ? "told" : "failed" } });
  {
    const absl::MutexLock lock(&m_mutex);
    m_writeInFlight = false;
    if (m_stopped) {
      return;
    }
    if (aReply.m_outcome == PlatformOutcome::Ok) {
      m_backoff.Reset();
    } else {
      m_notBefore = m_now + m_backoff.Next(m_random, aReply.m_retryAfter);
    }
  }
  if (hasObject) {
    OnObject(aReply.m_object);
    m_hooks.m_onStored(aReply.m_object);
  }
}

void
QuarantineKeeper::Stop()
{
  const absl::MutexLock lock(&m_mutex);
  m_stopped = true;
}

} // namespace siskindeal
