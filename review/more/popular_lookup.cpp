// All runners of a service crash at once and are back after 3 s (srv_crash, how
// = all). Half of the requests are one popular look-up, sent by many clients;
// it is sound. Afterwards it has to be served like the others.

#include "../standin/lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::int64_t kDownMs = 3000;
constexpr std::int64_t kWorkMs = 60;
constexpr std::int64_t kGapMs = 14; // between two requests
constexpr std::int64_t kDayMs = 50000;
constexpr std::int64_t kCalmMs = 5000; // after the runners are back

struct Share
{
  int m_served = 0;
  int m_sent = 0;

  void Add(int aStatus)
  {
    ++m_sent;
    m_served += aStatus == 200 ? 1 : 0;
  }
  double Of() const { return m_sent == 0 ? 0 : double(m_served) / m_sent; }
};

int
Play(const Options& aOptions)
{
  Record record(aOptions.m_folder + "/record.txt");
  Store store("127.0.0.1", record);
  Arrivals arrivals(record);
  const auto play =
    [](Runner& aRunner, Connection& aConnection, const Message& aRequest) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kWorkMs));
      return aConnection.Send(
        Response(200, aRunner.Fields(aRequest), "the sheet"));
    };
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= 3; ++i) {
    const std::string number = std::to_string(i);
    runners.push_back(std::make_unique<Runner>("i-" + number,
                                               "teesheet",
                                               "127.0.0.3" + number,
                                               "zone-" + number,
                                               arrivals,
                                               play));
    store.Put("servers", runners.back()->Id(), runners.back()->Entry("ready"));
  }
  store.Put("config",
            "main",
            PlainConfig(7, "teesheet", { { "resort", { "key-resort" } } }));
  Gateways gateways(
    aOptions.m_binary, aOptions.m_temporary, store.Address(), 3);
  if (!gateways.AwaitReady()) {
    return kCouldNotRun;
  }
  Clients clients(gateways, record, kHost);
  std::atomic<bool> stop{ false };
  std::thread traffic([&] {
    for (int i = 0; !stop; ++i) {
      ClientRequest request{ "GET", "/look/sheet", "key-resort", "" };
      if (i % 2 == 0) {
        request = {
          "POST", "/book/slot", "key-resort", "slot " + std::to_string(i)
        };
      }
      clients.Send(request, (i / 2) % 3);
      std::this_thread::sleep_for(std::chrono::milliseconds(kGapMs));
    }
  });
  const std::int64_t begin = Now() + 2000;
  SleepUntil(begin);
  if (aOptions.m_trouble) {
    record.Add("runners: all crash");
    for (const auto& runner : runners) {
      runner->Stop();
    }
    SleepUntil(begin + kDownMs);
    for (const auto& runner : runners) {
      runner->Start();
      store.Put("servers", runner->Id(), runner->Entry("ready"));
    }
  }
  SleepUntil(begin + kDayMs);
  stop = true;
  traffic.join();
  clients.Wait();

  Share all;
  Share lookUps;
  Share lookUpsLater;
  Share bookingsLater;
  for (const Outcome& outcome : clients.All()) {
    const bool isLookUp =
      (std::atoi(outcome.m_attempt.c_str() + 1) - 1) % 2 == 1;
    all.Add(outcome.m_status);
    if (isLookUp) {
      lookUps.Add(outcome.m_status);
    }
    if (outcome.m_sentAt > begin + kDownMs + kCalmMs) {
      (isLookUp ? lookUpsLater : bookingsLater).Add(outcome.m_status);
    }
  }
  std::cout << "served from " << kCalmMs
            << " ms after the runners were back: " << lookUpsLater.m_served
            << " of " << lookUpsLater.m_sent << " look-ups, "
            << bookingsLater.m_served << " of " << bookingsLater.m_sent
            << " bookings; share of look-ups over the "
            << "day " << lookUps.Of() << ", of all " << all.Of() << '\n';
  if (bookingsLater.m_served == 0 || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  // The rule Starved.
  return lookUps.Of() < all.Of() / 4 ? kBroken : kHeld;
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
