#include "membership/exchange_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kCounterShift = 20; // changes a millisecond of earlier starts
constexpr int kMostBackoffDoublings = 3;
// Heartbeats after which a pair without news exchanges: the one of the two that
// begins, and the other where that fails.
constexpr double kQuiet = 2.5;
constexpr double kQuietOther = 3.5;
// Bounds on an agent's load as entries have it, besides its age.
constexpr std::uint64_t kPendingChanges = 4;
constexpr std::int64_t kDivergentRequests = 2;
constexpr std::chrono::milliseconds kDifferBeforeRepair{ 1000 };
constexpr std::chrono::milliseconds kRepairPeriod{ 2000 };

// What counts as a change of the record itself.
std::string
ContentOf(wire::NodeRecord aRecord)
{
  aRecord.clear_sequence();
  aRecord.clear_load_sequence();
  aRecord.clear_load();
  aRecord.clear_cache_events();
  aRecord.clear_progress();
  return aRecord.SerializeAsString();
}

// What counts as a change of load; a report only growing older doesn't.
std::string
LoadOf(const wire::NodeRecord& aRecord)
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
  , m_counter(aIncarnation << kCounterShift)
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
  aRecord.set_protocol_least(m_protocols.m_least);
  aRecord.set_protocol_most(m_protocols.m_most);
  aRecord.clear_hears();
  const auto hears = m_table.Hears(aNow);
  if (m_role == wire::ROLE_AGENT) {
    for (const auto& vm : EntriesForAgent()) {
      if (std::find(hears.begin(), hears.end(), vm) != hears.end()) {
        aRecord.add_hears(vm);
      }
    }
  } else {
    aRecord.mutable_hears()->Add(hears.begin(), hears.end());
  }
  const bool changed = ContentOf(aRecord) != ContentOf(m_own);
  const bool loadChanged = LoadOf(aRecord) != LoadOf(m_own);
  aRecord.set_sequence(m_own.sequence() + (changed ? 1 : 0));
  aRecord.set_load_sequence(m_own.load_sequence() + (loadChanged ? 1 : 0));
  m_own = std::move(aRecord);
  m_usage = std::move(aUsage);
  m_usageText.clear();
  for (const auto& usage : m_usage) {
    m_usageText += usage.SerializeAsString();
  }
  if (changed || loadChanged) {
    m_table.SetOwn(m_own, ++m_counter);
  }
}

std::vector<PlatformObject>
Exchange::ApplyDirect(const std::vector<PlatformObject>& aObjects)
{
  std::vector<PlatformObject> newer;
  for (const auto& object : aObjects) {
    if (m_objects.Apply(object, {}, m_counter + 1)) {
      ++m_counter;
      newer.push_back(object);
    }
  }
  return newer;
}

bool
Exchange::ApplySuspicion(const wire::Suspicion& aSuspicion)
{
  if (!m_suspected.Merge(aSuspicion)) {
    return false;
  }
  const auto merged = m_suspected.Find(aSuspicion.fingerprint());
  m_suspicions[aSuspicion.fingerprint()] = { *merged, ++m_counter, {} };
  if (m_suspicions.size() > SuspicionTable::kMost) {
    std::erase_if(m_suspicions, [this](const auto& aRow) {
      return !m_suspected.Find(aRow.first);
    });
  }
  return true;
}

bool
Exchange::Acknowledged(std::uint64_t aNumber) const
{
  for (const auto& vm :
       m_role == wire::ROLE_AGENT ? EntriesForAgent() : PartnerVms()) {
    const auto* row = m_table.Find(vm);
    const auto peer = m_peers.find(vm);
    const bool reachable = row->m_liveness == wire::LIVENESS_ALIVE ||
                           row->m_liveness == wire::LIVENESS_LEAVING;
    if (reachable && (peer == m_peers.end() || peer->second.m_sent < aNumber)) {
      return false;
    }
  }
  return true;
}

std::vector<Exchange::Due>
Exchange::Tick(MonotonicTime aNow)
{
  std::vector<Due> calls;
  for (const auto& [vm, address] : Targets()) {
    auto& contact = m_contacts[address];
    if (contact.m_out || aNow < contact.m_notBefore) {
      continue;
    }
    const auto quiet = aNow - contact.m_lastTry;
    const auto beat = m_settings.m_heartbeat;
    if (contact.m_nothingNewAt == m_counter && quiet < beat) {
      continue;
    }
    auto delta = DeltaFor(vm);
    const bool news = !delta.m_nodes.empty() || !delta.m_usage.empty();
    const bool due =
      (delta.m_urgent && !vm.empty()) ||
      (news && (m_role == wire::ROLE_AGENT ? LoadBoundReached(contact)
                                           : quiet >= beat)) ||
      quiet >= (Initiates(vm) ? kQuiet : kQuietOther) * beat;
    if (!due) {
      contact.m_nothingNewAt = news ? 0 : m_counter;
      continue;
    }
    contact.m_out = true;
    contact.m_lastTry = aNow;
    contact.m_loadSequence = m_own.load_sequence();
    contact.m_loadRequests = OwnRequests();
    calls.push_back(MakeDue(vm, address, std::move(delta)));
  }
  return calls;
}

std::int64_t
Exchange::OwnRequests() const
{
  return static_cast<std::int64_t>(m_own.load().running()) +
         m_own.load().waiting();
}

// An agent's load goes out before the next heartbeat once it has changed often
// or far enough since it was last sent.
bool
Exchange::LoadBoundReached(const Contact& aContact) const
{
  return m_own.load_sequence() - aContact.m_loadSequence >= kPendingChanges ||
         std::abs(OwnRequests() - aContact.m_loadRequests) >=
           kDivergentRequests;
}

Exchange::Due
Exchange::MakeDue(const std::string& aVm,
                  const std::string& aAddress,
                  Delta aDelta)
{
  const auto& peer = m_peers[aVm];
  Due due;
  due.m_vm = aVm;
  due.m_address = aAddress;
  due.m_number = aDelta.m_number;
  auto& request = due.m_request;
  request.set_vm(m_node.m_vm);
  request.set_incarnation(m_incarnation);
  request.set_full(peer.m_number == 0);
  request.set_number(aDelta.m_number);
  request.set_acknowledged(peer.m_number);
  if (m_role == wire::ROLE_ENTRY) { // an agent holds only entries' records
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
    m_usageSent[aVm] = m_usageText;
  }
  return due;
}

wire::ExchangeReply
Exchange::OnRequest(const wire::ExchangeRequest& aRequest,
                    MonotonicTime aNow,
                    News& aNews)
{
  const auto& vm = aRequest.vm();
  auto& peer = m_peers[vm];
  if (peer.m_incarnation != aRequest.incarnation() || aRequest.full()) {
    peer = {};
    peer.m_incarnation = aRequest.incarnation();
  }
  if (aRequest.acknowledged() <= m_counter) {
    peer.m_sent = std::max(peer.m_sent, aRequest.acknowledged());
  }
  TakeIn(vm,
         aRequest.nodes(),
         aRequest.objects(),
         aRequest.suspicions(),
         aRequest.usage(),
         aNow,
         aNews);
  peer.m_number = std::max(peer.m_number, aRequest.number());
  Compare(peer, aRequest.nodes_digest(), aRequest.objects_digest(), aNow);
  if (const auto* row = m_table.Find(vm)) {
    m_contacts[row->m_record.address()].m_lastTry = aNow;
    m_contacts[row->m_record.address()].m_notBefore = {};
  }
  // What a process is to be told depends on its role; one that isn't held must
  // send its record anew first.
  const bool known = m_table.Find(vm) != nullptr;
  auto delta = known ? DeltaFor(vm) : Delta{};
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
  return reply; // usage may be lost with it, and is sent again by a call
}

void
Exchange::OnReply(const Due& aDue,
                  const wire::ExchangeReply& aReply,
                  MonotonicTime aNow,
                  News& aNews)
{
  if (aReply.vm().empty()) { // it listens and is not ready yet
    OnFailure(aDue, aNow);
    return;
  }
  auto& contact = m_contacts[aDue.m_address];
  contact.m_out = false;
  contact.m_failures = 0;
  contact.m_notBefore = {};
  const auto& vm = aReply.vm();
  if (vm == m_node.m_vm) {
    return;
  }
  auto& peer = m_peers[vm];
  if (peer.m_incarnation != aReply.incarnation()) {
    peer = {};
    peer.m_incarnation = aReply.incarnation();
  }
  peer.m_sent = std::max(peer.m_sent, aDue.m_number);
  TakeIn(vm,
         aReply.nodes(),
         aReply.objects(),
         aReply.suspicions(),
         aReply.usage(),
         aNow,
         aNews);
  peer.m_number = std::max(peer.m_number, aReply.number());
  Compare(peer, aReply.nodes_digest(), aReply.objects_digest(), aNow);
  if (aReply.resend_full()) {
    peer.m_sent = 0;
  }
}

void
Exchange::OnFailure(const Due& aDue, MonotonicTime aNow)
{
  auto& contact = m_contacts[aDue.m_address];
  contact.m_out = false;
  const auto doublings = std::min(contact.m_failures, kMostBackoffDoublings);
  ++contact.m_failures;
  const auto ceiling = m_settings.m_heartbeat * (1 << doublings);
  contact.m_notBefore = aNow + ceiling / 2 +
                        std::chrono::milliseconds(m_random.Below(
                          static_cast<std::uint64_t>(ceiling.count()) / 2 + 1));
  m_usageSent.erase(aDue.m_vm);
}

void
Exchange::TakeIn(
  const std::string& aFrom,
  const google::protobuf::RepeatedPtrField<wire::NodeRecord>& aNodes,
  const google::protobuf::RepeatedPtrField<wire::ObjectRecord>& aObjects,
  const google::protobuf::RepeatedPtrField<wire::Suspicion>& aSuspicions,
  const google::protobuf::RepeatedPtrField<wire::TeamUsage>& aUsage,
  MonotonicTime aNow,
  News& aNews)
{
  for (const auto& record : aNodes) {
    if (record.vm() == m_node.m_vm && record.incarnation() >= m_incarnation &&
        (record.incarnation() > m_incarnation ||
         record.sequence() > m_own.sequence())) {
      // An earlier start had a later clock: its records are overruled.
      m_incarnation = record.incarnation() + 1;
      continue;
    }
    if (m_table.Merge(record, aFrom, m_counter + 1, aNow)) {
      ++m_counter;
      aNews.m_nodes = true;
    }
  }
  m_table.Heard(aFrom, aNow);
  for (const auto& record : aObjects) {
    auto object = ToObject(record);
    if (m_objects.Apply(object, aFrom, m_counter + 1)) {
      ++m_counter;
      aNews.m_objects.push_back(std::move(object));
    }
  }
  for (const auto& suspicion : aSuspicions) {
    if (ApplySuspicion(suspicion)) {
      m_suspicions[suspicion.fingerprint()].m_from = aFrom;
      aNews.m_suspicions.push_back(suspicion);
    }
  }
  if (!aUsage.empty()) {
    aNews.m_usageFrom = aFrom;
    aNews.m_usage.assign(aUsage.begin(), aUsage.end());
  }
}

// Deltas lose nothing between two processes; what reaches neither of them
// directly is found by comparing digests, and then relayed.
void
Exchange::Compare(Peer& aPeer,
                  std::uint64_t aNodesDigest,
                  std::uint64_t aObjectsDigest,
                  MonotonicTime aNow)
{
  aPeer.m_objectsDigest = aObjectsDigest;
  const bool comparesNodes = m_role == wire::ROLE_ENTRY && aNodesDigest != 0;
  const bool same = aObjectsDigest == m_objects.Digest() &&
                    (!comparesNodes || aNodesDigest == m_table.Digest());
  if (same) {
    aPeer.m_agreed = m_counter;
    aPeer.m_relayAll = false;
    aPeer.m_differsSince.reset();
    return;
  }
  if (!aPeer.m_differsSince) {
    aPeer.m_differsSince = aNow;
  }
  const bool recent =
    aPeer.m_repairedAt && aNow - *aPeer.m_repairedAt < kRepairPeriod;
  if (aNow - *aPeer.m_differsSince >= kDifferBeforeRepair && !recent) {
    aPeer.m_relayAll = true;
    aPeer.m_sent = std::min(aPeer.m_sent, aPeer.m_agreed);
    aPeer.m_repairedAt = aNow;
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
