#pragma once
// Clocks. Decision code takes a Clock or a MonotonicTime and never reads the
// system clock, so that randomised runs are reproducible.

#include <chrono>

namespace siskindeal {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Time source of a process.
class Clock
{
public:
  virtual ~Clock() = default;
  // Never decreases; not comparable between processes.
  virtual MonotonicTime Now() const = 0;
  // May be wrong by any amount; use it only for display and retention.
  virtual WallTime WallNow() const = 0;
};

// The clock of the operating system.
class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
};

// A clock that moves only on Advance, for tests and randomised runs.
class ManualClock final : public Clock
{
public:
  MonotonicTime Now() const override { return m_now; }
  WallTime WallNow() const override { return m_wall; }
  void Advance(std::chrono::nanoseconds aStep);

private:
  MonotonicTime m_now{ std::chrono::hours{ 1 } };
  WallTime m_wall{ std::chrono::hours{ 1 } };
};

} // namespace siskindeal
