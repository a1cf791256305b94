// Another writer adds an entry of kind servers with bytes that can't be read.
// Then the runners of a service are replaced one after the other. No request
// may reach a runner later than drain_ms after the store has accepted that it
// is draining.

#include "lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::int64_t kDrainMs = 2000;  // drain_ms of the deployment
constexpr std::int64_t kLongerMs = 4000; // for which a runner serves beyond it
constexpr std::int64_t kGapMs = 1000;    // between two replacements
constexpr std::int64_t kAfterMs = 8000;  // of traffic to the new runners

struct Drained
{
  std::string m_id;
  std::int64_t m_acknowledged = 0;
};

int
Play(const Options& aOptions)
{
  Record record(aOptions.m_folder + "/record.txt");
  Store store("127.0.0.1", record);
  Arrivals arrivals(record);
  std::vector<std::unique_ptr<Runner>> runners;
  const auto add = [&] {
    const std::string number = std::to_string(runners.size() + 1);
    const std::string zone = std::to_string(runners.size() % 3 + 1);
    runners.push_back(std::make_unique<Runner>("i-" + number,
                                               "teesheet",
                                               "127.0.0.3" + number,
                                               "zone-" + zone,
                                               arrivals));
    store.Put("servers", runners.back()->Id(), runners.back()->Entry("ready"));
  };
  for (int i = 0; i < 3; ++i) {
    add();
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
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  const std::int64_t begin = Now() + 2000;
  SleepUntil(begin);
  if (aOptions.m_trouble) {
    store.Put("servers",
              "x-1",
              R"({"service":"teesheet","address":"127.0.0.39:9","zone":")"
              "\xff\xfe"
              R"(","slots":6,"state":"ready"})");
  }
  std::vector<Drained> drained;
  std::vector<std::thread> leaving;
  for (std::size_t i = 0; i < 3; ++i) {
    SleepUntil(begin + 1500 + static_cast<std::int64_t>(i) * kGapMs);
    add();
    Runner& runner = *runners[i];
    const std::int64_t acknowledged =
      store.Put("servers", runner.Id(), runner.Entry("draining"));
    drained.push_back({ runner.Id(), acknowledged });
    leaving.emplace_back([&store, &record, &runner, acknowledged] {
      SleepUntil(acknowledged + kDrainMs + kLongerMs);
      runner.Stop();
      record.Add("runner " + runner.Id() + ": exits");
      store.Remove("servers", runner.Id());
    });
  }
  for (std::thread& thread : leaving) {
    thread.join();
  }
  const std::int64_t replaced = Now();
  SleepUntil(replaced + kAfterMs);
  stop = true;
  traffic.join();
  clients.Wait();

  int late = 0;
  std::int64_t latest = 0;
  for (const Arrival& arrival : arrivals.All()) {
    for (const Drained& one : drained) {
      const std::int64_t after = arrival.m_at - one.m_acknowledged;
      if (arrival.m_run && arrival.m_runner == one.m_id && after > kDrainMs) {
        ++late;
        latest = std::max(latest, after);
      }
    }
  }
  int before = 0;
  int after = 0;
  int servedAfter = 0;
  int unanswered = 0;
  for (const Outcome& outcome : clients.All()) {
    before += outcome.m_sentAt < begin && outcome.m_status == 200 ? 1 : 0;
    if (outcome.m_sentAt > replaced) {
      ++after;
      servedAfter += outcome.m_status == 200 ? 1 : 0;
    }
    // 502, 504 or no answer: the booking may have run.
    unanswered += outcome.m_status != 200 && outcome.m_status != 503 ? 1 : 0;
  }
  std::cout << "served before: " << before << "; reached draining runners over "
            << kDrainMs << " ms after the acknowledgement: " << late
            << ", the latest " << latest << " ms after it; bookings without an "
            << "outcome: " << unanswered << "; served once all runners were "
            << "replaced: " << servedAfter << " of " << after << '\n';
  record.Add("case: " + std::to_string(late) +
             " requests reached draining runners too late; " +
             std::to_string(servedAfter) + " of " + std::to_string(after) +
             " were served by the new ones");
  if (before == 0 || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
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
