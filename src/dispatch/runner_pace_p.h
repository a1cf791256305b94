#pragma once
// How long work takes on a runner's VM at present, compared with what is usual:
// as the runner states it, else as the events of its streams show. Does no I/O;
// the caller passes the time.

#include "siskindeal/clock.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace siskindeal {

class RunnerPace
{
public:
  // What a runner stated; a factor of the usual time.
  struct Reading
  {
    double m_factor = 0; // 0: none
    MonotonicTime m_at{};
    bool m_isOwn = false; // received by this gateway itself
  };

  // Records what the runner stated, to this gateway or to another one. Older
  // readings than the known one are ignored.
  void RecordStated(const Reading& aReading);
  // Records the time between two events of a stream, as a factor of what the
  // engine's figures say.
  void RecordEventGap(double aFactor, MonotonicTime aNow);

  // The factor to expect now; 1 unless the runner is clearly slow.
  double Expected(MonotonicTime aNow) const;
  // Whether the runner has stated its pace.
  bool IsStated() const { return m_stated.m_factor > 0; }
  const Reading& Stated() const { return m_stated; }

private:
  // The prompts of other requests delay some events, so that the shortest of
  // the latest gaps shows the speed.
  static constexpr std::size_t kGaps = 8;

  // Learns for how long the VM stays slow, from the reading after a slow one.
  void LearnPeriod(double aFactor, MonotonicTime aAt);

  Reading m_stated;
  // After it a slow reading says little. At first short: a VM that is taken for
  // slow for too long loses requests to others that are no faster.
  std::chrono::duration<double> m_slowPeriod{ 0.1 };
  std::array<Reading, kGaps> m_gaps{};
  std::size_t m_nextGap = 0;
};

} // namespace siskindeal
