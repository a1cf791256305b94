#pragma once
// Records when versions of weights were named, and decides which version
// requests must run on. Does no I/O; the caller passes the time. Times are boot
// times, which keep counting while the machine is suspended.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

class NamedVersions
{
public:
  // Records that a version was named no later than aAt. Keeps the earliest time
  // of several reports. Returns true if the version was unknown.
  bool Record(const std::string& aModel,
              std::uint64_t aVersion,
              std::chrono::milliseconds aAt);

  // Returns the newest version that was named at least aAge ago, or 0.
  std::uint64_t NewestOlderThan(const std::string& aModel,
                                std::chrono::milliseconds aAge,
                                std::chrono::milliseconds aNow) const;

  // Returns the next known version after aVersion, or 0.
  std::uint64_t NextAfter(const std::string& aModel,
                          std::uint64_t aVersion) const;
  std::uint64_t Newest(const std::string& aModel) const;
  // Returns zero for an unknown version.
  std::chrono::milliseconds NamedAt(const std::string& aModel,
                                    std::uint64_t aVersion) const;

  using Times = std::map<std::uint64_t, std::chrono::milliseconds>;
  const std::map<std::string, Times>& All() const { return m_models; }

private:
  std::map<std::string, Times> m_models;
};

} // namespace siskindeal
