#include "dispatch/named_versions_p.h"

#include <algorithm>
#include <iterator>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Of one model. While they are named one after the other, folding counts each
// as named at most about two of this many parts of the greatest age too early.
constexpr std::size_t kMaxEntries = 64;

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

} // namespace

bool
NamedVersions::Record(const std::string& aModel,
                      std::uint64_t aVersion,
                      milliseconds aAt)
{
  const auto newest = Newest(aModel);
  const auto assumed = m_assumed.find(aModel);
  if (assumed != m_assumed.end() && assumed->second.m_version <= aVersion) {
    m_assumed.erase(assumed);
  }
  Entries& entries = m_reported[aModel];
  auto at = FirstNotOlder(entries, aVersion);
  if (at != entries.end() && at->m_namedAt <= aAt) {
    return false; // requires nothing that a version not older doesn't
  }
  if (at == entries.end() || at->m_version != aVersion) {
    at = entries.insert(at, { aVersion, aAt });
  }
  at->m_namedAt = aAt;
  const auto outdone =
    std::find_if(entries.begin(), at, [&](const Entry& aEntry) {
      return aEntry.m_namedAt >= aAt;
    });
  entries.erase(outdone, at);
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
  if (newest && aVersion <= *newest) {
    return false;
  }
  m_assumed[aModel] = { aVersion, aAt };
  return true;
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
  if (const auto assumed = Assumed(aModel)) {
    // Older versions that were named since then require nothing more.
    std::erase_if(entries, [&](const Entry& aEntry) {
      return aEntry.m_namedAt >= assumed->m_namedAt;
    });
    entries.push_back(*assumed);
  }
  return entries;
}

std::optional<NamedVersions::Entry>
NamedVersions::Assumed(const std::string& aModel) const
{
  const auto assumed = m_assumed.find(aModel);
  return assumed == m_assumed.end() ? std::nullopt
                                    : std::optional(assumed->second);
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

std::optional<NamedVersions::Entry>
NamedVersions::NextAfter(const std::string& aModel,
                         std::uint64_t aVersion) const
{
  const Entries entries = All(aModel);
  const auto next =
    std::find_if(entries.begin(), entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_version > aVersion;
    });
  return next == entries.end() ? std::nullopt : std::optional(*next);
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
