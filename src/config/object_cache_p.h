#pragma once
// The platform's objects as known to one process. They only go forward.

#include "siskindeal/platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

// Decides which of two observations of an object is newer, and keeps deleted
// objects as tombstones so that an older observation can't bring them back.
class ObjectCache
{
public:
  struct Entry
  {
    PlatformObject m_object;
    std::uint64_t m_changedAt = 0; // the holder's counter
    bool m_direct = false;         // read from the platform by this process
    std::string m_from;            // the VM that relayed it, unless direct
  };

  // Takes an observation in if it is newer than what is held. aFrom is empty
  // for one from the platform itself.
  bool Apply(const PlatformObject& aObject,
             const std::string& aFrom,
             std::uint64_t aChangedAt);

  // Of all objects that are held under aPrefix and not deleted: the version of
  // each. Taken before a List is sent, for Absent.
  std::map<std::string, std::uint64_t> Held(std::string_view aPrefix) const;

  // Whether an object under aPrefix was only relayed and never read from the
  // platform by this process. It may have been deleted there since.
  bool Unconfirmed(std::string_view aPrefix) const;

  // The tombstones that follow from a List that was sent after aHeld was taken:
  // an object held then and not listed has been deleted at a later version.
  static std::vector<PlatformObject> Absent(
    const std::map<std::string, std::uint64_t>& aHeld,
    const std::vector<PlatformObject>& aListed);

  const Entry* Find(const std::string& aKey) const;
  const std::map<std::string, Entry>& All() const { return m_entries; }
  // Equal for two caches that hold the same versions.
  std::uint64_t Digest() const { return m_digest; }

private:
  std::map<std::string, Entry> m_entries;
  std::uint64_t m_digest = 0;
};

} // namespace siskindeal
