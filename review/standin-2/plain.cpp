#include "plain.h"

#include <algorithm>
#include <thread>

namespace box {

namespace {

constexpr int kFirstRunnerVm = 21;
constexpr Millis kStartTimeout{ 20000 };

std::int64_t
ColdMillis(const RunnerTraits& aTraits)
{
  const auto left =
    std::chrono::duration_cast<Millis>(aTraits.m_coldUntil - Now());
  return std::max<std::int64_t>(0, left.count());
}

} // namespace

PlainRunner::PlainRunner(const std::string& aHost,
                         std::string aId,
                         RunnerTraits aTraits)
  : m_id(std::move(aId))
  , m_traits(std::move(aTraits))
  , m_server(aHost, Site::kRunnerPort, [this](const Message& aRequest) {
    return Answer(aRequest);
  })
{
}

void
PlainRunner::Change(const RunnerTraits& aTraits)
{
  const std::lock_guard lock(m_mutex);
  m_traits = aTraits;
}

RunnerTraits
PlainRunner::Traits()
{
  const std::lock_guard lock(m_mutex);
  return m_traits;
}

json
PlainRunner::Entry(const std::string& aHost, std::uint64_t aBeat)
{
  const RunnerTraits traits = Traits();
  return { { "service", kPlainService },
           { "address", aHost + ":" + std::to_string(Site::kRunnerPort) },
           { "zone", traits.m_place },
           { "version", "v1" },
           { "slots", kSlots },
           { "state", "ready" },
           { "cold_remaining_ms", ColdMillis(traits) },
           { "born", m_born },
           { "sequence", aBeat } };
}

std::size_t
PlainRunner::MostWithin(Millis aSpan, Time aFrom)
{
  const std::lock_guard lock(m_mutex);
  std::size_t most = 0;
  auto first = m_arrivals.begin();
  for (auto last = first; last != m_arrivals.end(); ++last) {
    while (*first < aFrom || *last - *first >= aSpan) {
      if (first == last) {
        break;
      }
      ++first;
    }
    if (*first >= aFrom) {
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
  }
  return most;
}

std::size_t
PlainRunner::Arrivals()
{
  const std::lock_guard lock(m_mutex);
  return m_arrivals.size();
}

Reply
PlainRunner::Answer(const Message& aRequest)
{
  if (aRequest.Path() == "/healthz") {
    return { 200,
             "ok",
             { { "X-Siskindeal-Runner-Id", m_id },
               { "X-Siskindeal-Cold-Ms",
                 std::to_string(ColdMillis(Traits())) } } };
  }
  const std::string expected = aRequest.Field("x-siskindeal-expect-instance");
  if (!expected.empty() && expected != m_id) {
    return { 421, "" };
  }
  std::unique_lock lock(m_mutex);
  m_arrivals.push_back(Now());
  Reply reply{ 200, "record of the lift", RunFields(aRequest) };
  if (!m_traits.m_limit.empty()) {
    reply.m_fields.emplace_back("Server-Limit", m_traits.m_limit);
  }
  if (m_running >= kSlots && m_waiting >= kQueue) {
    reply.m_status = 503;
    reply.m_body = "full";
    reply.m_fields.emplace_back("X-Siskindeal-Not-Executed", "1");
    return reply;
  }
  ++m_waiting;
  m_freed.wait(lock, [this] { return m_running < kSlots; });
  --m_waiting;
  ++m_running;
  reply.m_fields.emplace_back("X-Siskindeal-Runner-Load",
                              std::to_string(m_running) + "," +
                                std::to_string(m_waiting) + "," +
                                std::to_string(kSlots));
  const Millis work = m_traits.m_work;
  lock.unlock();
  std::this_thread::sleep_for(work);
  lock.lock();
  --m_running;
  m_freed.notify_one();
  return reply;
}

Callers::Callers(const Site& aSite, int aGateways, int aPerSecond)
  : m_site(aSite)
  , m_gateways(aGateways)
  , m_perSecond(aPerSecond)
{
  constexpr int kThreads = 80;
  for (int i = 0; i < kThreads; ++i) {
    std::thread([this] { Run(); }).detach();
  }
}

void
Callers::Run()
{
  while (true) {
    const int number = m_sent++;
    std::this_thread::sleep_until(
      m_start + std::chrono::microseconds(1000000 / m_perSecond) * number);
    const Message answer =
      Call(m_site.Host(1 + number % m_gateways),
           Site::kFrontPort,
           "GET",
           "/filo73/lift/" + std::to_string(number),
           { { "Host", "jepu9.example" },
             { "X-Siskindeal-Attempt-Id", "id-" + std::to_string(number) },
             { "X-Siskindeal-Deadline-Ms", "3000" },
             { "Connection", "close" } },
           {},
           Millis(3000));
    ++(answer.m_status == 200 ? m_served : m_others);
  }
}

PlainSite::PlainSite(const json& aService, int aLocal)
  : m_store(m_site.Host(100), Site::kStorePort)
  , m_beats(kRunners, true)
{
  json service = { { "name", kPlainService },
                   { "health_path", "/healthz" },
                   { "max_conns", 470 } };
  service.update(aService);
  m_store.Put("config",
              "main",
              { { "version", 3 },
                { "routes",
                  { { { "name", "r-1" },
                      { "host", "jepu9.example" },
                      { "path_prefix", "/filo73/" },
                      { "kind", "idempotent" },
                      { "timeout_ms", 3000 },
                      { "target_latency_ms", 300 },
                      { "priority", 2 },
                      { "service", kPlainService },
                      { "max_attempts", 2 } } } },
                { "services", json::array({ service }) } });
  for (int i = 0; i < kRunners; ++i) {
    RunnerTraits traits;
    traits.m_place = i < aLocal ? "mvd-centro" : "paysandu";
    m_runners.push_back(std::make_unique<PlainRunner>(
      HostOf(i), "i-" + std::to_string(i) + "a", traits));
    Beat(i);
  }
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      const std::lock_guard lock(m_mutex);
      for (int i = 0; i < kRunners; ++i) {
        if (m_beats[i]) {
          Beat(i);
        }
      }
    }
  }).detach();
  for (int i = 1; i <= kGateways; ++i) {
    m_site.StartGateway(i);
  }
  for (int i = 1; i <= kGateways; ++i) {
    if (!m_site.AwaitReady(i, kStartTimeout)) {
      End(2, "a gateway doesn't become ready");
    }
  }
}

std::string
PlainSite::HostOf(int aIndex) const
{
  return m_site.Host(kFirstRunnerVm + aIndex);
}

void
PlainSite::Beat(int aIndex)
{
  PlainRunner& runner = *m_runners[aIndex];
  m_store.Put("servers", runner.Id(), runner.Entry(HostOf(aIndex), ++m_beat));
}

void
PlainSite::StopHeartbeats(int aIndex)
{
  const std::lock_guard lock(m_mutex);
  m_beats[aIndex] = false;
}

void
PlainSite::RemoveEntry(int aIndex)
{
  const std::lock_guard lock(m_mutex);
  m_store.Remove("servers", m_runners[aIndex]->Id());
}

void
PlainSite::StartHeartbeats(int aIndex)
{
  const std::lock_guard lock(m_mutex);
  m_beats[aIndex] = true;
  Beat(aIndex);
}

void
PlainSite::Evacuate(const std::string& aPlace)
{
  m_store.Put("evacuations", aPlace, json::object());
}

void
PlainSite::TakeBack(const std::string& aPlace)
{
  m_store.Remove("evacuations", aPlace);
}

} // namespace box
