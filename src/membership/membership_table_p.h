#pragma once
// Fleet membership as determined by one process from the records of the others,
// their reachability reports and the platform's VM list, which lags.

#include "siskindeal/clock.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/platform.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace siskindeal {

struct NodeRow
{
  wire::NodeRecord m_record; // as sent by its process
  // Determined by this process.
  wire::Liveness m_liveness = wire::LIVENESS_UNREACHABLE;
  std::uint64_t m_changedAt = 0;     // local change counter, without load
  std::uint64_t m_loadChangedAt = 0; // local change counter, with load
  bool m_direct = false;             // received from the process itself
  std::string m_from;                // VM that sent the record
  MonotonicTime m_loadReceivedAt;
  std::optional<MonotonicTime> m_lastReceivedAt; // from the process itself
  std::optional<MonotonicTime> m_unreachableSince;
};

class MembershipTable
{
public:
  MembershipTable(std::string aOwnVm,
                  std::chrono::milliseconds aUnreachableAfter,
                  ProtocolRange aProtocols = {});

  // Replaces this VM's record. Its version must not decrease.
  void SetOwn(const wire::NodeRecord& aRecord, std::uint64_t aChangedAt);

  // Merges a record sent by aFrom, which may be the process it describes.
  // Returns whether it was newer than the stored one. Records of this VM are
  // ignored.
  bool Merge(const wire::NodeRecord& aRecord,
             const std::string& aFrom,
             std::uint64_t aChangedAt,
             MonotonicTime aNow);

  // Records that a message from aVm itself was received.
  void OnMessageFrom(const std::string& aVm, MonotonicTime aNow);

  // Sets the VMs on the platform's list and whether each is leaving.
  void SetListed(std::map<std::string, bool> aLeavingByVm, MonotonicTime aNow);

  // Records why the process at aAddress refused every protocol version of this
  // one; an empty aReason clears it. Returns whether the state changed.
  bool SetProtocolRefusal(const std::string& aAddress,
                          const std::string& aReason);
  // Why a process shares no protocol version with this one. Empty if it does.
  std::string ProtocolMismatch(const wire::NodeRecord& aRecord) const;

  // Updates the liveness of each record. Returns whether any changed.
  bool UpdateLiveness(MonotonicTime aNow);

  // VMs from which a message was received directly within the time limit.
  std::vector<std::string> RecentSenders(MonotonicTime aNow) const;
  // Places that have processes, all of them unreachable.
  std::set<std::string> UnreachablePlaces() const;

  const NodeRow* Find(const std::string& aVm) const;
  const std::map<std::string, NodeRow>& Rows() const { return m_rows; }
  // Equal for two tables with the same records, apart from load and gone
  // processes.
  std::uint64_t Digest() const;

private:
  bool ReceivedRecently(const NodeRow& aRow, MonotonicTime aNow) const;
  std::unordered_set<std::string_view> ReachableVms(MonotonicTime aNow) const;
  bool IsLeaving(const std::string& aVm, const NodeRow& aRow) const;
  wire::Liveness ComputeLiveness(const std::string& aVm,
                                 NodeRow& aRow,
                                 bool aReachable,
                                 MonotonicTime aNow) const;

  const std::string m_ownVm;
  const std::chrono::milliseconds m_unreachableAfter;
  const ProtocolRange m_protocols;
  std::map<std::string, std::string> m_protocolRefusals; // reason by address
  std::map<std::string, NodeRow> m_rows;
  std::map<std::string, bool> m_listed; // by VM; true: leaving
  std::map<std::string, MonotonicTime> m_unlistedSince;
  bool m_hasList = false;
};

} // namespace siskindeal
