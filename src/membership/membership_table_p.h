#pragma once
// Who is in the fleet, as one process concludes it from what others say of
// themselves, from who hears whom, and from the platform's lagging list.

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
  wire::NodeRecord m_record; // as its process said it
  wire::Liveness m_liveness = wire::LIVENESS_UNREACHABLE; // concluded
  std::uint64_t m_changedAt = 0;     // the holder's counter; without load
  std::uint64_t m_loadChangedAt = 0; // with load
  bool m_direct = false;             // heard from the process itself
  std::string m_from;                // else the VM that relayed it
  MonotonicTime m_loadReceivedAt;
  std::optional<MonotonicTime> m_heardAt; // directly
  std::optional<MonotonicTime> m_unreachableSince;
};

class MembershipTable
{
public:
  MembershipTable(std::string aOwnVm,
                  std::chrono::milliseconds aUnreachable,
                  ProtocolRange aProtocols = {});

  // Sets the own record, whole; it must not go back.
  void SetOwn(const wire::NodeRecord& aRecord, std::uint64_t aChangedAt);

  // Takes in a record relayed by aFrom, which may be its own process. Returns
  // whether it was newer than the one held. Records of the own VM are ignored.
  bool Merge(const wire::NodeRecord& aRecord,
             const std::string& aFrom,
             std::uint64_t aChangedAt,
             MonotonicTime aNow);

  // aVm itself has sent something.
  void Heard(const std::string& aVm, MonotonicTime aNow);

  // The VMs that the platform's list names, and those it says are leaving.
  void SetListed(std::map<std::string, bool> aLeavingByVm, MonotonicTime aNow);

  // The process at aAddress refused every protocol version spoken here, as aWhy
  // says; empty when it no longer does. Returns whether that is news.
  bool SetRefused(const std::string& aAddress, const std::string& aWhy);
  // Why no protocol version is shared with a process; empty when one is.
  std::string ProtocolProblem(const wire::NodeRecord& aRecord) const;

  // Concludes each record's liveness; true if any has changed.
  bool Judge(MonotonicTime aNow);

  // VMs heard directly within the limit.
  std::vector<std::string> Hears(MonotonicTime aNow) const;
  // Places whose processes, at least one, are all unreachable.
  std::set<std::string> UnreachablePlaces() const;

  const NodeRow* Find(const std::string& aVm) const;
  const std::map<std::string, NodeRow>& Rows() const { return m_rows; }
  // Equal for two tables that hold the same records; load and gone processes
  // left out.
  std::uint64_t Digest() const;

private:
  bool IsHeard(const NodeRow& aRow, MonotonicTime aNow) const;
  std::unordered_set<std::string_view> Reachable(MonotonicTime aNow) const;
  bool IsLeaving(const std::string& aVm, const NodeRow& aRow) const;
  wire::Liveness Conclude(const std::string& aVm,
                          NodeRow& aRow,
                          bool aReachable,
                          MonotonicTime aNow) const;

  const std::string m_ownVm;
  const std::chrono::milliseconds m_unreachable;
  const ProtocolRange m_protocols;
  std::map<std::string, std::string> m_refused; // by address, with the reason
  std::map<std::string, NodeRow> m_rows;
  std::map<std::string, bool> m_listed; // VM to leaving
  std::map<std::string, MonotonicTime> m_unlistedSince;
  bool m_hasList = false;
};

} // namespace siskindeal
