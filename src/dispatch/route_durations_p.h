#pragma once
// How long requests took from their arrival to the end of their response, by
// route. A process that is stopping decides by it which requests it can still
// complete. Does no I/O; the caller passes the times.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

class RouteDurations
{
public:
  // Of one route; older ones are forgotten.
  static constexpr std::size_t kMaxSamples = 64;

  // Records a request that was answered.
  void Record(const std::string& aRoute, std::chrono::milliseconds aDuration);

  // Returns the longest of the route's latest requests; none before the first.
  std::optional<std::chrono::milliseconds> Longest(
    const std::string& aRoute) const;

  // Forgets all other routes.
  void Retain(const std::set<std::string>& aRoutes);

private:
  struct Samples
  {
    std::vector<std::chrono::milliseconds> m_latest;
    std::size_t m_next = 0; // the place that is overwritten next
  };

  std::map<std::string, Samples> m_samples; // by route
};

// Whether a request that begins now is over when its process ends: by its
// deadline, after which it is answered in any case, or because it takes no
// longer than aLongest. Without that only the deadline counts.
bool
CompletesBeforeExit(std::chrono::milliseconds aUntilExit,
                    std::chrono::milliseconds aUntilDeadline,
                    std::optional<std::chrono::milliseconds> aLongest);

} // namespace siskindeal
