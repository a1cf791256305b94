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
// Assumed age of a version found in a list, until another process reports when
// it was named.
constexpr milliseconds kAssumedAge{ 3000 };
constexpr milliseconds kGatewayDiscoveryTime{ 1000 };
// Runners expire from the list after three heartbeats of 1.2 s, so in an outage
// of the store that is shorter none does.
constexpr milliseconds kMinOutage{ 2000 };
constexpr int kOk = 200;

} // namespace

void
Gateway::OnRunner(const SiteObject& aObject)
{
  CheckForRunnerOutage(*m_runnerFeed->KnownUntil());
  const std::uint64_t revision = m_runnerFeed->Revision();
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
  }
}

void
Gateway::OnRunners(const std::vector<SiteObject>& aObjects)
{
  CheckForRunnerOutage(*m_runnerFeed->KnownUntil());
  m_haveRunnerList = true;
  const std::vector<RunnerRecord> runners = ReadRunners(aObjects);
  m_runnerList.Replace(runners,
                       { StableHash(NewId()), m_runnerFeed->Revision() });
  m_runners.Replace(runners, LoopNow());
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
Gateway::CheckForRunnerOutage(milliseconds aKnownUntil)
{
  if (m_runnersKnownUntil && aKnownUntil - *m_runnersKnownUntil > kMinOutage) {
    m_runners.RecordListFailure(LoopNow());
  }
  m_runnersKnownUntil =
    std::max(m_runnersKnownUntil.value_or(aKnownUntil), aKnownUntil);
}

void
Gateway::OnRunnerListReply(const v1::RunnerListReply& aReply,
                           milliseconds aKnownUntil,
                           const std::string& aPeer)
{
  const RunnerListMark mark{ aReply.lineage(), aReply.revision() };
  const RunnerListMark own = m_runnerList.Mark();
  const auto known = m_runnerFeed->KnownUntil();
  const bool continues = mark.m_lineage == own.m_lineage;
  if ((continues && mark.m_revision < own.m_revision) ||
      (!continues && known && aKnownUntil < *known)) {
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
    CheckForRunnerOutage(aKnownUntil);
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
    m_runnerFeed->Continue(mark.m_revision, aKnownUntil);
  } else {
    m_runnerFeed->RecordKnown(mark.m_revision, aKnownUntil);
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
    return;
  }
  for (const RunnerRecord& runner : aDelta.m_runners) {
    if (m_runnerList.Put(runner, aMark.m_revision)) {
      m_runners.Put(runner);
    }
  }
  for (const std::string& id : aDelta.m_removed) {
    m_runnerList.Remove(id, aMark.m_revision);
    m_runners.Remove(id, now);
  }
  m_runnerList.Advance(aMark.m_revision);
}

void
Gateway::OnVersion(const SiteObject& aObject, milliseconds aAge)
{
  const auto named = ReadNamedVersion(aObject);
  if (named &&
      m_named.Record(named->m_model, named->m_version, BootTime() - aAge)) {
    Log(LogLevel::Info,
        "weights named",
        { { "model", named->m_model },
          { "version", named->m_version },
          { "assumed_age_ms", aAge.count() } });
    // Only one gateway of a region reads the store.
    Advertise(true);
    SendToStagers();
  }
}

void
Gateway::OnListedVersion(const SiteObject& aObject)
{
  const auto named = ReadNamedVersion(aObject);
  const bool isKnown =
    named &&
    m_named.NamedAt(named->m_model, named->m_version) != milliseconds(0);
  if (!isKnown) {
    OnVersion(aObject, kAssumedAge);
  }
}

void
Gateway::MergeNamedVersions(
  const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed)
{
  for (const v1::NamedAge& named : aNamed) {
    m_named.Record(named.model(),
                   named.version(),
                   BootTime() - MillisFromWire(named.age_ms()));
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
  if (KnowsGatewayCount()) {
    m_retries.SetGatewayCount(m_peers.Count());
  }
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
    m_registerTimer.expires_after(kRegisterRetryDelay);
    m_registerTimer.async_wait([this](const NetError& aError) {
      if (!aError && !m_drainingSince) {
        Register();
      }
    });
  };
  const auto onRegistered = [this] {
    m_registeredAt = BootTime();
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
