#pragma once
// Time as an explicit input: decision code takes a Clock or a MonotonicTime and
// never reads the system's clock, so that randomised runs repeat.

#include <chrono>

namespace siskindeal {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// The source of time of a process.
class Clock
{
public:
  virtual ~Clock() = default;
  // Never goes back; unrelated between processes.
  virtual MonotonicTime Now() const = 0;
  // May be wrong by any amount; only for people and for retention.
  virtual WallTime WallNow() const = 0;
};

// The clock of the operating system.
class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
};

// A clock that moves only when told to, for tests and randomised runs.
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
