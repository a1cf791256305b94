// A request crashes the runner that runs it and comes again. The service has
// one runner, which starts again under its id, with a new 'born'. After the
// third crash the request may not reach runners in more than three retries.

#include "lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr char kDeadlyBody[] = "deadly";
constexpr std::int64_t kStableMs = 3000; // stable_window_ms of the deployment
constexpr int kAllowedRetries = 3;
constexpr int kCrashesThatCount = 3;
// Under three heartbeats of 1.2 s, so that the entry stays in the store.
constexpr std::int64_t kDownMs = 2000;
constexpr std::int64_t kRepeatMs = 3000; // between two sends of the request
constexpr int kRepeats = 14;

int
Play(const Options& aOptions)
{
  Record record(aOptions.m_folder + "/record.txt");
  Store store("127.0.0.1", record);
  Arrivals arrivals(record);
  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  std::vector<std::thread> restarts;
  std::unique_ptr<Runner> only;
  const auto play =
    [&](Runner& aRunner, Connection& aConnection, const Message& aRequest) {
      if (aRequest.m_body == kDeadlyBody) {
        const std::lock_guard<std::mutex> lock(mutex);
        crashes.push_back(Now());
        restarts.emplace_back([&aRunner, &record, &store] {
          aRunner.Stop();
          record.Add("runner " + aRunner.Id() + ": crashes");
          SleepUntil(Now() + kDownMs);
          aRunner.Start();
          store.Put("servers", aRunner.Id(), aRunner.Entry("ready"));
        });
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(Runner::kWorkMs));
      return aConnection.Send(Response(200, aRunner.Fields(aRequest), "done"));
    };
  only = std::make_unique<Runner>(
    "i-1", "clubhouse", "127.0.0.31", "zone-1", arrivals, play);
  store.Put("servers", only->Id(), only->Entry("ready"));
  store.Put("config",
            "main",
            PlainConfig(7, "clubhouse", { { "resort", { "key-resort" } } }));
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
        { "POST", "/book/bill", "key-resort", "bill " + std::to_string(i) },
        i % 3);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  const std::int64_t begin = Now() + 2000;
  std::vector<std::string> deadly;
  for (int i = 0; i < kRepeats; ++i) {
    SleepUntil(begin + i * kRepeatMs);
    if (aOptions.m_trouble) {
      deadly.push_back(clients.Send(
        { "POST", "/book/deadly", "key-resort", kDeadlyBody }, i % 3));
    }
  }
  SleepUntil(begin + kRepeats * kRepeatMs);
  stop = true;
  traffic.join();
  clients.Wait();
  for (std::thread& thread : restarts) {
    thread.join();
  }

  int reached = 0;
  int late = 0;
  for (const Arrival& arrival : arrivals.All()) {
    const bool isDeadly =
      std::find(deadly.begin(), deadly.end(), arrival.m_attempt) !=
      deadly.end();
    if (isDeadly) {
      ++reached;
      const bool counts =
        crashes.size() >= kCrashesThatCount &&
        arrival.m_at > crashes[kCrashesThatCount - 1] + kStableMs;
      late += counts ? 1 : 0;
    }
  }
  int served = 0;
  int lost = 0;
  for (const Outcome& outcome : clients.All()) {
    const bool isDeadly =
      std::find(deadly.begin(), deadly.end(), outcome.m_attempt) !=
      deadly.end();
    served += !isDeadly && outcome.m_status == 200 ? 1 : 0;
    lost += !isDeadly && outcome.m_status != 200 && outcome.m_status != 503;
  }
  std::cout << "sent " << deadly.size() << " times, reached the runner "
            << reached << " times, " << late << " of these over " << kStableMs
            << " ms after the third crash; crashes: " << crashes.size()
            << "; other requests served: " << served
            << ", lost at crashes: " << lost << '\n';
  record.Add("case: the request crashed the runner " +
             std::to_string(crashes.size()) + " times");
  if (served == 0 || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  return late > kAllowedRetries ? kBroken : kHeld;
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
