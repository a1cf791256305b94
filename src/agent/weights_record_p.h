#pragma once
// State that an agent restores after a restart. It is stored in the engine's
// staging area next to the weights it describes, so both have the same
// lifetime.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

struct WeightsRecord
{
  struct Entry
  {
    std::string m_digest;
    std::string m_shard; // shard of the last order
    std::set<std::string> m_classes;
    bool m_loaded = false;
  };

  std::map<std::string, std::uint64_t> m_tokens; // highest seen per shard
  std::vector<Entry> m_entries;
};

std::string
ToJson(const WeightsRecord& aRecord);
// Throws Error with Reason::BadRequest if aJson is malformed.
WeightsRecord
ParseWeightsRecord(const std::string& aJson);

// Names of the record and of a manifest in the staging area. They cannot
// collide with the digest of a manifest.
std::string
RecordStagingName();
std::string
ManifestStagingName(const std::string& aDigest);

// Parses the fencing tokens from the platform's list of lease objects, keyed by
// shard. Throws Error with Reason::BadRequest if aJson is malformed.
std::map<std::string, std::uint64_t>
ParseLeaseTokens(const std::string& aJson);

} // namespace siskindeal
