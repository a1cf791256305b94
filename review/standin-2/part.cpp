// A part of prompts crashes each runner that begins to answer it. Once the
// gateways refuse it, all of them are killed at the same moment.

#include "box.h"

#include <algorithm>
#include <thread>

namespace box {

namespace {

constexpr int kGateways = 3;
constexpr int kRunners = 8;
constexpr int kFirstRunnerVm = 21;
constexpr Millis kHeartbeat{ 1200 };
constexpr Millis kDown{ 3000 };
constexpr Millis kWork{ 60 };
constexpr Millis kStableWindow{ 3000 };
constexpr Millis kStartTimeout{ 20000 };
constexpr Millis kBetweenCulprits{ 5000 };
constexpr std::size_t kAllowed = 3;
const std::string kService = "caddie-llm";
const std::string kCulprit = "91bd3f06";

// The runners, of which one crashes with each request that holds the culprit.
class Runners
{
public:
  Runners(const Site& aSite, Store& aStore)
    : m_site(aSite)
    , m_store(aStore)
    , m_servers(kRunners)
    , m_born(kRunners)
  {
    for (int i = 0; i < kRunners; ++i) {
      Start(i);
    }
    std::thread([this] {
      while (true) {
        std::this_thread::sleep_for(kHeartbeat);
        const std::lock_guard lock(m_mutex);
        for (int i = 0; i < kRunners; ++i) {
          if (m_servers[i]) {
            Beat(i);
          }
        }
      }
    }).detach();
  }

  std::size_t Crashes()
  {
    const std::lock_guard lock(m_mutex);
    return m_crashes.size();
  }
  // The requests with the culprit that reached a runner since aFrom.
  std::size_t CrashesSince(Time aFrom)
  {
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
      std::count_if(m_crashes.begin(), m_crashes.end(), [&](Time aAt) {
        return aAt >= aFrom;
      }));
  }

private:
  std::string Id(int aIndex) const { return "i-" + std::to_string(aIndex); }
  std::string Host(int aIndex) const
  {
    return m_site.Host(kFirstRunnerVm + aIndex);
  }

  void Start(int aIndex)
  {
    const std::lock_guard lock(m_mutex);
    m_born[aIndex] = UnixMillis();
    m_servers[aIndex] = std::make_unique<Server>(
      Host(aIndex), Site::kRunnerPort, [this, aIndex](const Message& aRequest) {
        return Answer(aIndex, aRequest);
      });
    Beat(aIndex);
  }

  void Beat(int aIndex)
  {
    m_store.Put(
      "servers",
      Id(aIndex),
      { { "service", kService },
        { "address", Host(aIndex) + ":" + std::to_string(Site::kRunnerPort) },
        { "zone", m_site.Place() },
        { "version", "v1" },
        { "slots", 16 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "born", m_born[aIndex] },
        { "sequence", ++m_beat } });
  }

  Reply Answer(int aIndex, const Message& aRequest)
  {
    const std::string expected = aRequest.Field("x-siskindeal-expect-instance");
    if (!expected.empty() && expected != Id(aIndex)) {
      return { 421, "" };
    }
    std::this_thread::sleep_for(kWork);
    const std::string parts = aRequest.Field("x-siskindeal-prompt-prefix");
    if (parts.find(kCulprit) != std::string::npos) {
      Crash(aIndex, aRequest.Field("x-siskindeal-attempt-id"));
    }
    Reply reply{ 200, "id: 1\ndata: token\n\n", RunFields(aRequest) };
    reply.m_fields.emplace_back("Content-Type", "text/event-stream");
    return reply;
  }

  void Crash(int aIndex, const std::string& aRequest)
  {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_servers[aIndex]) {
        return;
      }
      m_crashes.push_back(Now());
      Record("runner " + Id(aIndex) + " begins to answer " + aRequest +
             " and crashes, crash " + std::to_string(m_crashes.size()));
      m_servers[aIndex]->Crash();
      m_servers[aIndex].reset();
    }
    std::thread([this, aIndex] {
      std::this_thread::sleep_for(kDown);
      Start(aIndex);
    }).detach();
  }

  const Site& m_site;
  Store& m_store;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Server>> m_servers; // null: it is down
  std::vector<std::uint64_t> m_born;
  std::vector<Time> m_crashes;
  std::uint64_t m_beat = 0;
};

Message
Ask(const Site& aSite,
    int aGateway,
    const std::string& aId,
    const std::string& aParts)
{
  return Call(aSite.Host(aGateway),
              Site::kFrontPort,
              "POST",
              "/lepu270/2f",
              { { "Host", "jepu9.example" },
                { "X-Siskindeal-Attempt-Id", aId },
                { "X-Siskindeal-Token-Usage", "600,60" },
                { "X-Siskindeal-Prompt-Prefix", aParts },
                { "X-Siskindeal-Deadline-Ms", "6000" },
                { "Connection", "close" } },
              "plan a round for " + aId,
              Millis(6000));
}

// A caller whose requests are sound; they share their first part with the
// others.
void
AskSound(const Site& aSite, int aCaller)
{
  for (int i = 0;; ++i) {
    const std::string id =
      "sound-" + std::to_string(aCaller) + "-" + std::to_string(i);
    Ask(aSite,
        1 + (aCaller + i) % kGateways,
        id,
        "5c1e07a2:40," + std::to_string(1000 + aCaller) + ":60,e4402b7d" +
          std::to_string(i) + ":500");
    std::this_thread::sleep_for(Millis(250));
  }
}

// Sends a request with the culprit. Returns whether it was refused.
bool
AskCulprit(const Site& aSite, int aNumber)
{
  const std::string id = "culprit-" + std::to_string(aNumber);
  const Message answer = Ask(aSite,
                             1 + aNumber % kGateways,
                             id,
                             "5c1e07a2:40," + kCulprit + ":410,aa" +
                               std::to_string(aNumber) + ":250");
  Record("client: " + id + " is answered " + std::to_string(answer.m_status));
  return answer.m_status == 503;
}

json
Config()
{
  return { { "version", 3 },
           { "routes",
             { { { "name", "r-1" },
                 { "host", "jepu9.example" },
                 { "path_prefix", "/lepu270/" },
                 { "kind", "streaming" },
                 { "timeout_ms", 6000 },
                 { "target_latency_ms", 400 },
                 { "priority", 1 },
                 { "service", kService },
                 { "max_attempts", 2 },
                 { "sticky_sessions", true },
                 { "resumable", true },
                 { "target_gap_ms", 300 } } } },
           { "services",
             { { { "name", kService },
                 { "health_path", "/healthz" },
                 { "max_conns", 434 } } } } };
}

void
AwaitAllReady(const Site& aSite)
{
  for (int i = 1; i <= kGateways; ++i) {
    if (!aSite.AwaitReady(i, kStartTimeout)) {
      End(2, "a gateway doesn't become ready");
    }
  }
}

} // namespace

void
RunPart()
{
  constexpr int kFirstCulprits = 8;
  constexpr int kLastCulprits = 4;
  constexpr int kSoundCallers = 12;
  Site site(FcbTee());
  Store store(site.Host(100), Site::kStorePort);
  store.Put("config", "main", Config());
  Runners runners(site, store);
  std::vector<pid_t> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(site.StartGateway(i));
  }
  AwaitAllReady(site);
  for (int i = 0; i < kSoundCallers; ++i) {
    std::thread([&site, i] { AskSound(site, i); }).detach();
  }
  std::this_thread::sleep_for(Millis(5000));
  bool isRefused = false;
  int number = 0;
  for (; number < kFirstCulprits && !(isRefused && runners.Crashes() >= 5);
       ++number) {
    isRefused = AskCulprit(site, number);
    std::this_thread::sleep_for(kBetweenCulprits);
  }
  if (runners.Crashes() < 5) {
    End(2, "fewer than five crashes");
  }
  Time inTouch = Now() + kStableWindow;
  if (HasTrouble()) {
    for (pid_t& gateway : gateways) {
      Kill(gateway);
    }
    Record("all gateways are killed at the same moment");
    for (int i = 1; i <= kGateways; ++i) {
      site.StartGateway(i);
    }
    AwaitAllReady(site);
    inTouch = Now() + kStableWindow;
    Record("all gateways are ready again");
  }
  std::this_thread::sleep_until(inTouch + Millis(500));
  Record("the gateways are in touch");
  for (int i = 0; i < kLastCulprits; ++i) {
    AskCulprit(site, ++number);
    std::this_thread::sleep_for(kBetweenCulprits);
  }
  const std::size_t reached = runners.CrashesSince(inTouch);
  Record("requests with the part that reached runners since then: " +
         std::to_string(reached) + ", allowed: " + std::to_string(kAllowed));
  if (reached > kAllowed) {
    End(1, "BUDGET is broken");
  }
  End(0, "the part was refused");
}

} // namespace box
