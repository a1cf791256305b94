#pragma once
// Records when versions of weights were named, and decides which version
// requests must run on. Does no I/O; the caller passes the time. Times are boot
// times, which keep counting while the machine is suspended.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace siskindeal {

class NamedVersions
{
public:
  // A version and the time since which it counts as named.
  struct Entry
  {
    std::uint64_t m_version = 0;
    std::chrono::milliseconds m_namedAt{ 0 };

    bool operator==(const Entry&) const = default;
  };
  // Both the versions and the times ascend.
  using Entries = std::vector<Entry>;

  // aMaxAge: the greatest age that NewestOlderThan is asked for.
  explicit NamedVersions(
    std::chrono::milliseconds aMaxAge = std::chrono::minutes(1))
    : m_maxAge(aMaxAge)
  {
  }

  // Raises the greatest age that is asked for. What was known before counts as
  // so much older, as what it replaced isn't known any more.
  void RaiseMaxAge(std::chrono::milliseconds aMaxAge);

  // Records that a version was named no later than aAt. Keeps the earliest time
  // of several reports. Returns true if the version is newer than all known.
  bool Record(const std::string& aModel,
              std::uint64_t aVersion,
              std::chrono::milliseconds aAt);
  // Records a version whose time is a guess, which a report of the same version
  // replaces. Returns true if the version is newer than all known.
  bool RecordAssumed(const std::string& aModel,
                     std::uint64_t aVersion,
                     std::chrono::milliseconds aAt);

  // Returns the newest version that was named at least aAge ago.
  std::optional<std::uint64_t> NewestOlderThan(
    const std::string& aModel,
    std::chrono::milliseconds aAge,
    std::chrono::milliseconds aNow) const;

  // Returns the known versions after aVersion that aren't outdone by newer ones
  // named as early.
  Entries After(const std::string& aModel, std::uint64_t aVersion) const;
  // Returns the next of them.
  std::optional<Entry> NextAfter(const std::string& aModel,
                                 std::uint64_t aVersion) const;
  std::optional<std::uint64_t> Newest(const std::string& aModel) const;
  // Returns the time since which requests for aVersion are satisfied by nothing
  // older: the time of the first known version that is not older.
  std::optional<std::chrono::milliseconds> NamedAt(
    const std::string& aModel,
    std::uint64_t aVersion) const;

  // Returns the entries of a model, at most aMaxEntries, as Fold reduces them.
  Entries Summary(const std::string& aModel, std::size_t aMaxEntries) const;
  std::vector<std::string> Models() const;
  // Returns the versions whose times are guesses.
  Entries Assumed(const std::string& aModel) const;

private:
  // Reduces the number of entries. A version that is left out is replaced by
  // the next newer one, which then counts as named as early: requests are never
  // allowed to run on weights older than the entries require.
  static void Fold(Entries& aEntries, std::size_t aMaxEntries);
  // Removes versions that newer ones named as early outdo.
  static void RemoveOutdone(Entries& aEntries);
  Entries All(const std::string& aModel) const;

  std::chrono::milliseconds m_maxAge;
  std::map<std::string, Entries> m_reported; // by model
  // Ascending versions; the times don't ascend, since a report replaces each of
  // them alone.
  std::map<std::string, Entries> m_assumed; // by model
};

} // namespace siskindeal
