// A drill: the store is away for a moment and comes back from a copy some
// seconds old. What was written since is written again, and the operator takes
// a key away right after. Later on no request with that key may run.

#include "lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::int64_t kRevokeMs = 5000; // revoke_ms of the deployment
constexpr std::int64_t kAwayMs = 320;
constexpr std::int64_t kRewriteDelayMs = 40;
constexpr std::int64_t kRevokeDelayMs = 80;
constexpr std::int64_t kWatchedMs = 15000; // after the acknowledgement

int
Play(const Options& aOptions)
{
  Record record(aOptions.m_folder + "/record.txt");
  Store store("127.0.0.1", record);
  Arrivals arrivals(record);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= 3; ++i) {
    const std::string number = std::to_string(i);
    runners.push_back(std::make_unique<Runner>("i-" + number,
                                               "teesheet",
                                               "127.0.0.3" + number,
                                               "zone-" + number,
                                               arrivals));
    store.Put("servers", runners.back()->Id(), runners.back()->Entry("ready"));
  }
  store.Put("config",
            "main",
            PlainConfig(7,
                        "teesheet",
                        { { "resort", { "key-resort" } },
                          { "club", { "key-club", "key-lost" } } }));
  Gateways gateways(
    aOptions.m_binary, aOptions.m_temporary, store.Address(), 3);
  if (!gateways.AwaitReady()) {
    record.Add("case: the gateways don't get ready");
    return kCouldNotRun;
  }
  Clients clients(gateways, record, kHost);
  std::atomic<bool> stop{ false };
  std::thread traffic([&] {
    for (int i = 0; !stop; ++i) {
      const char* keys[] = { "key-resort", "key-lost", "key-club" };
      clients.Send(
        { "POST", "/book/slot", keys[i % 3], "slot " + std::to_string(i) },
        (i / 3) % 3);
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
  });
  const std::int64_t begin = Now() + 2000;
  SleepUntil(begin);

  // A runner that has just started tells with each heartbeat how much longer it
  // remains slow, so its entry changes each time.
  Runner fresh("i-4", "teesheet", "127.0.0.34", "zone-1", arrivals);
  store.Put("servers", fresh.Id(), fresh.Entry("ready", 9000));
  SleepUntil(begin + 1000);
  const Store::Copy copy = store.TakeCopy();
  SleepUntil(begin + 1200);
  store.Put("servers", fresh.Id(), fresh.Entry("ready", 7800));
  SleepUntil(begin + 2400);
  store.Put("servers", fresh.Id(), fresh.Entry("ready", 6600));
  SleepUntil(begin + 3550);
  if (aOptions.m_trouble) {
    store.GoAway();
    SleepUntil(begin + 3550 + kAwayMs);
    store.ComeBack(copy);
  }
  const std::int64_t back = Now();
  SleepUntil(back + kRewriteDelayMs);
  store.Put("servers", fresh.Id(), fresh.Entry("ready", 5400));
  SleepUntil(back + kRevokeDelayMs);
  const std::int64_t revoked =
    store.Put("config",
              "main",
              PlainConfig(9,
                          "teesheet",
                          { { "resort", { "key-resort" } },
                            { "club", { "key-club" } } }));
  record.Add("operator: key-lost is taken away, acknowledged");
  SleepUntil(revoked + kWatchedMs);
  stop = true;
  traffic.join();
  clients.Wait();

  const std::vector<Arrival> ran = arrivals.All();
  int served = 0;
  int late = 0;
  int sound = 0;
  std::int64_t last = 0;
  for (const Outcome& outcome : clients.All()) {
    const int number = std::atoi(outcome.m_attempt.c_str() + 1) - 1;
    const bool isLost = number % 3 == 1;
    const bool run =
      std::any_of(ran.begin(), ran.end(), [&](const Arrival& aArrival) {
        return aArrival.m_run && aArrival.m_attempt == outcome.m_attempt;
      });
    if (outcome.m_sentAt <= revoked + kRevokeMs) {
      served += run ? 1 : 0;
    } else if (!isLost) {
      sound += run ? 1 : 0;
    } else if (run) {
      ++late;
      last = std::max(last, outcome.m_sentAt - revoked);
    }
  }
  const bool broken = late > 0;
  std::cout << "ran before the bound: " << served
            << "; with other keys after it: " << sound
            << "; with the key that was taken away, sent over " << kRevokeMs
            << " ms after the acknowledgement: " << late << ", the last "
            << last << " ms after it\n";
  record.Add("case: " + std::to_string(late) +
             " requests ran with a key that was taken away over 5 s before");
  if (served == 0 || sound == 0 || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  return broken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Play(ReadOptions(aCount, aArguments));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCouldNotRun;
  }
}
