// A runner that names a limit is cut off from the store for some seconds.

#include "plain.h"

#include <thread>

namespace box {

void
RunLimit()
{
  constexpr double kLimit = 0.5; // requests a second, of all gateways together
  constexpr Millis kStableWindow{ 4000 };
  constexpr Millis kWindow{ 4000 };
  constexpr double kFactor = 1.5;
  constexpr double kSlack = 5;
  constexpr Millis kCutFor{ 5000 };
  constexpr int kHeartbeats = 3; // of silence, after which an entry is removed
  constexpr int kRequests = 240; // a second, of all callers
  PlainSite site(json::object());
  const Callers callers(site.Hosts(), PlainSite::kGateways, kRequests);
  std::this_thread::sleep_for(Millis(6000));
  PlainRunner& runner = site.Runner(0);
  RunnerTraits traits = runner.Traits();
  traits.m_work = Millis(600);
  traits.m_limit = "0.5";
  runner.Change(traits);
  Record("runner " + runner.Id() + " is in need: slow, Server-Limit: 0.5");
  const Time from = Now() + kStableWindow;
  std::this_thread::sleep_for(kStableWindow + kWindow);
  Record("arrivals in " + std::to_string(kWindow.count()) +
         " ms, before: " + std::to_string(runner.MostWithin(kWindow, from)));
  const Time cutAt = Now();
  if (HasTrouble()) {
    site.StopHeartbeats(0);
    Record("the runner is cut off from the store, not from the gateways");
    std::this_thread::sleep_until(cutAt + PlainSite::kHeartbeat * kHeartbeats);
    site.RemoveEntry(0);
    Record("its entry is removed after three heartbeats of silence");
    std::this_thread::sleep_until(cutAt + kCutFor);
    site.StartHeartbeats(0);
    Record("the cut ends, its entry is back");
  }
  std::this_thread::sleep_for(kWindow + Millis(2000));
  Record("callers: " + std::to_string(callers.Served()) + " served, " +
         std::to_string(callers.Others()) + " not");
  if (callers.Served() < 1000) {
    End(2, "too few requests are served");
  }
  const std::size_t most = runner.MostWithin(kWindow, from);
  const double bound =
    kLimit * kFactor * static_cast<double>(kWindow.count()) / 1000 + kSlack;
  Record("most requests within 4 s at the limited runner: " +
         std::to_string(most) + ", allowed: " + std::to_string(bound));
  if (static_cast<double>(most) > bound) {
    End(1, "LIMIT is broken");
  }
  End(0, "the limit was kept");
}

} // namespace box
