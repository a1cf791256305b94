// A runner's machine stands still while newer weights become due; its entry
// leaves the list meanwhile.

#include "box.h"

#include <cstdlib>
#include <thread>

namespace box {

namespace {

constexpr int kGatewayVm = 1;
constexpr int kFirstRunnerVm = 21;
constexpr int kRunners = 2;
constexpr Millis kHeartbeat{ 1200 };
constexpr int kHeartbeats = 3; // of silence, after which an entry is removed
constexpr Millis kVersionWithin{ 8000 };
constexpr Millis kLoadedAfter{ 5000 }; // from the naming
constexpr Millis kFreezeAfter{ 4200 };
constexpr Millis kFrozenFor{ 4000 };
constexpr Millis kLastBeat{ 600 }; // before the machine stands still
constexpr Millis kWork{ 60 };
const std::string kModel = "daka510000";
const std::string kService = "caddie-llm";

// A model runner that gets the named version some seconds later.
class Runner
{
public:
  Runner(const Site& aSite, Store& aStore, int aIndex)
    : m_id("i-" + std::to_string(aIndex))
    , m_host(aSite.Host(kFirstRunnerVm + aIndex))
    , m_place(aSite.Place())
    , m_store(aStore)
    , m_server(m_host, Site::kRunnerPort, [this](const Message& aRequest) {
      return Answer(aRequest);
    })
  {
    Beat();
  }

  const std::string& Id() const { return m_id; }
  std::string Verdict()
  {
    const std::lock_guard lock(m_mutex);
    return m_verdict;
  }

  void Beat()
  {
    const std::lock_guard lock(m_mutex);
    if (m_isFrozen || m_beatsEnd) {
      return;
    }
    m_beatAt = Now();
    m_store.Put(
      "servers",
      m_id,
      { { "service", kService },
        { "address", m_host + ":" + std::to_string(Site::kRunnerPort) },
        { "zone", m_place },
        { "version", "v1" },
        { "slots", 16 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "born", m_born },
        { "models", { { { "name", kModel }, { "version", m_version } } } },
        { "sequence", ++m_beats } });
  }

  void EndBeats()
  {
    const std::lock_guard lock(m_mutex);
    m_beatsEnd = true;
  }

  void SetNamedAt(Time aNamedAt)
  {
    const std::lock_guard lock(m_mutex);
    m_namedAt = aNamedAt;
  }
  // Loads version 2 unless the machine stands still.
  void Load()
  {
    {
      const std::lock_guard lock(m_mutex);
      if (m_isFrozen) {
        return;
      }
      m_version = 2;
      Record("runner " + m_id + " has loaded version 2");
    }
    Beat();
  }

  void Stand()
  {
    {
      const std::lock_guard lock(m_mutex);
      m_isFrozen = true;
      Record("the machine of runner " + m_id + " stands still");
    }
    const Time frozenAt = Now();
    std::this_thread::sleep_until(m_beatAt + kHeartbeat * kHeartbeats);
    if (std::getenv("KEEP_ENTRY") == nullptr) { // a control for the cause
      m_store.Remove("servers", m_id);
      Record("its entry is removed after three heartbeats of silence");
    }
    std::this_thread::sleep_until(frozenAt + kFrozenFor);
    {
      const std::lock_guard lock(m_mutex);
      m_isFrozen = false;
      m_beatsEnd = false;
      Record("the machine of runner " + m_id + " goes on");
    }
    m_wakes.notify_all();
    Beat();
  }

private:
  Reply Answer(const Message& aRequest)
  {
    const std::string expected = aRequest.Field("x-siskindeal-expect-instance");
    std::unique_lock lock(m_mutex);
    m_wakes.wait(lock, [this] { return !m_isFrozen; });
    if (!aRequest.m_isOpen()) {
      Record("runner " + m_id + " drops " +
             aRequest.Field("x-siskindeal-attempt-id") +
             ", whose connection is closed");
      return { 503, "", { { "X-Siskindeal-Not-Executed", "1" } } };
    }
    if (!expected.empty() && expected != m_id) {
      return { 421, "" };
    }
    const std::string wanted = aRequest.Field("x-siskindeal-expect-version");
    if (!wanted.empty() && wanted != std::to_string(m_version)) {
      return { 421, "" };
    }
    Begin(aRequest);
    Reply reply{ 200, "id: 1\ndata: token\n\n", RunFields(aRequest) };
    reply.m_fields.emplace_back("Content-Type", "text/event-stream");
    reply.m_fields.emplace_back("X-Siskindeal-Weight-Versions",
                                std::to_string(m_version));
    lock.unlock();
    std::this_thread::sleep_for(kWork);
    return reply;
  }

  // With m_mutex held.
  void Begin(const Message& aRequest)
  {
    if (m_namedAt == Time{}) {
      return;
    }
    const auto age = std::chrono::duration_cast<Millis>(Now() - m_namedAt);
    if (m_version >= 2 || age <= kVersionWithin) {
      return;
    }
    m_verdict = "request " + aRequest.Field("x-siskindeal-attempt-id") +
                " begins on version 1, " + std::to_string(age.count()) +
                " ms after version 2 was acknowledged";
    Record(m_verdict);
  }

  std::string m_id;
  std::string m_host;
  std::string m_place;
  Store& m_store;
  std::uint64_t m_born = UnixMillis();
  std::mutex m_mutex;
  std::condition_variable m_wakes;
  bool m_isFrozen = false;
  bool m_beatsEnd = false;
  std::uint64_t m_version = 1;
  std::uint64_t m_beats = 0;
  Time m_beatAt{};
  Time m_namedAt{};
  std::string m_verdict;
  Server m_server;
};

json
Config()
{
  const json engine = { { "slots", 16 },
                        { "stride", 6 },
                        { "models", { { { "name", kModel } } } },
                        { "step_ms", 6.73 },
                        { "per_seq_ms", 0.0219 },
                        { "read_per_s", 30600.0 },
                        { "usual", { { "prompt", 900 }, { "answer", 120 } } } };
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
                 { "max_attempts", 1 },
                 { "sticky_sessions", true },
                 { "resumable", true },
                 { "target_gap_ms", 300 } } } },
           { "services",
             { { { "name", kService },
                 { "health_path", "/healthz" },
                 { "max_conns", 434 },
                 { "engine", engine } } } } };
}

void
Ask(const Site& aSite, int aNumber)
{
  const std::string id = "id-" + std::to_string(aNumber);
  const Message answer =
    Call(aSite.Host(kGatewayVm),
         Site::kFrontPort,
         "POST",
         "/lepu270/2f",
         { { "Host", "jepu9.example" },
           { "X-Siskindeal-Attempt-Id", id },
           { "X-Siskindeal-Model", kModel },
           { "X-Siskindeal-Token-Usage", "300,60" },
           { "X-Siskindeal-Prompt-Prefix", "5c1e07a2:40,91bd3f06:260" },
           { "X-Siskindeal-Deadline-Ms", "6000" },
           { "Connection", "close" } },
         "plan a round for " + id,
         Millis(6500));
  Record("client: " + id + " is answered " + std::to_string(answer.m_status));
}

} // namespace

void
RunVersion()
{
  constexpr Millis kStartTimeout{ 20000 };
  constexpr int kRequests = 8;
  Site site(FcbTee());
  Store store(site.Host(100), Site::kStorePort);
  store.Put("config", "main", Config());
  Runner still(site, store, 0);
  Runner other(site, store, 1);
  std::thread([&] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      still.Beat();
      other.Beat();
    }
  }).detach();
  site.StartGateway(kGatewayVm);
  if (!site.AwaitReady(kGatewayVm, kStartTimeout)) {
    End(2, "the gateway doesn't become ready");
  }
  std::this_thread::sleep_for(Millis(4000)); // until it is in touch
  Ask(site, 0);
  const Time namedAt = Now();
  store.Put("versions", kModel, { { "model", kModel }, { "version", 2 } });
  still.SetNamedAt(namedAt);
  other.SetNamedAt(namedAt);
  Record("version 2 is named");
  std::this_thread::sleep_until(namedAt + kFreezeAfter - kLastBeat);
  if (HasTrouble()) {
    still.Beat();
    still.EndBeats(); // the next one would come 1.2 s later
  }
  std::this_thread::sleep_until(namedAt + kFreezeAfter);
  if (HasTrouble()) {
    std::thread([&] { still.Stand(); }).detach();
  }
  std::this_thread::sleep_for(Millis(100));
  for (int i = 1; i <= kRequests; ++i) {
    std::thread([&, i] { Ask(site, i); }).detach();
    std::this_thread::sleep_for(Millis(20));
  }
  std::this_thread::sleep_until(namedAt + kLoadedAfter);
  still.Load();
  other.Load();
  std::this_thread::sleep_until(namedAt + kVersionWithin + Millis(3500));
  const std::string verdict = still.Verdict() + other.Verdict();
  if (!verdict.empty()) {
    End(1, "VERSION is broken: " + verdict);
  }
  End(0, "nothing began on older weights");
}

} // namespace box
