#include "quarantine_keeper_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kLeastRetry{ 500 };
constexpr std::chrono::milliseconds kMostRetry{ 10000 };

// Whether the object lacks something that the table says. The table has been
// merged with the object before.
bool
IsBehind(const wire::Suspicion& aObject, const wire::Suspicion& aTable)
{
  if (aObject.release() != aTable.release()) {
    return aObject.release() < aTable.release();
  }
  if (aObject.quarantined() || aTable.quarantined()) {
    return !aObject.quarantined();
  }
  if (aObject.version() != aTable.version()) {
    return aObject.version() < aTable.version();
  }
  const auto& held = aObject.crash_ids();
  const auto full = static_cast<int>(SuspicionTable::kMostCrashes);
  return held.size() < full &&
         std::any_of(aTable.crash_ids().begin(),
                     aTable.crash_ids().end(),
                     [&](const std::string& aCrash) {
                       return std::find(held.begin(), held.end(), aCrash) ==
                              held.end();
                     });
}

} // namespace

std::string
QuarantineKey(std::uint64_t aFingerprint)
{
  return kQuarantinePrefix + FingerprintText(aFingerprint);
}

std::string
QuarantineJson(const wire::Suspicion& aSuspicion)
{
  return nlohmann::json{
    { "fingerprint", FingerprintText(aSuspicion.fingerprint()) },
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
    const auto json = nlohmann::json::parse(aJson);
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
  , m_backoff(kLeastRetry, kMostRetry)
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
    auto& held = m_held[aObject.m_key];
    if (m_stopped || aObject.m_version <= held.m_version) {
      return;
    }
    SISKINDEAL_INVARIANT(!valid || value->release() >= held.m_value.release(),
                         "no writer takes a release back");
    held = { aObject.m_version,
             valid ? *value : wire::Suspicion(),
             aObject.m_deleted };
  }
  if (valid) {
    m_hooks.m_merge(*value);
  }
  const absl::MutexLock lock(&m_mutex);
  m_settled.reset();
  ++m_objects;
}

// A quarantine that the platform doesn't know, or whatever became of one that
// it does.
std::optional<wire::Suspicion>
QuarantineKeeper::FirstBehind(const std::vector<wire::Suspicion>& aAll,
                              const std::vector<bool>& aQuarantined) const
{
  for (std::size_t i = 0; i < aAll.size(); ++i) {
    const auto held = m_held.find(QuarantineKey(aAll[i].fingerprint()));
    const bool behind = held == m_held.end() || held->second.m_deleted
                          ? aQuarantined[i]
                          : IsBehind(held->second.m_value, aAll[i]);
    if (behind) {
      return aAll[i];
    }
  }
  return std::nullopt;
}

void
QuarantineKeeper::Tick(MonotonicTime aNow)
{
  std::uint64_t objects = 0;
  const auto number = m_hooks.m_number();
  {
    const absl::MutexLock lock(&m_mutex);
    m_now = aNow;
    if (m_stopped || m_out || aNow < m_notBefore || m_settled == number) {
      return;
    }
    objects = m_objects;
  }
  const auto all = m_hooks.m_all();
  std::vector<bool> quarantined;
  quarantined.reserve(all.size());
  for (const auto& one : all) {
    quarantined.push_back(m_hooks.m_stateOf(one.fingerprint()) ==
                          SuspicionState::Quarantined);
  }
  std::optional<wire::Suspicion> behind;
  std::uint64_t version = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    behind = FirstBehind(all, quarantined);
    if (!behind) {
      m_due = false;
      if (m_objects == objects) {
        m_settled = number;
      }
      return;
    }
    if (!std::exchange(m_due, true)) {
      m_notBefore = aNow + std::chrono::milliseconds(m_random.Below(
                             static_cast<std::uint64_t>(kLongestWait.count())));
      return;
    }
    m_out = true;
    const auto held = m_held.find(QuarantineKey(behind->fingerprint()));
    const bool there = held != m_held.end() && !held->second.m_deleted;
    version = there ? held->second.m_version : 0;
  }
  Write(*behind, version);
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
  const bool told = aReply.m_outcome == PlatformOutcome::Ok ||
                    aReply.m_outcome == PlatformOutcome::Conflict;
  CountMetric("siskindeal_quarantine_writes_total",
              { { "result", told ? "told" : "failed" } });
  {
    const absl::MutexLock lock(&m_mutex);
    m_out = false;
    if (m_stopped) {
      return;
    }
    if (aReply.m_outcome == PlatformOutcome::Ok) {
      m_backoff.Reset();
    } else {
      m_notBefore = m_now + m_backoff.Next(m_random, aReply.m_retryAfter);
    }
  }
  if (told) {
    OnObject(aReply.m_object);
    m_hooks.m_learned(aReply.m_object);
  }
}

void
QuarantineKeeper::Stop()
{
  const absl::MutexLock lock(&m_mutex);
  m_stopped = true;
}

} // namespace siskindeal
