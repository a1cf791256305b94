#include "dispatch/named_versions_p.h"

namespace siskindeal {

namespace {

constexpr std::size_t kMostKept = 8; // versions of a model, the newest ones

} // namespace

bool
NamedVersions::Note(const std::string& aModel,
                    std::uint64_t aVersion,
                    std::chrono::milliseconds aAt)
{
  Times& times = m_models[aModel];
  const auto [entry, isNew] = times.emplace(aVersion, aAt);
  if (!isNew && aAt < entry->second) {
    entry->second = aAt;
  }
  if (times.size() > kMostKept) {
    times.erase(times.begin());
  }
  return isNew;
}

std::uint64_t
NamedVersions::NamedFor(const std::string& aModel,
                        std::chrono::milliseconds aAge,
                        std::chrono::milliseconds aNow) const
{
  const auto found = m_models.find(aModel);
  if (found == m_models.end()) {
    return 0;
  }
  const Times& times = found->second;
  for (auto entry = times.rbegin(); entry != times.rend(); ++entry) {
    if (aNow - entry->second >= aAge) {
      return entry->first;
    }
  }
  return 0;
}

std::uint64_t
NamedVersions::After(const std::string& aModel, std::uint64_t aVersion) const
{
  const auto found = m_models.find(aModel);
  if (found == m_models.end()) {
    return 0;
  }
  const auto next = found->second.upper_bound(aVersion);
  return next == found->second.end() ? 0 : next->first;
}

std::uint64_t
NamedVersions::Newest(const std::string& aModel) const
{
  const auto found = m_models.find(aModel);
  return found == m_models.end() || found->second.empty()
           ? 0
           : found->second.rbegin()->first;
}

std::chrono::milliseconds
NamedVersions::NamedAt(const std::string& aModel, std::uint64_t aVersion) const
{
  const auto found = m_models.find(aModel);
  if (found == m_models.end()) {
    return std::chrono::milliseconds(0);
  }
  const auto time = found->second.find(aVersion);
  return time == found->second.end() ? std::chrono::milliseconds(0)
                                     : time->second;
}

} // namespace siskindeal
