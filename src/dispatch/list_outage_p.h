#pragma once
// Tells an outage of the platform's list of runners from a pause of this
// process. Runners may expire from the list during an outage; during a pause
// only this process missed what changed. Does no I/O; the caller passes the
// time. Times are boot times, which keep counting while the machine is
// suspended.

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace siskindeal {

class ListOutage
{
public:
  // Records that the process runs; called periodically.
  void RecordAlive(std::chrono::milliseconds aNow)
  {
    if (m_aliveAt && aNow - *m_aliveAt > kMaxPause) {
      m_pauses.push_back({ *m_aliveAt, aNow });
    }
    m_aliveAt = aNow;
  }

  // Records that all changes up to aKnownUntil are known. Returns true if there
  // was an outage before it.
  bool RecordKnown(std::chrono::milliseconds aKnownUntil,
                   std::chrono::milliseconds aNow)
  {
    RecordAlive(aNow); // nothing else may have run since a pause
    const std::chrono::milliseconds before = m_knownUntil.value_or(aKnownUntil);
    m_knownUntil = std::max(before, aKnownUntil);
    std::chrono::milliseconds paused{ 0 };
    for (const Pause& pause : m_pauses) {
      paused += std::max(std::chrono::milliseconds(0),
                         std::min(pause.m_to, *m_knownUntil) -
                           std::max(pause.m_from, before));
    }
    std::erase_if(m_pauses, [&](const Pause& aPause) {
      return aPause.m_to <= *m_knownUntil;
    });
    return *m_knownUntil - before - paused > kMinOutage;
  }

private:
  struct Pause
  {
    std::chrono::milliseconds m_from{ 0 };
    std::chrono::milliseconds m_to{ 0 };
  };

  // Runners expire from the list after three heartbeats of 1.2 s, so in an
  // outage of the store that is shorter none does.
  static constexpr std::chrono::milliseconds kMinOutage{ 2000 };
  static constexpr std::chrono::milliseconds kMaxPause{ 300 };

  std::optional<std::chrono::milliseconds> m_knownUntil;
  std::optional<std::chrono::milliseconds> m_aliveAt;
  std::vector<Pause> m_pauses; // that ended after m_knownUntil
};

} // namespace siskindeal
