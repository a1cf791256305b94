#include "config/object_cache_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <set>

namespace siskindeal {

namespace {

std::uint64_t
VersionHash(const PlatformObject& aObject)
{
  return StableHash(aObject.m_key,
                    aObject.m_version * 2 + (aObject.m_deleted ? 1 : 0));
}

} // namespace

bool
ObjectCache::Apply(const PlatformObject& aObject,
                   const std::string& aFrom,
                   std::uint64_t aChangedAt)
{
  if (aObject.m_version == 0) {
    return false;
  }
  auto& entry = m_entries[aObject.m_key];
  if (aObject.m_version <= entry.m_object.m_version) {
    entry.m_direct |=
      aFrom.empty() && aObject.m_version == entry.m_object.m_version;
    return false;
  }
  SISKINDEAL_INVARIANT(
    entry.m_changedAt < aChangedAt,
    "the change counter of an object increases with each version");
  if (entry.m_object.m_version != 0) {
    m_digest ^= VersionHash(entry.m_object);
  }
  entry = { aObject, aChangedAt, aFrom.empty(), aFrom };
  m_digest ^= VersionHash(aObject);
  return true;
}

std::map<std::string, std::uint64_t>
ObjectCache::Held(std::string_view aPrefix) const
{
  std::map<std::string, std::uint64_t> held;
  for (auto found = m_entries.lower_bound(std::string(aPrefix));
       found != m_entries.end() &&
       std::string_view(found->first).substr(0, aPrefix.size()) == aPrefix;
       ++found) {
    if (!found->second.m_object.m_deleted) {
      held[found->first] = found->second.m_object.m_version;
    }
  }
  return held;
}

bool
ObjectCache::HasUnconfirmed(std::string_view aPrefix) const
{
  for (auto found = m_entries.lower_bound(std::string(aPrefix));
       found != m_entries.end() &&
       std::string_view(found->first).substr(0, aPrefix.size()) == aPrefix;
       ++found) {
    if (!found->second.m_direct && !found->second.m_object.m_deleted) {
      return true;
    }
  }
  return false;
}

std::vector<PlatformObject>
ObjectCache::MakeTombstones(const std::map<std::string, std::uint64_t>& aHeld,
                            const std::vector<PlatformObject>& aListed)
{
  std::set<std::string> listed;
  for (const auto& object : aListed) {
    listed.insert(object.m_key);
  }
  std::vector<PlatformObject> tombstones;
  for (const auto& [key, version] : aHeld) {
    if (listed.count(key) == 0) {
      tombstones.push_back({ key, version + 1, {}, {}, true });
    }
  }
  return tombstones;
}

const ObjectCache::Entry*
ObjectCache::Find(const std::string& aKey) const
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace siskindeal
