#pragma once
// What an agent must know after a restart. It is kept in the engine's staging
// area, beside the weights that it speaks of, so that it lasts as long as they.

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
    std::string m_shard; // of the last order for it
    std::set<std::string> m_classes;
    bool m_loaded = false;
  };

  std::map<std::string, std::uint64_t> m_tokens; // highest seen, by shard
  std::vector<Entry> m_entries;
};

std::string
ToJson(const WeightsRecord& aRecord);
// Throws Error (BadRequest).
WeightsRecord
ParseWeightsRecord(const std::string& aJson);

// Where in the staging area the record and a manifest are kept: names that no
// manifest's digest can have.
std::string
RecordStagingName();
std::string
ManifestStagingName(const std::string& aDigest);

// The tokens in the platform's answer to a list of the lease objects.
std::map<std::string, std::uint64_t>
ParseLeaseTokens(const std::string& aJson);

} // namespace siskindeal
