#pragma once
// A local cache of the platform's objects. An object's version never decreases.

#include "siskindeal/platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

// Keeps the newest version of each object. Deleted objects stay as tombstones,
// so that an older version cannot restore them.
class ObjectCache
{
public:
  struct Entry
  {
    PlatformObject m_object;
    std::uint64_t m_changedAt = 0; // local change counter
    bool m_direct = false;         // read from the platform by this process
    std::string m_from;            // VM that relayed it; empty if direct
  };

  // Stores an object if it is newer than the stored version, and returns
  // whether it was. aFrom is empty for an object read from the platform.
  bool Apply(const PlatformObject& aObject,
             const std::string& aFrom,
             std::uint64_t aChangedAt);

  // The versions, by key, of the objects under aPrefix that are not deleted.
  // Must be taken before sending the List that is passed to MakeTombstones.
  std::map<std::string, std::uint64_t> Held(std::string_view aPrefix) const;

  // Whether an object under aPrefix was relayed but never read from the
  // platform by this process. It may have been deleted there.
  bool HasUnconfirmed(std::string_view aPrefix) const;

  // Returns tombstones for the objects in aHeld that are missing from aListed.
  // The List must have been sent after aHeld was taken.
  static std::vector<PlatformObject> MakeTombstones(
    const std::map<std::string, std::uint64_t>& aHeld,
    const std::vector<PlatformObject>& aListed);

  const Entry* Find(const std::string& aKey) const;
  const std::map<std::string, Entry>& All() const { return m_entries; }
  // Equal for two caches with the same versions.
  std::uint64_t Digest() const { return m_digest; }

private:
  std::map<std::string, Entry> m_entries;
  std::uint64_t m_digest = 0;
};

} // namespace siskindeal
