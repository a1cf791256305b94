#pragma once
// When weights were named, and which version requests must run on by now. Pure:
// times are boot times, which go on while a machine is suspended.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

class NamedVersions
{
public:
  // A version was named at aAt, or before: of several times told for one
  // version the earliest holds. True if the version is new here.
  bool Note(const std::string& aModel,
            std::uint64_t aVersion,
            std::chrono::milliseconds aAt);

  // The newest version that was named aAge ago or longer; 0 when none was.
  std::uint64_t NamedFor(const std::string& aModel,
                         std::chrono::milliseconds aAge,
                         std::chrono::milliseconds aNow) const;

  // The version after aVersion; 0 when there is none.
  std::uint64_t After(const std::string& aModel, std::uint64_t aVersion) const;
  std::uint64_t Newest(const std::string& aModel) const;
  // When a version was named; zero for one that isn't known.
  std::chrono::milliseconds NamedAt(const std::string& aModel,
                                    std::uint64_t aVersion) const;

  using Times = std::map<std::uint64_t, std::chrono::milliseconds>;
  const std::map<std::string, Times>& All() const { return m_models; }

private:
  std::map<std::string, Times> m_models;
};

} // namespace siskindeal
