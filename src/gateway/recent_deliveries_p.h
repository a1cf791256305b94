#pragma once
// Which links to other regions have carried a request quickly a moment ago. A
// request that waits in a link can't be called back; a handshake can, so it
// comes first where nothing shows that the link is free. Does no I/O; the
// caller passes the time.

#include "siskindeal/clock.h"

#include <chrono>
#include <map>
#include <string>

namespace siskindeal {

class RecentDeliveries
{
public:
  // Longer ones show a queue, or a busy runner.
  static constexpr std::chrono::milliseconds kQuick{ 100 };
  // Queues of a link between regions grow by seconds within a second.
  static constexpr std::chrono::milliseconds kProofLifetime{ 300 };

  // Records that a request to a runner in aRegion has reached its system.
  void Record(const std::string& aRegion,
              MonotonicTime aSentAt,
              MonotonicTime aDeliveredAt)
  {
    if (aDeliveredAt - aSentAt <= kQuick) {
      m_provenAt[aRegion] = aDeliveredAt;
    }
  }

  bool IsProven(const std::string& aRegion, MonotonicTime aNow) const
  {
    const auto found = m_provenAt.find(aRegion);
    return found != m_provenAt.end() && aNow - found->second < kProofLifetime;
  }

private:
  std::map<std::string, MonotonicTime> m_provenAt; // by region
};

} // namespace siskindeal
