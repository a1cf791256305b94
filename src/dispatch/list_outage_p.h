#pragma once
// Tells an outage of the platform's list of runners from a gap of this process.
// Runners may expire from the list during an outage; during a pause, or while
// its source changes, only this process missed what changed. Does no I/O; the
// caller passes the time. Times are boot times, which keep counting while the
// machine is suspended.

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
  // was an outage before it. aSourceWithoutGapSince: WithoutGapSince of the
  // gateway that it is known from, by the boot time of this one.
  bool RecordKnown(
    std::chrono::milliseconds aKnownUntil,
    std::chrono::milliseconds aNow,
    std::optional<std::chrono::milliseconds> aSourceWithoutGapSince = {})
  {
    RecordAlive(aNow); // nothing else may have run since a pause
    const bool isFirst = !m_knownUntil;
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
    const std::chrono::milliseconds gap = *m_knownUntil - before;
    // If another gateway was told of all changes meanwhile, the list was there.
    if (aSourceWithoutGapSince && *aSourceWithoutGapSince <= before) {
      m_withoutGapSince = isFirst ? *aSourceWithoutGapSince : m_withoutGapSince;
      return false;
    }
    if (isFirst || gap > kMinOutage) {
      m_withoutGapSince = aSourceWithoutGapSince.value_or(*m_knownUntil);
    }
    return gap - paused > kMinOutage;
  }

  // Since when all changes were known soon, by this process or by those that
  // told it. Meaningful once something is known.
  std::chrono::milliseconds WithoutGapSince() const
  {
    return m_withoutGapSince;
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
  std::chrono::milliseconds m_withoutGapSince{ 0 };
  std::optional<std::chrono::milliseconds> m_aliveAt;
  std::vector<Pause> m_pauses; // that ended after m_knownUntil
};

} // namespace siskindeal
