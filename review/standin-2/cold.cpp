// A runner of a busy service crashes, comes back and is cold for some seconds.

#include "plain.h"

#include <thread>

namespace box {

void
RunCold()
{
  // Of the site: cold_start_s, cold_per_s; bounds.cold_overshoot, cold_slack.
  constexpr Millis kCold{ 3000 };
  constexpr double kPerSecond = 18;
  constexpr double kOvershoot = 1.5;
  constexpr double kSlack = 5;
  constexpr Millis kDown{ 4500 };
  constexpr int kRequests = 240; // a second, of all callers
  // Runners differ in speed, and one that has just started is slow for some
  // seconds (cold_x 1.6). The others take 60 ms.
  constexpr Millis kWork{ 30 };
  constexpr Millis kColdWork{ 48 };
  PlainSite site({ { "cold_start_s", 3.0 }, { "cold_per_s", kPerSecond } });
  site.Runner(0).Change({ kWork, Millis(0), {} });
  const Callers callers(site.Hosts(), PlainSite::kGateways, kRequests);
  std::this_thread::sleep_for(Millis(6000));
  if (HasTrouble()) {
    site.StopHeartbeats(0);
    site.Runner(0).Crash();
    Record("runner " + site.Runner(0).Id() + " crashes");
  }
  std::this_thread::sleep_for(kDown);
  const Time restartedAt = Now();
  if (HasTrouble()) {
    site.RemoveEntry(0); // after three heartbeats of silence
    site.Restart(0, "i-0b", { kColdWork, kCold, {} });
    Record("runner i-0b starts, cold for " + std::to_string(kCold.count()) +
           " ms");
  }
  std::this_thread::sleep_for(kCold);
  const std::size_t most =
    HasTrouble() ? site.Runner(0).MostWithin(Millis(1000), restartedAt) : 0;
  Record("callers: " + std::to_string(callers.Served()) + " served, " +
         std::to_string(callers.Others()) + " not");
  if (callers.Served() < 1000) {
    End(2, "too few requests are served");
  }
  const double bound = kPerSecond * kOvershoot + kSlack;
  Record("most requests within a second at the cold runner: " +
         std::to_string(most) + ", allowed: " + std::to_string(bound));
  if (static_cast<double>(most) > bound) {
    End(1, "FAILBACK is broken");
  }
  End(0, "no cold runner got more than it may");
}

} // namespace box
