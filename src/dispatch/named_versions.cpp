#include "dispatch/named_versions_p.h"

#include <algorithm>
#include <iterator>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Of one model.
constexpr std::size_t kMaxEntries = 64;
constexpr std::size_t kMaxAssumed = 8;

NamedVersions::Entries::iterator
FirstNotOlder(NamedVersions::Entries& aEntries, std::uint64_t aVersion)
{
  return std::lower_bound(
    aEntries.begin(),
    aEntries.end(),
    aVersion,
    [](const NamedVersions::Entry& aEntry, std::uint64_t aWanted) {
      return aEntry.m_version < aWanted;
    });
}

// Adds a version, or keeps the earlier of its two times.
void
Put(NamedVersions::Entries& aEntries, std::uint64_t aVersion, milliseconds aAt)
{
  auto at = FirstNotOlder(aEntries, aVersion);
  if (at == aEntries.end() || at->m_version != aVersion) {
    aEntries.insert(at, { aVersion, aAt });
  } else {
    at->m_namedAt = std::min(at->m_namedAt, aAt);
  }
}

} // namespace

bool
NamedVersions::Record(const std::string& aModel,
                      std::uint64_t aVersion,
                      milliseconds aAt)
{
  const auto newest = Newest(aModel);
  if (const auto assumed = m_assumed.find(aModel); assumed != m_assumed.end()) {
    std::erase_if(assumed->second, [&](const Entry& aEntry) {
      return aEntry.m_version == aVersion;
    });
  }
  Entries& entries = m_reported[aModel];
  Put(entries, aVersion, aAt);
  RemoveOutdone(entries);
  // Only the newest of those that are past the greatest age still decides.
  const milliseconds latest = entries.back().m_namedAt;
  while (entries.size() > 1 && latest - entries[1].m_namedAt >= m_maxAge) {
    entries.erase(entries.begin());
  }
  Fold(entries, kMaxEntries);
  return !newest || aVersion > *newest;
}

bool
NamedVersions::RecordAssumed(const std::string& aModel,
                             std::uint64_t aVersion,
                             milliseconds aAt)
{
  const auto newest = Newest(aModel);
  const auto reported = m_reported.find(aModel);
  if (reported != m_reported.end()) {
    const auto found = FirstNotOlder(reported->second, aVersion);
    const bool isReported =
      found != reported->second.end() &&
      (found->m_version == aVersion || found->m_namedAt <= aAt);
    // Those before the oldest that is kept don't decide any more.
    if (isReported || aVersion < reported->second.front().m_version) {
      return false;
    }
  }
  Entries& entries = m_assumed[aModel];
  Put(entries, aVersion, aAt);
  if (entries.size() > kMaxAssumed) {
    entries[1].m_namedAt = std::min(entries[0].m_namedAt, entries[1].m_namedAt);
    entries.erase(entries.begin());
  }
  return !newest || aVersion > *newest;
}

void
NamedVersions::RaiseMaxAge(milliseconds aMaxAge)
{
  if (aMaxAge <= m_maxAge) {
    return;
  }
  for (auto& [model, entries] : m_reported) {
    entries.front().m_namedAt -= aMaxAge - m_maxAge;
  }
  m_maxAge = aMaxAge;
}

void
NamedVersions::RemoveOutdone(Entries& aEntries)
{
  Entries kept;
  for (auto entry = aEntries.rbegin(); entry != aEntries.rend(); ++entry) {
    if (kept.empty() || entry->m_namedAt < kept.back().m_namedAt) {
      kept.push_back(*entry);
    }
  }
  std::reverse(kept.begin(), kept.end());
  aEntries = std::move(kept);
}

void
NamedVersions::Fold(Entries& aEntries, std::size_t aMaxEntries)
{
  while (aEntries.size() > aMaxEntries) {
    std::size_t closest = 0; // to the next one, in time
    const auto gapAfter = [&](std::size_t aIndex) {
      return aEntries[aIndex + 1].m_namedAt - aEntries[aIndex].m_namedAt;
    };
    for (std::size_t i = 1; i + 1 < aEntries.size(); ++i) {
      if (gapAfter(i) < gapAfter(closest)) {
        closest = i;
      }
    }
    aEntries[closest + 1].m_namedAt = aEntries[closest].m_namedAt;
    aEntries.erase(aEntries.begin() + static_cast<std::ptrdiff_t>(closest));
  }
}

NamedVersions::Entries
NamedVersions::All(const std::string& aModel) const
{
  const auto reported = m_reported.find(aModel);
  Entries entries = reported == m_reported.end() ? Entries() : reported->second;
  for (const Entry& assumed : Assumed(aModel)) {
    Put(entries, assumed.m_version, assumed.m_namedAt);
  }
  RemoveOutdone(entries);
  return entries;
}

NamedVersions::Entries
NamedVersions::Assumed(const std::string& aModel) const
{
  const auto assumed = m_assumed.find(aModel);
  return assumed == m_assumed.end() ? Entries() : assumed->second;
}

std::optional<std::uint64_t>
NamedVersions::NewestOlderThan(const std::string& aModel,
                               milliseconds aAge,
                               milliseconds aNow) const
{
  const Entries entries = All(aModel);
  const auto found =
    std::find_if(entries.rbegin(), entries.rend(), [&](const Entry& aEntry) {
      return aNow - aEntry.m_namedAt >= aAge;
    });
  return found == entries.rend() ? std::nullopt
                                 : std::optional(found->m_version);
}

NamedVersions::Entries
NamedVersions::After(const std::string& aModel, std::uint64_t aVersion) const
{
  Entries entries = All(aModel);
  std::erase_if(
    entries, [&](const Entry& aEntry) { return aEntry.m_version <= aVersion; });
  return entries;
}

std::optional<NamedVersions::Entry>
NamedVersions::NextAfter(const std::string& aModel,
                         std::uint64_t aVersion) const
{
  const Entries entries = After(aModel, aVersion);
  return entries.empty() ? std::nullopt : std::optional(entries.front());
}

std::optional<std::uint64_t>
NamedVersions::Newest(const std::string& aModel) const
{
  const Entries entries = All(aModel);
  return entries.empty() ? std::nullopt
                         : std::optional(entries.back().m_version);
}

std::optional<milliseconds>
NamedVersions::NamedAt(const std::string& aModel, std::uint64_t aVersion) const
{
  Entries entries = All(aModel);
  const auto found = FirstNotOlder(entries, aVersion);
  return found == entries.end() ? std::nullopt
                                : std::optional(found->m_namedAt);
}

NamedVersions::Entries
NamedVersions::Summary(const std::string& aModel, std::size_t aMaxEntries) const
{
  const auto reported = m_reported.find(aModel);
  Entries entries = reported == m_reported.end() ? Entries() : reported->second;
  Fold(entries, aMaxEntries);
  return entries;
}

std::vector<std::string>
NamedVersions::Models() const
{
  std::vector<std::string> models;
  for (const auto& [model, entries] : m_reported) {
    models.push_back(model);
  }
  for (const auto& [model, entry] : m_assumed) {
    if (m_reported.count(model) == 0) {
      models.push_back(model);
    }
  }
  return models;
}

} // namespace siskindeal
