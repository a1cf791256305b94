#include "entry/release_cache_p.h"

#include "siskindeal/error.h"
#include "siskindeal/log.h"
#include "siskindeal/manifest.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kFetchTimeout{ 5000 };
constexpr int kHttpOk = 200;

} // namespace

ReleaseCache::ReleaseCache(std::string aStoreUrl,
                           HttpClient& aHttp,
                           const Clock& aClock)
  : m_storeUrl(std::move(aStoreUrl))
  , m_http(aHttp)
  , m_clock(aClock)
{
}

void
ReleaseCache::Refresh(const std::string& aRelease,
                      std::chrono::milliseconds aMaxAge)
{
  {
    const OrderedLock lock(m_mutex);
    auto& entry = m_entries[aRelease];
    const bool fresh =
      entry.m_lastFetchEnd && m_clock.Now() - *entry.m_lastFetchEnd < aMaxAge;
    if (entry.m_fetching || fresh) {
      return;
    }
    entry.m_fetching = true;
  }
  HttpClientRequest request;
  request.m_url = m_storeUrl + "/v1/releases/" + aRelease;
  request.m_timeout = kFetchTimeout;
  m_http.Start(std::move(request),
               [self = shared_from_this(), aRelease](const HttpReply& aReply) {
                 self->OnReply(aRelease, aReply);
               });
}

void
ReleaseCache::OnReply(const std::string& aRelease, const HttpReply& aReply)
{
  std::optional<Manifest> manifest;
  if (aReply.m_outcome == HttpOutcome::Answered && aReply.m_status == kHttpOk) {
    try {
      manifest = ParseManifest(aReply.m_body);
    } catch (const Error& failure) {
      Log(LogLevel::Error,
          "manifest_refused",
          { { "release", aRelease }, { "what", failure.what() } });
    }
  }
  const auto digest = manifest ? manifest->Digest() : "";
  const OrderedLock lock(m_mutex);
  auto& entry = m_entries[aRelease];
  entry.m_fetching = false;
  entry.m_lastFetchEnd = m_clock.Now();
  if (manifest) {
    entry.m_known = true;
    entry.m_info = ReleaseInfo{ digest, manifest->m_baseDigest };
    entry.m_manifest = ToJson(*manifest);
  }
}

std::map<std::string, ReleaseInfo>
ReleaseCache::KnownReleases() const
{
  const OrderedLock lock(m_mutex);
  std::map<std::string, ReleaseInfo> known;
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_known) {
      known[name] = entry.m_info;
    }
  }
  return known;
}

std::optional<MonotonicTime>
ReleaseCache::LastFetchEnd(const std::string& aRelease) const
{
  const OrderedLock lock(m_mutex);
  const auto found = m_entries.find(aRelease);
  return found == m_entries.end() ? std::nullopt : found->second.m_lastFetchEnd;
}

std::string
ReleaseCache::ManifestOf(const std::string& aDigest) const
{
  const OrderedLock lock(m_mutex);
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_known && entry.m_info.m_digest == aDigest) {
      return entry.m_manifest;
    }
  }
  return "";
}

} // namespace siskindeal
