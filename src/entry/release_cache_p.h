#pragma once
// Caches the manifest of each release as last fetched from the weight store. A
// failed fetch keeps the previous manifest.

#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/planner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

class ReleaseCache : public std::enable_shared_from_this<ReleaseCache>
{
public:
  ReleaseCache(std::string aStoreUrl, HttpClient& aHttp, const Clock& aClock);

  // Fetches a release unless a fetch ended within aMaxAge or is in progress.
  void Refresh(const std::string& aRelease, std::chrono::milliseconds aMaxAge);
  std::map<std::string, ReleaseInfo> KnownReleases() const;
  // The time at which the last fetch of a release ended, successful or not.
  std::optional<MonotonicTime> LastFetchEnd(const std::string& aRelease) const;
  // Returns the manifest with this digest as JSON; empty if it is unknown.
  std::string ManifestOf(const std::string& aDigest) const;

private:
  struct Entry
  {
    ReleaseInfo m_info;
    std::string m_manifest;
    bool m_known = false;
    bool m_fetching = false;
    std::optional<MonotonicTime> m_lastFetchEnd;
  };

  void OnReply(const std::string& aRelease, const HttpReply& aReply);

  const std::string m_storeUrl;
  HttpClient& m_http;
  const Clock& m_clock;
  mutable OrderedMutex m_mutex{ LockLevel::Rollout };
  std::map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal
