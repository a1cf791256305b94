// A zone is evacuated and taken back; its runners are cold then.

#include "plain.h"

#include <algorithm>
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
  constexpr Millis kEvacuated{ 8000 };
  constexpr Millis kNotice{ 100 }; // of runners that have become cold
  constexpr int kRequests = 200;   // a second, of all callers
  constexpr int kLocal = 3;        // runners in the zone
  const std::string zone = "mvd-centro";
  PlainSite site({ { "cold_start_s", 3.0 }, { "cold_per_s", kPerSecond } },
                 kLocal);
  const Callers callers(site.Hosts(), PlainSite::kGateways, kRequests);
  std::this_thread::sleep_for(Millis(6000));
  if (HasTrouble()) {
    site.Evacuate(zone);
    Record("zone " + zone + " is evacuated");
  }
  std::this_thread::sleep_for(kEvacuated);
  if (HasTrouble()) {
    for (int i = 0; i < kLocal; ++i) {
      RunnerTraits traits = site.Runner(i).Traits();
      traits.m_coldUntil = Now() + kCold;
      site.Runner(i).Change(traits);
      site.StartHeartbeats(i);
    }
    Record("its runners are cold, and say so in their entries");
    std::this_thread::sleep_for(kNotice);
  }
  const Time takenBackAt = Now();
  if (HasTrouble()) {
    site.TakeBack(zone);
    Record("the zone is taken back");
  }
  std::this_thread::sleep_for(kCold - kNotice);
  std::size_t most = 0;
  for (int i = 0; HasTrouble() && i < kLocal; ++i) {
    const std::size_t here =
      site.Runner(i).MostWithin(Millis(1000), takenBackAt);
    Record("most requests within a second at cold runner " +
           site.Runner(i).Id() + ": " + std::to_string(here));
    most = std::max(most, here);
  }
  Record("callers: " + std::to_string(callers.Served()) + " served, " +
         std::to_string(callers.Others()) + " not");
  if (callers.Served() < 1000) {
    End(2, "too few requests are served");
  }
  const double bound = kPerSecond * kOvershoot + kSlack;
  Record("most at any: " + std::to_string(most) +
         ", allowed: " + std::to_string(bound));
  if (static_cast<double>(most) > bound) {
    End(1, "FAILBACK is broken");
  }
  End(0, "no cold runner got more than it may");
}

} // namespace box
