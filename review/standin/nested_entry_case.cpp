// Another writer adds an entry of kind servers in which a field has another
// type: 'zone' is nested arrays. No process may end by itself.

#include "lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::size_t kDepth = 250000; // 0.5 MB; max_value_bytes is 1 MB
constexpr std::int64_t kWatchedMs = 15000;
constexpr std::int64_t kRestartDelayMs = 500;
// Of the rule Fault.
constexpr int kEndsThatCount = 3;
constexpr int kMachinesThatCount = 2;

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
            PlainConfig(7, "teesheet", { { "resort", { "key-resort" } } }));
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
      clients.Send(
        { "POST", "/book/slot", "key-resort", "slot " + std::to_string(i) },
        i % 3);
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
  });
  const std::int64_t begin = Now() + 2000;
  SleepUntil(begin);
  if (aOptions.m_trouble) {
    store.Put("servers",
              "x-1",
              R"({"service":"teesheet","address":"127.0.0.39:9","zone":)" +
                std::string(kDepth, '[') + std::string(kDepth, ']') +
                R"(,"slots":6,"state":"ready"})");
  }
  while (Now() < begin + kWatchedMs) {
    SleepUntil(Now() + kRestartDelayMs);
    gateways.RestartEnded(record);
  }
  stop = true;
  traffic.join();
  clients.Wait();

  int before = 0;
  int after = 0;
  int servedAfter = 0;
  for (const Outcome& outcome : clients.All()) {
    const bool served = outcome.m_status == 200;
    before += outcome.m_sentAt < begin && served ? 1 : 0;
    if (outcome.m_sentAt > begin + 1000) {
      ++after;
      servedAfter += served ? 1 : 0;
    }
  }
  int machines = 0;
  int ends = 0;
  for (int i = 0; i < gateways.Count(); ++i) {
    machines += gateways.Ends(i) >= kEndsThatCount ? 1 : 0;
    ends += gateways.Ends(i);
  }
  std::cout << "served before: " << before << "; the " << gateways.Count()
            << " gateways ended by themselves " << ends
            << " times; served from 1 s after the entry on: " << servedAfter
            << " of " << after << '\n';
  record.Add("case: gateways ended " + std::to_string(ends) + " times");
  if (before == 0) {
    return kCouldNotRun;
  }
  return machines >= kMachinesThatCount ? kBroken : kHeld;
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
