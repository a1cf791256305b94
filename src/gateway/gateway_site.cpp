// Reads the platform's store and registers the gateway there.

#include "gateway/gateway_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/json.h"
#include "siskindeal/wire_values.h"
#include "site/site_objects_p.h"

#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRegisterRetryDelay{ 700 };
// A version that is found when the process starts counts as due this long after
// the start, until another process reports when it was named.
constexpr milliseconds kDueAfterStart{ 3000 };
// Of a version found by a process that has just begun to read the store.
constexpr milliseconds kMaxAssumedAge{ 3000 };
constexpr milliseconds kGatewayDiscoveryTime{ 1000 };
constexpr int kOk = 200;

} // namespace

void
Gateway::OnRunner(const SiteObject& aObject)
{
  CheckForRunnerOutage(*m_runnerFeed->KnownUntil());
  const std::uint64_t revision = m_runnerFeed->Position().m_revision;
  if (aObject.m_deleted) {
    m_runnerList.Remove(aObject.m_name, revision);
    m_runners.Remove(aObject.m_name, LoopNow());
    return;
  }
  const auto runner = ReadRunner(aObject);
  if (!runner) {
    m_runnerList.Remove(aObject.m_name, revision);
    m_runners.Withdraw(aObject.m_name);
  } else if (m_runnerList.Put(*runner, revision)) {
    m_runners.Put(*runner);
    ObserveCold(*runner);
  }
}

void
Gateway::OnRunners(const std::vector<SiteObject>& aObjects)
{
  CheckForRunnerOutage(*m_runnerFeed->KnownUntil());
  m_haveRunnerList = true;
  const std::vector<RunnerRecord> runners = ReadRunners(aObjects);
  const StorePosition& position = m_runnerFeed->Position();
  m_runnerList.Replace(
    runners, { StableHash(NewId()), position.m_revision, position.m_era });
  m_runners.Replace(runners, LoopNow());
  UpdateColdRunners();
  std::set<std::string> usable;
  for (const RunnerRecord& runner : runners) {
    usable.insert(runner.m_id);
  }
  for (const SiteObject& object : aObjects) {
    if (usable.count(object.m_name) == 0) {
      m_runners.Withdraw(object.m_name);
    }
  }
}

void
Gateway::CheckForRunnerOutage(
  milliseconds aKnownUntil,
  std::optional<milliseconds> aSourceWithoutGapSince)
{
  if (m_runnerOutage.RecordKnown(
        aKnownUntil, BootTime(), aSourceWithoutGapSince)) {
    Log(LogLevel::Info,
        "runner list outage assumed",
        { { "gap_ms", m_runnerOutage.AssumedOutage().count() },
          { "age_ms", (BootTime() - aKnownUntil).count() } });
    m_runners.RecordListFailure(LoopNow());
  }
}

void
Gateway::OnRunnerListReply(const v1::RunnerListReply& aReply,
                           milliseconds aKnownUntil,
                           const std::string& aPeer)
{
  const RunnerListMark mark{ aReply.lineage(),
                             aReply.revision(),
                             aReply.era() };
  const RunnerListMark own = m_runnerList.Mark();
  const auto known = m_runnerFeed->KnownUntil();
  const bool continues = mark.m_lineage == own.m_lineage;
  const bool isSameEra = mark.m_era == own.m_era;
  if (mark.m_era < m_runnerFeed->Era() ||
      (continues && mark.Position() < own.Position()) ||
      (!continues && isSameEra && known && aKnownUntil < *known)) {
    return; // what this gateway has is newer
  }
  if (!continues && !aReply.whole()) {
    Log(LogLevel::Warning,
        "runner list rejected",
        { { "source", aPeer }, { "reason", "changes of an unknown list" } });
    return;
  }
  try {
    const RunnerListDelta delta = DecodeRunnerList(aReply);
    OnStoreEra(mark.m_era);
    CheckForRunnerOutage(
      aKnownUntil,
      aReply.has_without_gap_ms()
        ? std::optional(aKnownUntil - MillisFromWire(aReply.without_gap_ms()))
        : std::nullopt);
    ApplyRunnerDelta(delta, mark);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runner list rejected",
        { { "source", aPeer }, { "reason", std::string_view(error.what()) } });
    return;
  }
  if (!continues) {
    Log(LogLevel::Info,
        "runner list taken over",
        { { "source", aPeer },
          { "runners", aReply.runners_size() },
          { "revision", mark.m_revision } });
    m_runnerFeed->Continue(mark.Position(), aKnownUntil);
  } else {
    m_runnerFeed->RecordKnown(mark.Position(), aKnownUntil);
  }
}

void
Gateway::ApplyRunnerDelta(const RunnerListDelta& aDelta,
                          const RunnerListMark& aMark)
{
  const MonotonicTime now = LoopNow();
  if (aDelta.m_whole) {
    m_haveRunnerList = true;
    m_runnerList.Replace(aDelta.m_runners, aMark);
    m_runners.Replace(aDelta.m_runners, now);
    UpdateColdRunners();
    return;
  }
  for (const RunnerRecord& runner : aDelta.m_runners) {
    if (m_runnerList.Put(runner, aMark.m_revision)) {
      m_runners.Put(runner);
      ObserveCold(runner);
    }
  }
  for (const std::string& id : aDelta.m_removed) {
    m_runnerList.Remove(id, aMark.m_revision);
    m_runners.Remove(id, now);
  }
  m_runnerList.Advance(aMark.m_revision);
}

void
Gateway::OnVersion(const SiteObject& aObject)
{
  const auto named = ReadNamedVersion(aObject);
  if (!named) {
    return;
  }
  const milliseconds now = BootTime();
  const auto unseen = m_versionFeed->UnseenFor();
  const milliseconds age = unseen.value_or(AgeAtStart());
  const bool isExact = unseen == milliseconds(0);
  const bool isNewest =
    isExact
      ? m_named.Record(named->m_model, named->m_version, now)
      : m_named.RecordAssumed(named->m_model, named->m_version, now - age);
  if (!isNewest) {
    return;
  }
  Log(LogLevel::Info,
      "weights named",
      { { "model", named->m_model },
        { "version", named->m_version },
        { "age_ms", age.count() },
        { "assumed", !isExact } });
  // Only one gateway of a region reads the store.
  Advertise(true);
  SendToStagers();
}

milliseconds
Gateway::AgeAtStart() const
{
  const auto uptime =
    std::chrono::duration_cast<milliseconds>(LoopNow() - m_startedAt);
  // Others have told a process that has run for longer of what was named.
  return uptime < kDueAfterStart ? DueAge() - (kDueAfterStart - uptime)
                                 : kMaxAssumedAge;
}

void
Gateway::MergeNamedVersions(
  const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed)
{
  for (const v1::NamedAge& named : aNamed) {
    if (RecordNamedAge(m_named, named, BootTime())) {
      Log(LogLevel::Info,
          "weights named",
          { { "model", named.model() },
            { "version", named.version() },
            { "age_ms", named.age_ms() },
            { "assumed", named.assumed() },
            { "source", "peer" } });
    }
  }
}

milliseconds
Gateway::DueAge() const
{
  // Runners with old weights get no new requests this long before the bound.
  constexpr milliseconds kVersionMargin{ 1000 };
  return m_settings.m_gateway.m_versionWithin - kVersionMargin;
}

void
Gateway::SetVersions(RequestShape& aShape) const
{
  const milliseconds now = BootTime();
  aShape.m_minVersion = m_named.NewestOlderThan(aShape.m_model, DueAge(), now);
  aShape.m_upcoming.clear();
  for (const NamedVersions::Entry& entry :
       m_named.After(aShape.m_model, aShape.m_minVersion.value_or(0))) {
    aShape.m_upcoming.push_back(
      { entry.m_version, DueAge() - (now - entry.m_namedAt) });
  }
}

std::optional<std::uint64_t>
Gateway::OverdueVersion(const std::string& aModel) const
{
  // In which a runner notices that its caller has closed the connection.
  constexpr milliseconds kCancelMargin{ 350 };
  return m_named.NewestOlderThan(
    aModel, m_settings.m_gateway.m_versionWithin - kCancelMargin, BootTime());
}

void
Gateway::LogDueVersions()
{
  for (const std::string& model : m_named.Models()) {
    const auto due = m_named.NewestOlderThan(model, DueAge(), BootTime());
    if (!due || m_dueVersions[model] == *due) {
      continue;
    }
    m_dueVersions[model] = *due;
    std::size_t current = 0;
    std::size_t outdated = 0;
    for (const auto& [id, state] : m_runners.All()) {
      if (state.m_record.m_versions.count(model) > 0) {
        ++(state.VersionOf(model) >= *due ? current : outdated);
      }
    }
    Log(LogLevel::Info,
        "weights due",
        { { "model", model },
          { "version", *due },
          { "runners_current", current },
          { "runners_outdated", outdated } });
  }
}

void
Gateway::OnGateway(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    m_peers.Unregister(aObject.m_name);
    return;
  }
  try {
    const auto spec = ParseJson(aObject.m_spec);
    m_peers.Register(aObject.m_name,
                     ParseAddress(spec.at("datagrams").get<std::string>()),
                     spec.at("region").get<std::string>());
  } catch (const std::exception& error) {
    Log(LogLevel::Warning,
        "gateway registration rejected",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
  }
  UpdateGatewayCount();
}

void
Gateway::OnGateways(const std::vector<SiteObject>& aObjects)
{
  m_haveGatewayList = true;
  if (!m_gatewaysKnownAt) {
    m_gatewaysKnownAt = LoopNow();
  }
  for (const SiteObject& object : aObjects) {
    OnGateway(object);
  }
  UpdateGatewayCount();
}

void
Gateway::UpdateGatewayFeed()
{
  const auto known = m_gatewayFeed->KnownUntil();
  const bool isComplete = m_registeredAt && known && *known >= *m_registeredAt;
  // A gateway that can't register may still be able to read.
  const bool isDue =
    m_registeredAt || LoopNow() - m_startedAt > kGatewayDiscoveryTime;
  m_gatewayFeed->SetActive(isDue && !isComplete);
}

bool
Gateway::KnowsGatewayCount() const
{
  // Without the store, the beacons of the first second show who else runs.
  return m_haveGatewayList || LoopNow() - m_startedAt > kGatewayDiscoveryTime;
}

void
Gateway::UpdateGatewayCount()
{
  // Beacons alone may be of a part of the gateways that share the slack.
  if (m_haveGatewayList) {
    m_retries.SetGatewayCount(m_peers.Count());
  }
}

void
Gateway::RegisterAfter(milliseconds aDelay)
{
  m_registerTimer.expires_after(aDelay);
  m_registerTimer.async_wait([this](const NetError& aError) {
    if (!aError && !m_drainingSince) {
      Register();
    }
  });
}

void
Gateway::Register()
{
  const std::string& vm = m_settings.m_node.m_vm;
  const nlohmann::json spec = {
    { "datagrams", m_settings.m_node.m_rpc.ToString() }, { "region", m_region }
  };
  const std::string body = dialect::EncodeObject(vm, spec.dump());
  const auto scheduleRetry = [this] {
    RegisterAfter(kRegisterRetryDelay / 2 +
                  milliseconds(m_random.Below(kRegisterRetryDelay.count())));
  };
  const auto onRegistered = [this] {
    // The gateways of before are known when it registers again.
    m_registeredAt = m_registeredAt.value_or(BootTime());
    UpdateGatewayFeed();
  };
  const auto onReplaced = [scheduleRetry,
                           onRegistered](const BufferedResponse& aAnswer) {
    if (aAnswer.m_status == kOk) {
      onRegistered();
    } else {
      scheduleRetry();
    }
  };
  const auto onCreated =
    [this, vm, body, scheduleRetry, onRegistered, onReplaced](
      const BufferedResponse& aAnswer) {
      constexpr int kConflict = 409;
      if (aAnswer.m_status == kConflict) {
        CallBuffered(m_loop,
                     m_pool,
                     m_store,
                     "PUT",
                     dialect::ObjectPath(kGatewayKind, vm),
                     body,
                     m_settings.m_platform.m_timeout,
                     onReplaced);
      } else if (aAnswer.m_status / 100 == 2) {
        onRegistered();
      } else {
        scheduleRetry();
      }
    };
  CallBuffered(m_loop,
               m_pool,
               m_store,
               "POST",
               dialect::ListPath(kGatewayKind, {}, dialect::Freshness::Current),
               body,
               m_settings.m_platform.m_timeout,
               onCreated);
}

} // namespace siskindeal
