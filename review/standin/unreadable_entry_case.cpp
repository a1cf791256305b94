// Another writer adds an entry of kind servers with bytes that can't be read.
// Later the day's final fault comes: all processes are killed right after a
// change of the configuration was acknowledged, and are back after 1.5 s. From
// recovery_s after that a quarter of the requests has to be served, as before.

#include "lab.h"

#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::int64_t kRecoveryMs = 12000; // recovery_s of the deployment
constexpr std::int64_t kDownMs = 1500;      // down_s of the site's kill_all
constexpr std::int64_t kJudgedMs = 10000;   // of traffic after recovery_s
constexpr double kLeastShare = 0.25;        // of the rule

struct Share
{
  int m_served = 0;
  int m_sent = 0;

  double Of() const { return m_sent == 0 ? 0 : double(m_served) / m_sent; }
};

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
  const Tenant resort{ "resort", { "key-resort" } };
  store.Put("config", "main", PlainConfig(7, "teesheet", { resort }));
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
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
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
  SleepUntil(begin + 4000);
  const std::int64_t fault =
    store.Put("config", "main", PlainConfig(9, "teesheet", { resort }));
  gateways.KillAll();
  record.Add("gateways: all killed");
  SleepUntil(fault + kDownMs);
  gateways.StartAll();
  const std::int64_t back = Now();
  record.Add("gateways: all started again");
  SleepUntil(back + kRecoveryMs + kJudgedMs);
  stop = true;
  traffic.join();
  clients.Wait();

  Share before;
  Share after;
  for (const Outcome& outcome : clients.All()) {
    const bool isLate = outcome.m_sentAt > back + kRecoveryMs;
    if (isLate || outcome.m_sentAt < fault) {
      Share& share = isLate ? after : before;
      ++share.m_sent;
      share.m_served += outcome.m_status == 200 ? 1 : 0;
    }
  }
  std::cout << "served before the final fault: " << before.m_served << " of "
            << before.m_sent << "; sent over " << kRecoveryMs
            << " ms after the processes were back: " << after.m_served << " of "
            << after.m_sent << '\n';
  record.Add("case: " + std::to_string(after.m_served) + " of " +
             std::to_string(after.m_sent) + " were served after recovery_s");
  if (before.Of() < kLeastShare || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  return after.Of() < kLeastShare ? kBroken : kHeld;
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
