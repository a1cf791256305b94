#include "dispatch/named_versions_p.h"

namespace siskindeal {

namespace {

constexpr std::size_t kMaxVersionsPerModel = 8; // the newest are kept

} // namespace

bool
NamedVersions::Record(const std::string& aModel,
                      std::uint64_t aVersion,
                      std::chrono::milliseconds aAt)
{
  Times& times = m_models[aModel];
  const auto [entry, isNew] = times.emplace(aVersion, aAt);
  if (!isNew && aAt < entry->second) {
    entry->second = aAt;
  }
  if (times.size() > kMaxVersionsPerModel) {
    times.erase(times.begin());
  }
  return isNew;
}

std::uint64_t
NamedVersions::NewestOlderThan(const std::string& aModel,
                               std::chrono::milliseconds aAge,
                               std::chrono::milliseconds aNow) const
{
  const auto model = m_models.find(aModel);
  if (model == m_models.end()) {
    return 0;
  }
  const Times& times = model->second;
  for (auto entry = times.rbegin(); entry != times.rend(); ++entry) {
    if (aNow - entry->second >= aAge) {
      return entry->first;
    }
  }
  return 0;
}

std::uint64_t
NamedVersions::NextAfter(const std::string& aModel,
                         std::uint64_t aVersion) const
{
  const auto model = m_models.find(aModel);
  if (model == m_models.end()) {
    return 0;
  }
  const auto next = model->second.upper_bound(aVersion);
  return next == model->second.end() ? 0 : next->first;
}

std::uint64_t
NamedVersions::Newest(const std::string& aModel) const
{
  const auto model = m_models.find(aModel);
  return model == m_models.end() || model->second.empty()
           ? 0
           : model->second.rbegin()->first;
}

std::chrono::milliseconds
NamedVersions::NamedAt(const std::string& aModel, std::uint64_t aVersion) const
{
  const auto model = m_models.find(aModel);
  if (model == m_models.end()) {
    return std::chrono::milliseconds(0);
  }
  const auto version = model->second.find(aVersion);
  return version == model->second.end() ? std::chrono::milliseconds(0)
                                        : version->second;
}

} // namespace siskindeal
