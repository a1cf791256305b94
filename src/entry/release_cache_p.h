#pragma once
// What the weight store last said each release's name stands for. A store that
// is down leaves the last answer in force.

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

  // Asks for a release that was not asked for within aMaxAge.
  void Refresh(const std::string& aRelease, std::chrono::milliseconds aMaxAge);
  std::map<std::string, ReleaseInfo> Known() const;
  // When the last question about a release ended, answered or not.
  std::optional<MonotonicTime> AskedAt(const std::string& aRelease) const;
  // JSON of the manifest with this digest; empty if it isn't known.
  std::string ManifestOf(const std::string& aDigest) const;

private:
  struct Entry
  {
    ReleaseInfo m_info;
    std::string m_manifest;
    bool m_known = false;
    bool m_asking = false;
    std::optional<MonotonicTime> m_askedAt;
  };

  void OnReply(const std::string& aRelease, const HttpReply& aReply);

  const std::string m_storeUrl;
  HttpClient& m_http;
  const Clock& m_clock;
  mutable OrderedMutex m_mutex{ LockLevel::Rollout };
  std::map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal
