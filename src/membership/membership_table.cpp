#include "membership/membership_table_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <deque>
#include <utility>

namespace siskindeal {

namespace {

// The platform's list lags by seconds. A VM missing from it may be new.
constexpr std::chrono::seconds kListLag{ 10 };

// Assumed for a record without protocol versions.
constexpr ProtocolRange kUndeclaredProtocols{ 1, 1 };

std::pair<std::uint64_t, std::uint64_t>
VersionOf(const wire::NodeRecord& aRecord)
{
  return { aRecord.incarnation(), aRecord.sequence() };
}

void
CopyLoad(const wire::NodeRecord& aFrom, wire::NodeRecord& aTo)
{
  aTo.set_load_sequence(aFrom.load_sequence());
  *aTo.mutable_load() = aFrom.load();
  *aTo.mutable_cache_events() = aFrom.cache_events();
  *aTo.mutable_progress() = aFrom.progress();
}

} // namespace

MembershipTable::MembershipTable(std::string aOwnVm,
                                 std::chrono::milliseconds aUnreachableAfter,
                                 ProtocolRange aProtocols)
  : m_ownVm(std::move(aOwnVm))
  , m_unreachableAfter(aUnreachableAfter)
  , m_protocols(aProtocols)
{
}

void
MembershipTable::SetOwn(const wire::NodeRecord& aRecord,
                        std::uint64_t aChangedAt)
{
  auto& row = m_rows[m_ownVm];
  SISKINDEAL_INVARIANT(VersionOf(aRecord) >= VersionOf(row.m_record),
                       "the version of a process's own record never decreases");
  if (VersionOf(aRecord) != VersionOf(row.m_record)) {
    row.m_changedAt = aChangedAt;
  }
  row.m_loadChangedAt = aChangedAt;
  row.m_record = aRecord;
  row.m_direct = true;
  row.m_liveness =
    IsLeaving(m_ownVm, row) ? wire::LIVENESS_LEAVING : wire::LIVENESS_ALIVE;
}

bool
MembershipTable::Merge(const wire::NodeRecord& aRecord,
                       const std::string& aFrom,
                       std::uint64_t aChangedAt,
                       MonotonicTime aNow)
{
  if (aRecord.vm() == m_ownVm || aRecord.vm().empty()) {
    return false;
  }
  if (aRecord.load_only()) {
    const auto found = m_rows.find(aRecord.vm());
    if (found == m_rows.end() ||
        VersionOf(found->second.m_record) != VersionOf(aRecord) ||
        aRecord.load_sequence() <= found->second.m_record.load_sequence()) {
      return false;
    }
    CopyLoad(aRecord, found->second.m_record);
    found->second.m_loadChangedAt = aChangedAt;
    found->second.m_loadReceivedAt = aNow;
    return true;
  }
  auto& row = m_rows[aRecord.vm()];
  const bool newer = VersionOf(aRecord) > VersionOf(row.m_record);
  const bool newerLoad = VersionOf(aRecord) == VersionOf(row.m_record) &&
                         aRecord.load_sequence() > row.m_record.load_sequence();
  if (!newer && !newerLoad) {
    row.m_direct |=
      VersionOf(aRecord) == VersionOf(row.m_record) && aFrom == aRecord.vm();
    return false;
  }
  row.m_record = aRecord;
  row.m_loadChangedAt = aChangedAt;
  row.m_loadReceivedAt = aNow;
  row.m_direct = aFrom == aRecord.vm();
  row.m_from = aFrom;
  if (newer) {
    row.m_changedAt = aChangedAt;
  }
  return true;
}

void
MembershipTable::OnMessageFrom(const std::string& aVm, MonotonicTime aNow)
{
  const auto found = m_rows.find(aVm);
  if (found != m_rows.end()) {
    found->second.m_lastReceivedAt = aNow;
  }
}

void
MembershipTable::SetListed(std::map<std::string, bool> aLeavingByVm,
                           MonotonicTime aNow)
{
  m_hasList = true;
  m_listed = std::move(aLeavingByVm);
  for (const auto& [vm, row] : m_rows) {
    if (m_listed.count(vm) != 0) {
      m_unlistedSince.erase(vm);
    } else {
      m_unlistedSince.emplace(vm, aNow);
    }
  }
}

bool
MembershipTable::ReceivedRecently(const NodeRow& aRow, MonotonicTime aNow) const
{
  return aRow.m_lastReceivedAt &&
         aNow - *aRow.m_lastReceivedAt <= m_unreachableAfter;
}

// Breadth-first search over the reachability reports of entries. A process is
// reachable if this process or a reachable entry receives its messages.
std::unordered_set<std::string_view>
MembershipTable::ReachableVms(MonotonicTime aNow) const
{
  std::unordered_set<std::string_view> reachable{ m_ownVm };
  std::deque<std::string_view> frontier;
  for (const auto& [vm, row] : m_rows) {
    if (vm != m_ownVm && ReceivedRecently(row, aNow) &&
        reachable.insert(vm).second) {
      frontier.push_back(vm);
    }
  }
  while (!frontier.empty()) {
    const auto found = m_rows.find(std::string(frontier.front()));
    frontier.pop_front();
    if (found == m_rows.end() ||
        found->second.m_record.role() != wire::ROLE_ENTRY) {
      continue;
    }
    for (const auto& vm : found->second.m_record.hears()) {
      if (reachable.insert(vm).second) {
        frontier.push_back(vm);
      }
    }
  }
  return reachable;
}

// Whether the process itself or the platform's list announced the leave.
bool
MembershipTable::IsLeaving(const std::string& aVm, const NodeRow& aRow) const
{
  const auto listed = m_listed.find(aVm);
  return aRow.m_record.liveness() == wire::LIVENESS_LEAVING ||
         (listed != m_listed.end() && listed->second);
}

wire::Liveness
MembershipTable::ComputeLiveness(const std::string& aVm,
                                 NodeRow& aRow,
                                 bool aReachable,
                                 MonotonicTime aNow) const
{
  if (aReachable) {
    aRow.m_unreachableSince.reset();
    return IsLeaving(aVm, aRow) ? wire::LIVENESS_LEAVING : wire::LIVENESS_ALIVE;
  }
  if (!aRow.m_unreachableSince) {
    aRow.m_unreachableSince = aNow;
  }
  if (aRow.m_record.liveness() == wire::LIVENESS_LEAVING &&
      aNow - *aRow.m_unreachableSince >= m_unreachableAfter) {
    return wire::LIVENESS_GONE;
  }
  const auto unlisted = m_unlistedSince.find(aVm);
  const bool dropped = unlisted != m_unlistedSince.end() &&
                       aNow - unlisted->second >= kListLag &&
                       aNow - *aRow.m_unreachableSince >= kListLag;
  return dropped ? wire::LIVENESS_GONE : wire::LIVENESS_UNREACHABLE;
}

bool
MembershipTable::SetProtocolRefusal(const std::string& aAddress,
                                    const std::string& aReason)
{
  if (aReason.empty()) {
    return m_protocolRefusals.erase(aAddress) != 0;
  }
  return m_protocolRefusals.insert_or_assign(aAddress, aReason).second;
}

std::string
MembershipTable::ProtocolMismatch(const wire::NodeRecord& aRecord) const
{
  const ProtocolRange theirs =
    aRecord.protocol_most() == 0
      ? kUndeclaredProtocols
      : ProtocolRange{ aRecord.protocol_least(), aRecord.protocol_most() };
  if (!m_protocols.Overlaps(theirs)) {
    return std::string(kNoCommonProtocol) + ": the peer supports " +
           theirs.ToString() + ", this process supports " +
           m_protocols.ToString();
  }
  const auto refused = m_protocolRefusals.find(aRecord.address());
  return refused == m_protocolRefusals.end() ? std::string() : refused->second;
}

bool
MembershipTable::UpdateLiveness(MonotonicTime aNow)
{
  const auto reachable = ReachableVms(aNow);
  bool changed = false;
  for (auto& [vm, row] : m_rows) {
    const bool reached =
      vm == m_ownVm ||
      (reachable.count(vm) != 0 && ProtocolMismatch(row.m_record).empty());
    const auto liveness = ComputeLiveness(vm, row, reached, aNow);
    changed |= liveness != row.m_liveness;
    row.m_liveness = liveness;
  }
  return changed;
}

std::vector<std::string>
MembershipTable::RecentSenders(MonotonicTime aNow) const
{
  std::vector<std::string> hears;
  for (const auto& [vm, row] : m_rows) {
    if (vm != m_ownVm && ReceivedRecently(row, aNow)) {
      hears.push_back(vm);
    }
  }
  return hears;
}

std::set<std::string>
MembershipTable::UnreachablePlaces() const
{
  std::set<std::string> reached;
  std::set<std::string> unreachable;
  for (const auto& [vm, row] : m_rows) {
    const auto& place = row.m_record.place();
    if (row.m_liveness == wire::LIVENESS_UNREACHABLE &&
        ProtocolMismatch(row.m_record).empty()) {
      unreachable.insert(place);
    } else if (row.m_liveness != wire::LIVENESS_GONE) {
      reached.insert(place);
    }
  }
  for (const auto& place : reached) {
    unreachable.erase(place);
  }
  return unreachable;
}

const NodeRow*
MembershipTable::Find(const std::string& aVm) const
{
  const auto found = m_rows.find(aVm);
  return found == m_rows.end() ? nullptr : &found->second;
}

std::uint64_t
MembershipTable::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [vm, row] : m_rows) {
    if (row.m_liveness != wire::LIVENESS_GONE) {
      digest ^=
        StableHash(vm,
                   StableHash(std::to_string(row.m_record.incarnation()),
                              row.m_record.sequence()));
    }
  }
  return digest;
}

} // namespace siskindeal
