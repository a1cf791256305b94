#include "membership/exchange_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace siskindeal {

namespace {

// The change counter starts at the incarnation, a time in ms, shifted by this:
// it exceeds the counters of earlier incarnations that made fewer than 2^20
// changes per ms.
constexpr int kCounterShift = 20;
constexpr int kMaxBackoffDoublings = 3;
// Idle time, in heartbeat periods, after which a pair exchanges. The responder
// starts the exchange if the initiator did not.
constexpr double kInitiatorIdleHeartbeats = 2.5;
constexpr double kResponderIdleHeartbeats = 3.5;
// Unsent changes at which an agent's load is sent before the next heartbeat.
constexpr std::uint64_t kMaxPendingChanges = 4;
constexpr std::int64_t kMaxRequestDivergence = 2;
constexpr std::chrono::milliseconds kRepairDelay{ 1000 };
constexpr std::chrono::milliseconds kRepairPeriod{ 2000 };

// Serializes the record without its load and sequence numbers. Only this part
// is compared to detect a changed record.
std::string
SerializedContent(wire::NodeRecord aRecord)
{
  aRecord.clear_sequence();
  aRecord.clear_load_sequence();
  aRecord.clear_load();
  aRecord.clear_cache_events();
  aRecord.clear_progress();
  return aRecord.SerializeAsString();
}

// Serializes the load without the report's age, which is not a change.
std::string
SerializedLoad(const wire::NodeRecord& aRecord)
{
  wire::NodeRecord load;
  *load.mutable_load() = aRecord.load();
  load.mutable_load()->clear_report_age_ms();
  *load.mutable_cache_events() = aRecord.cache_events();
  *load.mutable_progress() = aRecord.progress();
  return load.SerializeAsString();
}

PlatformObject
ToObject(const wire::ObjectRecord& aRecord)
{
  return {
    aRecord.key(), aRecord.version(), aRecord.value(), {}, aRecord.deleted()
  };
}

} // namespace

Exchange::Exchange(const NodeSettings& aNode,
                   const MembershipSettings& aSettings,
                   wire::Role aRole,
                   std::string aAddress,
                   std::uint64_t aIncarnation,
                   std::uint64_t aSeed,
                   ProtocolRange aProtocols)
  : m_node(aNode)
  , m_settings(aSettings)
  , m_role(aRole)
  , m_address(std::move(aAddress))
  , m_protocols(aProtocols)
  , m_incarnation(aIncarnation)
  , m_changeCounter(aIncarnation << kCounterShift)
  , m_random(aSeed)
  , m_table(aNode.m_vm, aSettings.m_unreachableAfter, aProtocols)
{
}

void
Exchange::SetOwn(wire::NodeRecord aRecord,
                 std::vector<wire::TeamUsage> aUsage,
                 MonotonicTime aNow)
{
  aRecord.set_vm(m_node.m_vm);
  aRecord.set_place(m_node.m_place);
  aRecord.set_role(m_role);
  aRecord.set_address(m_address);
  aRecord.set_liveness(m_leaving ? wire::LIVENESS_LEAVING
                                 : wire::LIVENESS_ALIVE);
  aRecord.set_incarnation(m_incarnation);
  aRecord.set_platform_failing(m_platformFailing);
  aRecord.set_protocol_least(m_protocols.m_min);
  aRecord.set_protocol_most(m_protocols.m_max);
  aRecord.clear_hears();
  const auto hears = m_table.RecentSenders(aNow);
  if (m_role == wire::ROLE_AGENT) {
    for (const auto& vm : EntriesForAgent()) {
      if (std::find(hears.begin(), hears.end(), vm) != hears.end()) {
        aRecord.add_hears(vm);
      }
    }
  } else {
    aRecord.mutable_hears()->Add(hears.begin(), hears.end());
  }
  const bool changed =
    SerializedContent(aRecord) != SerializedContent(m_ownRecord);
  const bool loadChanged =
    SerializedLoad(aRecord) != SerializedLoad(m_ownRecord);
  aRecord.set_sequence(m_ownRecord.sequence() + (changed ? 1 : 0));
  aRecord.set_load_sequence(m_ownRecord.load_sequence() +
                            (loadChanged ? 1 : 0));
  m_ownRecord = std::move(aRecord);
  m_usage = std::move(aUsage);
  m_serializedUsage.clear();
  for (const auto& usage : m_usage) {
    m_serializedUsage += usage.SerializeAsString();
  }
  if (changed || loadChanged) {
    m_table.SetOwn(m_ownRecord, ++m_changeCounter);
  }
}

std::vector<PlatformObject>
Exchange::ApplyPlatformObjects(const std::vector<PlatformObject>& aObjects)
{
  std::vector<PlatformObject> newer;
  for (const auto& object : aObjects) {
    if (m_objects.Apply(object, {}, m_changeCounter + 1)) {
      ++m_changeCounter;
      newer.push_back(object);
    }
  }
  return newer;
}

bool
Exchange::ApplySuspicion(const wire::Suspicion& aSuspicion)
{
  if (!m_suspicionTable.Merge(aSuspicion)) {
    return false;
  }
  const auto merged = m_suspicionTable.Find(aSuspicion.fingerprint());
  m_suspicions[aSuspicion.fingerprint()] = { *merged, ++m_changeCounter, {} };
  if (m_suspicions.size() > SuspicionTable::kMaxSuspicions) {
    std::erase_if(m_suspicions, [this](const auto& aRow) {
      return !m_suspicionTable.Find(aRow.first);
    });
  }
  return true;
}

bool
Exchange::IsAcknowledged(std::uint64_t aNumber) const
{
  for (const auto& vm :
       m_role == wire::ROLE_AGENT ? EntriesForAgent() : EntryPeers()) {
    const auto* row = m_table.Find(vm);
    const auto peer = m_peers.find(vm);
    const bool reachable = row->m_liveness == wire::LIVENESS_ALIVE ||
                           row->m_liveness == wire::LIVENESS_LEAVING;
    if (reachable &&
        (peer == m_peers.end() || peer->second.m_acknowledged < aNumber)) {
      return false;
    }
  }
  return true;
}

std::vector<Exchange::OutgoingExchange>
Exchange::Tick(MonotonicTime aNow)
{
  std::vector<OutgoingExchange> calls;
  for (const auto& [vm, address] : Targets()) {
    auto& contact = m_contacts[address];
    if (contact.m_inFlight || aNow < contact.m_backoffUntil) {
      continue;
    }
    const auto idle = aNow - contact.m_lastExchangeAt;
    const auto heartbeat = m_settings.m_heartbeat;
    if (contact.m_emptyDeltaAt == m_changeCounter && idle < heartbeat) {
      continue;
    }
    auto delta = MakeDelta(vm);
    const bool hasChanges = !delta.m_nodes.empty() || !delta.m_usage.empty();
    const bool due =
      (delta.m_urgent && !vm.empty()) ||
      (hasChanges && (m_role == wire::ROLE_AGENT ? ShouldSendLoadNow(contact)
                                                 : idle >= heartbeat)) ||
      idle >=
        (Initiates(vm) ? kInitiatorIdleHeartbeats : kResponderIdleHeartbeats) *
          heartbeat;
    if (!due) {
      contact.m_emptyDeltaAt = hasChanges ? 0 : m_changeCounter;
      continue;
    }
    contact.m_inFlight = true;
    contact.m_lastExchangeAt = aNow;
    contact.m_sentLoadSequence = m_ownRecord.load_sequence();
    contact.m_sentLoadRequests = OwnRequestCount();
    calls.push_back(MakeCall(vm, address, std::move(delta)));
  }
  return calls;
}

std::int64_t
Exchange::OwnRequestCount() const
{
  return static_cast<std::int64_t>(m_ownRecord.load().running()) +
         m_ownRecord.load().waiting();
}

// Whether the load has changed often enough or far enough since it was last
// sent to send it before the next heartbeat.
bool
Exchange::ShouldSendLoadNow(const Contact& aContact) const
{
  return m_ownRecord.load_sequence() - aContact.m_sentLoadSequence >=
           kMaxPendingChanges ||
         std::abs(OwnRequestCount() - aContact.m_sentLoadRequests) >=
           kMaxRequestDivergence;
}

Exchange::OutgoingExchange
Exchange::MakeCall(const std::string& aVm,
                   const std::string& aAddress,
                   Delta aDelta)
{
  const auto& peer = m_peers[aVm];
  OutgoingExchange due;
  due.m_vm = aVm;
  due.m_address = aAddress;
  due.m_number = aDelta.m_number;
  auto& request = due.m_request;
  request.set_vm(m_node.m_vm);
  request.set_incarnation(m_incarnation);
  request.set_full(peer.m_lastReceived == 0);
  request.set_number(aDelta.m_number);
  request.set_acknowledged(peer.m_lastReceived);
  if (m_role == wire::ROLE_ENTRY) { // agents hold only records of entries
    request.set_nodes_digest(m_table.Digest());
  }
  request.set_objects_digest(m_objects.Digest());
  request.mutable_nodes()->Add(aDelta.m_nodes.begin(), aDelta.m_nodes.end());
  request.mutable_objects()->Add(aDelta.m_objects.begin(),
                                 aDelta.m_objects.end());
  request.mutable_suspicions()->Add(aDelta.m_suspicions.begin(),
                                    aDelta.m_suspicions.end());
  if (!aDelta.m_usage.empty()) {
    request.mutable_usage()->Add(aDelta.m_usage.begin(), aDelta.m_usage.end());
    m_sentUsage[aVm] = m_serializedUsage;
  }
  return due;
}

wire::ExchangeReply
Exchange::OnRequest(const wire::ExchangeRequest& aRequest,
                    MonotonicTime aNow,
                    Updates& aUpdates)
{
  const auto& vm = aRequest.vm();
  auto& peer = m_peers[vm];
  if (peer.m_incarnation != aRequest.incarnation() || aRequest.full()) {
    peer = {};
    peer.m_incarnation = aRequest.incarnation();
  }
  if (aRequest.acknowledged() <= m_changeCounter) {
    peer.m_acknowledged =
      std::max(peer.m_acknowledged, aRequest.acknowledged());
  }
  ApplyRecords(vm,
               aRequest.nodes(),
               aRequest.objects(),
               aRequest.suspicions(),
               aRequest.usage(),
               aNow,
               aUpdates);
  peer.m_lastReceived = std::max(peer.m_lastReceived, aRequest.number());
  CompareDigests(
    peer, aRequest.nodes_digest(), aRequest.objects_digest(), aNow);
  if (const auto* row = m_table.Find(vm)) {
    m_contacts[row->m_record.address()].m_lastExchangeAt = aNow;
    m_contacts[row->m_record.address()].m_backoffUntil = {};
  }
  // The delta depends on the peer's role, so an unknown peer must resend its
  // record first.
  const bool known = m_table.Find(vm) != nullptr;
  auto delta = known ? MakeDelta(vm) : Delta{};
  wire::ExchangeReply reply;
  reply.set_vm(m_node.m_vm);
  reply.set_incarnation(m_incarnation);
  reply.set_acknowledged(aRequest.number());
  reply.set_number(delta.m_number);
  reply.set_nodes_digest(m_table.Digest());
  reply.set_objects_digest(m_objects.Digest());
  reply.set_resend_full(!known);
  reply.mutable_nodes()->Add(delta.m_nodes.begin(), delta.m_nodes.end());
  reply.mutable_objects()->Add(delta.m_objects.begin(), delta.m_objects.end());
  reply.mutable_suspicions()->Add(delta.m_suspicions.begin(),
                                  delta.m_suspicions.end());
  reply.mutable_usage()->Add(delta.m_usage.begin(), delta.m_usage.end());
  // m_sentUsage is not updated, as the reply may be lost: a later request
  // sends the usage again.
  return reply;
}

void
Exchange::OnReply(const OutgoingExchange& aDue,
                  const wire::ExchangeReply& aReply,
                  MonotonicTime aNow,
                  Updates& aUpdates)
{
  if (aReply.vm().empty()) { // the peer is not ready yet
    OnFailure(aDue, aNow);
    return;
  }
  auto& contact = m_contacts[aDue.m_address];
  contact.m_inFlight = false;
  contact.m_failures = 0;
  contact.m_backoffUntil = {};
  const auto& vm = aReply.vm();
  if (vm == m_node.m_vm) {
    return;
  }
  auto& peer = m_peers[vm];
  if (peer.m_incarnation != aReply.incarnation()) {
    peer = {};
    peer.m_incarnation = aReply.incarnation();
  }
  peer.m_acknowledged = std::max(peer.m_acknowledged, aDue.m_number);
  ApplyRecords(vm,
               aReply.nodes(),
               aReply.objects(),
               aReply.suspicions(),
               aReply.usage(),
               aNow,
               aUpdates);
  peer.m_lastReceived = std::max(peer.m_lastReceived, aReply.number());
  CompareDigests(peer, aReply.nodes_digest(), aReply.objects_digest(), aNow);
  if (aReply.resend_full()) {
    peer.m_acknowledged = 0;
  }
}

void
Exchange::OnFailure(const OutgoingExchange& aDue, MonotonicTime aNow)
{
  auto& contact = m_contacts[aDue.m_address];
  contact.m_inFlight = false;
  const auto doublings = std::min(contact.m_failures, kMaxBackoffDoublings);
  ++contact.m_failures;
  const auto ceiling = m_settings.m_heartbeat * (1 << doublings);
  contact.m_backoffUntil =
    aNow + ceiling / 2 +
    std::chrono::milliseconds(
      m_random.Below(static_cast<std::uint64_t>(ceiling.count()) / 2 + 1));
  m_sentUsage.erase(aDue.m_vm);
}

void
Exchange::ApplyRecords(
  const std::string& aFrom,
  const google::protobuf::RepeatedPtrField<wire::NodeRecord>& aNodes,
  const google::protobuf::RepeatedPtrField<wire::ObjectRecord>& aObjects,
  const google::protobuf::RepeatedPtrField<wire::Suspicion>& aSuspicions,
  const google::protobuf::RepeatedPtrField<wire::TeamUsage>& aUsage,
  MonotonicTime aNow,
  Updates& aUpdates)
{
  for (const auto& record : aNodes) {
    if (record.vm() == m_node.m_vm && record.incarnation() >= m_incarnation &&
        (record.incarnation() > m_incarnation ||
         record.sequence() > m_ownRecord.sequence())) {
      // An earlier incarnation had a later clock. Supersede its records.
      m_incarnation = record.incarnation() + 1;
      continue;
    }
    if (m_table.Merge(record, aFrom, m_changeCounter + 1, aNow)) {
      ++m_changeCounter;
      aUpdates.m_nodes = true;
    }
  }
  m_table.OnMessageFrom(aFrom, aNow);
  for (const auto& record : aObjects) {
    auto object = ToObject(record);
    if (m_objects.Apply(object, aFrom, m_changeCounter + 1)) {
      ++m_changeCounter;
      aUpdates.m_objects.push_back(std::move(object));
    }
  }
  for (const auto& suspicion : aSuspicions) {
    if (ApplySuspicion(suspicion)) {
      m_suspicions[suspicion.fingerprint()].m_from = aFrom;
      aUpdates.m_suspicions.push_back(suspicion);
    }
  }
  if (!aUsage.empty()) {
    aUpdates.m_usageFrom = aFrom;
    aUpdates.m_usage.assign(aUsage.begin(), aUsage.end());
  }
}

// Deltas between two processes are lossless. Differences in records from third
// processes are detected by comparing digests and repaired by relaying.
void
Exchange::CompareDigests(Peer& aPeer,
                         std::uint64_t aNodesDigest,
                         std::uint64_t aObjectsDigest,
                         MonotonicTime aNow)
{
  aPeer.m_objectsDigest = aObjectsDigest;
  const bool comparesNodes = m_role == wire::ROLE_ENTRY && aNodesDigest != 0;
  const bool same = aObjectsDigest == m_objects.Digest() &&
                    (!comparesNodes || aNodesDigest == m_table.Digest());
  if (same) {
    aPeer.m_digestsMatchedAt = m_changeCounter;
    aPeer.m_repairing = false;
    aPeer.m_divergedSince.reset();
    return;
  }
  if (!aPeer.m_divergedSince) {
    aPeer.m_divergedSince = aNow;
  }
  const bool recent =
    aPeer.m_lastRepairAt && aNow - *aPeer.m_lastRepairAt < kRepairPeriod;
  if (aNow - *aPeer.m_divergedSince >= kRepairDelay && !recent) {
    aPeer.m_repairing = true;
    aPeer.m_acknowledged =
      std::min(aPeer.m_acknowledged, aPeer.m_digestsMatchedAt);
    aPeer.m_lastRepairAt = aNow;
  }
}

void
Exchange::SetListed(const std::vector<VmListing>& aVms, MonotonicTime aNow)
{
  std::map<std::string, bool> leavingByVm;
  m_listedEntries.clear();
  for (const auto& listing : aVms) {
    leavingByVm[listing.m_vm] = listing.m_leaving;
    if (listing.m_service.empty() && !listing.m_rpcAddress.empty()) {
      m_listedEntries.push_back(listing.m_rpcAddress);
    }
  }
  m_table.SetListed(std::move(leavingByVm), aNow);
}

} // namespace siskindeal
