#pragma once
// The exchange of deltas between processes: what to send to whom and what to
// take in. No I/O; NodeSync drives it.

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

// What one process holds and how far each peer has it.
class Exchange
{
public:
  // A call that is due.
  struct Due
  {
    std::string m_address;
    std::string m_vm; // empty: not known yet
    std::uint64_t m_number = 0;
    wire::ExchangeRequest m_request;
  };

  // What an exchange brought, to be told to the role.
  struct News
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

  // Sets what this process says of itself and its teams' usage.
  void SetOwn(wire::NodeRecord aRecord,
              std::vector<wire::TeamUsage> aUsage,
              MonotonicTime aNow);
  void SetPlatformFailing(bool aFailing) { m_platformFailing = aFailing; }
  void Leave() { m_leaving = true; }

  // Takes in what this process read from the platform itself. Returns those
  // that are newer than what was held.
  std::vector<PlatformObject> ApplyDirect(
    const std::vector<PlatformObject>& aObjects);
  bool ApplySuspicion(const wire::Suspicion& aSuspicion);
  // Whether each reachable entry has acknowledged what is held now as
  // aNumber; agents too with aAgents.
  bool Acknowledged(std::uint64_t aNumber) const;
  std::uint64_t Number() const { return m_counter; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  // The process at aAddress speaks no common version, or does again with an
  // empty aWhy. Returns whether that is news.
  bool SetRefused(const std::string& aAddress, const std::string& aWhy)
  {
    return m_table.SetRefused(aAddress, aWhy);
  }

  // The calls to make now; each must be answered by OnReply or OnFailure.
  std::vector<Due> Tick(MonotonicTime aNow);
  wire::ExchangeReply OnRequest(const wire::ExchangeRequest& aRequest,
                                MonotonicTime aNow,
                                News& aNews);
  void OnReply(const Due& aDue,
               const wire::ExchangeReply& aReply,
               MonotonicTime aNow,
               News& aNews);
  void OnFailure(const Due& aDue, MonotonicTime aNow);

  // Concludes liveness; true if it has changed.
  bool Judge(MonotonicTime aNow) { return m_table.Judge(aNow); }
  void SetListed(const std::vector<VmListing>& aVms, MonotonicTime aNow);

  // Whether this entry is one of those that read the platform for its place.
  bool ShouldWatch() const;

  const MembershipTable& Table() const { return m_table; }
  const ObjectCache& Objects() const { return m_objects; }

private:
  struct Peer
  {
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sent = 0;   // own number that it has acknowledged
    std::uint64_t m_number = 0; // its number that is to be acknowledged
    std::uint64_t m_agreed = 0; // own number when both held the same
    std::optional<MonotonicTime> m_differsSince;
    std::optional<MonotonicTime> m_repairedAt;
    bool m_relayAll = false; // a repair is going on
    std::optional<std::uint64_t> m_objectsDigest;
  };

  struct Contact
  {
    bool m_out = false;
    MonotonicTime m_notBefore;
    MonotonicTime m_lastTry;
    std::uint64_t m_nothingNewAt = 0; // own number
    std::uint64_t m_loadSequence = 0; // own load as last sent
    std::int64_t m_loadRequests = 0;
    int m_failures = 0;
  };

  struct SuspicionRow
  {
    wire::Suspicion m_suspicion;
    std::uint64_t m_changedAt = 0;
    std::string m_from;
  };

  // The part of both messages that says what changed.
  struct Delta
  {
    std::vector<wire::NodeRecord> m_nodes;
    std::vector<wire::ObjectRecord> m_objects;
    std::vector<wire::Suspicion> m_suspicions;
    std::vector<wire::TeamUsage> m_usage;
    std::uint64_t m_number = 0;
    bool m_urgent = false; // holds more than load and usage
  };

  bool Mesh() const;
  std::vector<std::string> PartnerVms() const;
  std::vector<std::string> EntriesForAgent() const;
  bool LoadBoundReached(const Contact& aContact) const;
  std::int64_t OwnRequests() const;
  bool Initiates(const std::string& aVm) const;
  std::vector<std::pair<std::string, std::string>> Targets() const;
  Delta DeltaFor(const std::string& aVm);
  void AddNodes(const std::string& aVm, const Peer& aPeer, Delta& aDelta) const;
  void AddObjects(const std::string& aVm,
                  const Peer& aPeer,
                  Delta& aDelta) const;
  bool RelaysLoad(const NodeRow& aRow) const;
  Due MakeDue(const std::string& aVm,
              const std::string& aAddress,
              Delta aDelta);
  void TakeIn(
    const std::string& aFrom,
    const google::protobuf::RepeatedPtrField<wire::NodeRecord>& aNodes,
    const google::protobuf::RepeatedPtrField<wire::ObjectRecord>& aObjects,
    const google::protobuf::RepeatedPtrField<wire::Suspicion>& aSuspicions,
    const google::protobuf::RepeatedPtrField<wire::TeamUsage>& aUsage,
    MonotonicTime aNow,
    News& aNews);
  void Compare(Peer& aPeer,
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
  // Counts what changes here; begins above every number of an earlier start.
  std::uint64_t m_counter;
  Random m_random;
  MembershipTable m_table;
  ObjectCache m_objects;
  SuspicionTable m_suspected; // merges what is told in any order
  std::map<std::uint64_t, SuspicionRow> m_suspicions; // by fingerprint
  std::vector<wire::TeamUsage> m_usage;
  std::string m_usageText;                        // serialized
  std::map<std::string, std::string> m_usageSent; // by peer, serialized
  std::map<std::string, Peer> m_peers;            // by VM
  std::map<std::string, Contact> m_contacts;      // by address
  std::vector<std::string> m_listedEntries;       // addresses
  wire::NodeRecord m_own;
  bool m_leaving = false;
  bool m_platformFailing = false;
};

} // namespace siskindeal
