#pragma once
// The delta protocol between processes: which records to send to which peer,
// and how received ones are merged. Does no I/O; NodeSyncDriver drives it.

#include "config/object_cache_p.h"
#include "membership/membership_table_p.h"

#include "siskindeal/clock.h"
#include "siskindeal/quarantine.h"
#include "siskindeal/random.h"
#include "siskindeal/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// The replicated state of one process and the progress of each peer.
class Exchange
{
public:
  // An exchange to be sent.
  struct OutgoingExchange
  {
    std::string m_address;
    std::string m_vm; // empty if not known yet
    std::uint64_t m_number = 0;
    wire::ExchangeRequest m_request;
  };

  // The changes that an exchange carried, for the role's hooks.
  struct Updates
  {
    bool m_nodes = false;
    std::vector<PlatformObject> m_objects;
    std::vector<wire::Suspicion> m_suspicions;
    std::string m_usageFrom;
    std::vector<wire::TeamUsage> m_usage;
  };

  Exchange(const NodeSettings& aNode,
           const MembershipSettings& aSettings,
           wire::Role aRole,
           std::string aAddress,
           std::uint64_t aIncarnation,
           std::uint64_t aSeed,
           ProtocolRange aProtocols = {});

  // Sets this process's own record and its teams' usage.
  void SetOwn(wire::NodeRecord aRecord,
              std::vector<wire::TeamUsage> aUsage,
              MonotonicTime aNow);
  void SetPlatformFailing(bool aFailing) { m_platformFailing = aFailing; }
  void Leave() { m_leaving = true; }

  // Applies objects that this process read from the platform. Returns those
  // that are newer than the stored versions.
  std::vector<PlatformObject> ApplyPlatformObjects(
    const std::vector<PlatformObject>& aObjects);
  bool ApplySuspicion(const wire::Suspicion& aSuspicion);
  // Whether every reachable peer entry has acknowledged change aNumber.
  bool IsAcknowledged(std::uint64_t aNumber) const;
  std::uint64_t ChangeCounter() const { return m_changeCounter; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  // Records why the process at aAddress shares no protocol version with this
  // one; an empty aReason clears it. Returns whether the state changed.
  bool SetProtocolRefusal(const std::string& aAddress,
                          const std::string& aReason)
  {
    return m_table.SetProtocolRefusal(aAddress, aReason);
  }

  // Returns the calls to make now. Each must be completed by OnReply or
  // OnFailure.
  std::vector<OutgoingExchange> Tick(MonotonicTime aNow);
  wire::ExchangeReply OnRequest(const wire::ExchangeRequest& aRequest,
                                MonotonicTime aNow,
                                Updates& aUpdates);
  void OnReply(const OutgoingExchange& aDue,
               const wire::ExchangeReply& aReply,
               MonotonicTime aNow,
               Updates& aUpdates);
  void OnFailure(const OutgoingExchange& aDue, MonotonicTime aNow);

  // Updates the liveness of each process. Returns whether any changed.
  bool UpdateLiveness(MonotonicTime aNow)
  {
    return m_table.UpdateLiveness(aNow);
  }
  void SetListed(const std::vector<VmListing>& aVms, MonotonicTime aNow);

  // Whether this entry is one of its place's platform watchers.
  bool ShouldWatch() const;

  const MembershipTable& Table() const { return m_table; }
  const ObjectCache& Objects() const { return m_objects; }

private:
  struct Peer
  {
    std::uint64_t m_incarnation = 0;
    // Local change counter last acknowledged by the peer.
    std::uint64_t m_acknowledged = 0;
    // The peer's change counter that was last received.
    std::uint64_t m_lastReceived = 0;
    // Local change counter when the digests last matched.
    std::uint64_t m_digestsMatchedAt = 0;
    std::optional<MonotonicTime> m_divergedSince;
    std::optional<MonotonicTime> m_lastRepairAt;
    bool m_repairing = false; // relays every record the peer may lack
    std::optional<std::uint64_t> m_objectsDigest;
  };

  struct Contact
  {
    bool m_inFlight = false;
    MonotonicTime m_backoffUntil;
    MonotonicTime m_lastExchangeAt;
    std::uint64_t m_emptyDeltaAt = 0;     // local change counter
    std::uint64_t m_sentLoadSequence = 0; // of the local load
    std::int64_t m_sentLoadRequests = 0;
    int m_failures = 0;
  };

  struct SuspicionRow
  {
    wire::Suspicion m_suspicion;
    std::uint64_t m_changedAt = 0;
    std::string m_from;
  };

  // The changes that a request or reply carries.
  struct Delta
  {
    std::vector<wire::NodeRecord> m_nodes;
    std::vector<wire::ObjectRecord> m_objects;
    std::vector<wire::Suspicion> m_suspicions;
    std::vector<wire::TeamUsage> m_usage;
    std::uint64_t m_number = 0;
    bool m_urgent = false; // contains more than load and usage
  };

  bool IsFullMesh() const;
  std::vector<std::string> EntryPeers() const;
  std::vector<std::string> EntriesForAgent() const;
  bool ShouldSendLoadNow(const Contact& aContact) const;
  std::int64_t OwnRequestCount() const;
  bool Initiates(const std::string& aVm) const;
  std::vector<std::pair<std::string, std::string>> Targets() const;
  Delta MakeDelta(const std::string& aVm);
  void AddNodes(const std::string& aVm, const Peer& aPeer, Delta& aDelta) const;
  void AddObjects(const std::string& aVm,
                  const Peer& aPeer,
                  Delta& aDelta) const;
  bool RelaysLoad(const NodeRow& aRow) const;
  OutgoingExchange MakeCall(const std::string& aVm,
                            const std::string& aAddress,
                            Delta aDelta);
  void ApplyRecords(
    const std::string& aFrom,
    const google::protobuf::RepeatedPtrField<wire::NodeRecord>& aNodes,
    const google::protobuf::RepeatedPtrField<wire::ObjectRecord>& aObjects,
    const google::protobuf::RepeatedPtrField<wire::Suspicion>& aSuspicions,
    const google::protobuf::RepeatedPtrField<wire::TeamUsage>& aUsage,
    MonotonicTime aNow,
    Updates& aUpdates);
  void CompareDigests(Peer& aPeer,
                      std::uint64_t aNodesDigest,
                      std::uint64_t aObjectsDigest,
                      MonotonicTime aNow);
  bool IsAgent(const std::string& aVm) const;

  const NodeSettings m_node;
  const MembershipSettings m_settings;
  const wire::Role m_role;
  const std::string m_address;
  const ProtocolRange m_protocols;
  std::uint64_t m_incarnation;
  // Counts local changes. Starts above every value of an earlier incarnation.
  std::uint64_t m_changeCounter;
  Random m_random;
  MembershipTable m_table;
  ObjectCache m_objects;
  SuspicionTable m_suspicionTable;
  std::map<std::uint64_t, SuspicionRow> m_suspicions; // by fingerprint
  std::vector<wire::TeamUsage> m_usage;
  std::string m_serializedUsage;
  std::map<std::string, std::string> m_sentUsage; // serialized, by peer
  std::map<std::string, Peer> m_peers;            // by VM
  std::map<std::string, Contact> m_contacts;      // by address
  std::vector<std::string> m_listedEntries;       // addresses
  wire::NodeRecord m_ownRecord;
  bool m_leaving = false;
  bool m_platformFailing = false;
};

} // namespace siskindeal
