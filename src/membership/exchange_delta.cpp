// Peer selection and delta construction of Exchange.

#include "membership/exchange_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace siskindeal {

namespace {

// Up to this many entries form a full mesh. Above it, each exchanges with those
// at power-of-two distances on a hash ring, and records are relayed.
constexpr std::size_t kMaxFullMeshEntries = 16;
constexpr std::size_t kMaxObjectBytesPerExchange = 1 << 20;
constexpr std::size_t kWatchersWhenAllFail = 2;

// The rank of aVm in aChooser's order of preference; lower is preferred.
std::uint64_t
Rank(const std::string& aChooser, const std::string& aVm)
{
  return StableHash(aVm, StableHash(aChooser));
}

wire::NodeRecord
MakeLoadOnlyRecord(const wire::NodeRecord& aRecord)
{
  wire::NodeRecord loadOnly;
  loadOnly.set_vm(aRecord.vm());
  loadOnly.set_incarnation(aRecord.incarnation());
  loadOnly.set_sequence(aRecord.sequence());
  loadOnly.set_load_sequence(aRecord.load_sequence());
  loadOnly.set_load_only(true);
  *loadOnly.mutable_load() = aRecord.load();
  *loadOnly.mutable_cache_events() = aRecord.cache_events();
  *loadOnly.mutable_progress() = aRecord.progress();
  return loadOnly;
}

wire::ObjectRecord
ToRecord(const PlatformObject& aObject)
{
  wire::ObjectRecord record;
  record.set_key(aObject.m_key);
  record.set_version(aObject.m_version);
  record.set_value(aObject.m_value);
  record.set_deleted(aObject.m_deleted);
  return record;
}

} // namespace

bool
Exchange::IsFullMesh() const
{
  const auto entries = std::count_if(
    m_table.Rows().begin(), m_table.Rows().end(), [](const auto& aRow) {
      return aRow.second.m_record.role() == wire::ROLE_ENTRY &&
             aRow.second.m_liveness != wire::LIVENESS_GONE;
    });
  return static_cast<std::size_t>(entries) <= kMaxFullMeshEntries;
}

std::vector<std::string>
Exchange::EntryPeers() const
{
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (const auto& [vm, row] : m_table.Rows()) {
    if (row.m_record.role() == wire::ROLE_ENTRY &&
        (row.m_liveness != wire::LIVENESS_GONE || vm == m_node.m_vm)) {
      ring.emplace_back(StableHash(vm), vm);
    }
  }
  std::sort(ring.begin(), ring.end());
  std::set<std::string> peers;
  if (ring.size() <= kMaxFullMeshEntries) {
    for (const auto& [hash, vm] : ring) {
      peers.insert(vm);
    }
  } else {
    const auto own = std::find_if(ring.begin(), ring.end(), [&](auto& aSlot) {
      return aSlot.second == m_node.m_vm;
    });
    const auto at = static_cast<std::size_t>(own - ring.begin());
    for (std::size_t step = 1; step < ring.size(); step *= 2) {
      peers.insert(ring[(at + step) % ring.size()].second);
      peers.insert(ring[(at + ring.size() - step) % ring.size()].second);
    }
  }
  peers.erase(m_node.m_vm);
  return { peers.begin(), peers.end() };
}

std::vector<std::string>
Exchange::EntriesForAgent() const
{
  std::vector<std::tuple<bool, std::uint64_t, std::string>> entries;
  for (const auto& [vm, row] : m_table.Rows()) {
    if (row.m_record.role() == wire::ROLE_ENTRY &&
        row.m_liveness == wire::LIVENESS_ALIVE) {
      entries.emplace_back(
        row.m_record.place() != m_node.m_place, Rank(m_node.m_vm, vm), vm);
    }
  }
  std::sort(entries.begin(), entries.end());
  std::vector<std::string> chosen;
  for (const auto& [elsewhere, rank, vm] : entries) {
    if (chosen.size() < m_settings.m_entriesPerAgent) {
      chosen.push_back(vm);
    }
  }
  return chosen;
}

bool
Exchange::Initiates(const std::string& aVm) const
{
  if (m_role == wire::ROLE_AGENT) {
    return true;
  }
  const bool lower = m_node.m_vm < aVm;
  const auto pair = lower ? Rank(m_node.m_vm, aVm) : Rank(aVm, m_node.m_vm);
  return lower == (pair % 2 == 0);
}

// Returns the VM (empty if not known yet) and address of each process to
// exchange with.
std::vector<std::pair<std::string, std::string>>
Exchange::Targets() const
{
  const bool agent = m_role == wire::ROLE_AGENT;
  std::vector<std::pair<std::string, std::string>> targets;
  for (const auto& vm : agent ? EntriesForAgent() : EntryPeers()) {
    targets.emplace_back(vm, m_table.Find(vm)->m_record.address());
  }
  if (agent && targets.size() >= m_settings.m_entriesPerAgent) {
    return targets;
  }
  std::set<std::string> known{ m_address };
  std::set<std::string> addresses(m_listedEntries.begin(),
                                  m_listedEntries.end());
  for (const auto& [vm, row] : m_table.Rows()) {
    const auto& address = row.m_record.address();
    const bool retry = agent && row.m_liveness == wire::LIVENESS_UNREACHABLE;
    if (retry && row.m_record.role() == wire::ROLE_ENTRY) {
      addresses.insert(address);
    } else if (row.m_liveness != wire::LIVENESS_GONE) {
      known.insert(address);
    }
  }
  for (const auto& address : m_node.m_entries) {
    addresses.insert(address.ToString());
  }
  std::vector<std::pair<std::uint64_t, std::string>> unknown;
  for (const auto& address : addresses) {
    if (known.count(address) == 0) {
      unknown.emplace_back(Rank(m_node.m_vm, address), address);
    }
  }
  std::sort(unknown.begin(), unknown.end());
  for (const auto& [rank, address] : unknown) {
    targets.emplace_back(std::string(), address);
  }
  return targets;
}

bool
Exchange::IsAgent(const std::string& aVm) const
{
  const auto* row = m_table.Find(aVm);
  return row != nullptr && row->m_record.role() == wire::ROLE_AGENT;
}

// The first reachable entry in the agent's `hears` list relays its load. If the
// list is empty, every entry does.
bool
Exchange::RelaysLoad(const NodeRow& aRow) const
{
  for (const auto& vm : aRow.m_record.hears()) {
    if (vm == m_node.m_vm) {
      return true;
    }
    const auto* preferred = m_table.Find(vm);
    if (preferred != nullptr &&
        preferred->m_liveness != wire::LIVENESS_UNREACHABLE &&
        preferred->m_liveness != wire::LIVENESS_GONE) {
      return false;
    }
  }
  return aRow.m_record.hears().empty();
}

Exchange::Delta
Exchange::MakeDelta(const std::string& aVm)
{
  static const Peer kNewPeer;
  const auto found = m_peers.find(aVm);
  const auto& peer = found == m_peers.end() ? kNewPeer : found->second;
  Delta delta;
  delta.m_number = m_changeCounter;
  AddNodes(aVm, peer, delta);
  AddObjects(aVm, peer, delta);
  const bool fullMesh = IsFullMesh();
  for (const auto& [fingerprint, row] : m_suspicions) {
    const bool seen =
      row.m_changedAt <= peer.m_acknowledged || row.m_from == aVm;
    const bool relayed =
      fullMesh && !row.m_from.empty() && !IsAgent(row.m_from) && !IsAgent(aVm);
    if (!seen && !relayed) {
      delta.m_suspicions.push_back(row.m_suspicion);
      delta.m_urgent = true;
    }
  }
  const auto sent = m_sentUsage.find(aVm);
  if (!aVm.empty() && !IsAgent(aVm) && m_role == wire::ROLE_ENTRY &&
      (sent == m_sentUsage.end() ? !m_usage.empty()
                                 : sent->second != m_serializedUsage)) {
    delta.m_usage = m_usage;
  }
  return delta;
}

void
Exchange::AddNodes(const std::string& aVm,
                   const Peer& aPeer,
                   Delta& aDelta) const
{
  const bool toAgent = IsAgent(aVm);
  const bool fullMesh = IsFullMesh();
  for (const auto& [vm, row] : m_table.Rows()) {
    const bool own = vm == m_node.m_vm;
    if (vm == aVm && row.m_record.incarnation() > aPeer.m_incarnation &&
        aPeer.m_incarnation != 0) {
      // The peer restarted with an earlier clock. It must supersede this
      // record.
      aDelta.m_nodes.push_back(row.m_record);
    }
    if (vm == aVm || (!own && m_role == wire::ROLE_AGENT) ||
        row.m_liveness == wire::LIVENESS_GONE ||
        row.m_loadChangedAt <= aPeer.m_acknowledged) {
      continue;
    }
    const bool known =
      aPeer.m_acknowledged > 0 && !row.m_direct && row.m_from == aVm;
    const bool sentByOthers =
      fullMesh && !toAgent && !row.m_direct && !aPeer.m_repairing;
    if (!own && (known || sentByOthers)) {
      continue;
    }
    if (toAgent && row.m_record.role() != wire::ROLE_ENTRY) {
      continue;
    }
    if (row.m_changedAt > aPeer.m_acknowledged) {
      aDelta.m_nodes.push_back(row.m_record);
      aDelta.m_urgent = true;
    } else if (own || (!toAgent && RelaysLoad(row))) {
      aDelta.m_nodes.push_back(MakeLoadOnlyRecord(row.m_record));
    }
  }
}

void
Exchange::AddObjects(const std::string& aVm,
                     const Peer& aPeer,
                     Delta& aDelta) const
{
  if (aPeer.m_objectsDigest == m_objects.Digest()) {
    return;
  }
  const bool direct =
    m_role == wire::ROLE_AGENT || (!IsAgent(aVm) && IsFullMesh());
  std::map<std::uint64_t, const PlatformObject*> lacking; // by change number
  for (const auto& [key, entry] : m_objects.All()) {
    const bool known = aPeer.m_acknowledged > 0 && entry.m_from == aVm;
    const bool sentByOthers = direct && !entry.m_direct && !aPeer.m_repairing;
    if (entry.m_changedAt > aPeer.m_acknowledged && !known && !sentByOthers) {
      lacking[entry.m_changedAt] = &entry.m_object;
    }
  }
  std::size_t bytes = 0;
  for (const auto& [changedAt, object] : lacking) {
    const auto size = object->m_key.size() + object->m_value.size();
    if (bytes > 0 && bytes + size > kMaxObjectBytesPerExchange) {
      aDelta.m_number = changedAt - 1;
      break;
    }
    bytes += size;
    aDelta.m_objects.push_back(ToRecord(*object));
    aDelta.m_urgent = true;
  }
}

bool
Exchange::ShouldWatch() const
{
  if (m_role != wire::ROLE_ENTRY || m_leaving) {
    return false;
  }
  std::vector<std::tuple<bool, std::uint64_t, std::string>> candidates;
  for (const auto& [vm, row] : m_table.Rows()) {
    if (row.m_record.role() == wire::ROLE_ENTRY &&
        row.m_record.place() == m_node.m_place &&
        row.m_liveness == wire::LIVENESS_ALIVE) {
      candidates.emplace_back(
        row.m_record.platform_failing(), Rank(m_node.m_place, vm), vm);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const bool allFail =
    !candidates.empty() && std::get<bool>(candidates.front());
  const auto watchers = allFail ? kWatchersWhenAllFail : 1;
  for (std::size_t i = 0; i < candidates.size() && i < watchers; ++i) {
    if (std::get<std::string>(candidates[i]) == m_node.m_vm) {
      return true;
    }
  }
  return false;
}

} // namespace siskindeal
