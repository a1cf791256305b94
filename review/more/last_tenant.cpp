// The operator removes the tenants one after the other, the last one too: the
// configuration then contains an empty list of tenants. Requests with keys that
// were taken away, or that never existed, may not run.

#include "../standin/lab.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr char kHost[] = "tee.example";
constexpr std::int64_t kRevokeMs = 5000; // revoke_ms of the deployment
constexpr std::int64_t kWatchedMs = 12000;
constexpr int kKinds = 3; // of keys that are sent in turn

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
  const Tenant club{ "club", { "key-club" } };
  store.Put("config", "main", PlainConfig(7, "teesheet", { resort, club }));
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
      const char* keys[kKinds] = { "key-resort", "key-club", "key-unknown" };
      clients.Send(
        { "POST", "/book/slot", keys[i % kKinds], "slot " + std::to_string(i) },
        (i / kKinds) % 3);
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
  });
  const std::int64_t begin = Now() + 2000;
  SleepUntil(begin);
  const std::int64_t first =
    store.Put("config", "main", PlainConfig(9, "teesheet", { resort }));
  record.Add("operator: tenant club is removed, acknowledged");
  SleepUntil(first + 6000);
  const std::int64_t last =
    aOptions.m_trouble
      ? store.Put("config", "main", PlainConfig(12, "teesheet", {}))
      : store.Put(
          "config", "main", PlainConfig(12, "teesheet", { { "resort", {} } }));
  record.Add("operator: the last key is removed, acknowledged");
  SleepUntil(last + kWatchedMs);
  stop = true;
  traffic.join();
  clients.Wait();

  const std::vector<Arrival> ran = arrivals.All();
  int before = 0;
  int unknownBefore = 0;
  int revoked = 0;
  int unknown = 0;
  for (const Outcome& outcome : clients.All()) {
    const int kind = (std::atoi(outcome.m_attempt.c_str() + 1) - 1) % kKinds;
    const bool run =
      std::any_of(ran.begin(), ran.end(), [&](const Arrival& aArrival) {
        return aArrival.m_run && aArrival.m_attempt == outcome.m_attempt;
      });
    const bool isUnknown = kind == kKinds - 1;
    if (!run) {
      continue;
    }
    if (outcome.m_sentAt < last) {
      before += isUnknown ? 0 : 1;
      unknownBefore += isUnknown ? 1 : 0;
    } else if (isUnknown) {
      ++unknown;
    } else if (outcome.m_sentAt > last + kRevokeMs) {
      ++revoked;
    }
  }
  std::cout << "ran before the last tenant was removed: " << before
            << ", with an unknown key: " << unknownBefore
            << "; ran later, with keys that were taken away over " << kRevokeMs
            << " ms before: " << revoked << ", with a key that no "
            << "configuration held: " << unknown << '\n';
  record.Add("case: " + std::to_string(revoked) +
             " requests ran with keys that were taken away, " +
             std::to_string(unknown) + " with a key that never existed");
  if (before == 0 || !gateways.AllRunning()) {
    return kCouldNotRun;
  }
  return revoked + unknown + unknownBefore > 0 ? kBroken : kHeld;
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
