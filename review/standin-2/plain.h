#pragma once
// A plain service with several runners, its gateways and its callers.

#include "box.h"

#include <deque>

namespace box {

inline const std::string kPlainService = "servicio-cuadrillas";

struct RunnerTraits
{
  Millis m_work{ 60 };
  Time m_coldUntil{};
  std::string m_limit{}; // Server-Limit; empty: none
  std::string m_place = "mvd-centro";
};

// One start of a runner.
class PlainRunner
{
public:
  static constexpr int kSlots = 6;
  static constexpr int kQueue = 24;

  PlainRunner(const std::string& aHost, std::string aId, RunnerTraits aTraits);

  void Crash() { m_server.Crash(); }
  const std::string& Id() const { return m_id; }
  // From now on it works and answers otherwise.
  void Change(const RunnerTraits& aTraits);
  RunnerTraits Traits();
  json Entry(const std::string& aHost, std::uint64_t aBeat);
  // The most requests that arrived within aSpan, since aFrom.
  std::size_t MostWithin(Millis aSpan, Time aFrom);
  std::size_t Arrivals();

private:
  Reply Answer(const Message& aRequest);

  std::string m_id;
  std::uint64_t m_born = UnixMillis();
  std::mutex m_mutex;
  std::condition_variable m_freed;
  RunnerTraits m_traits;
  std::deque<Time> m_arrivals;
  int m_running = 0;
  int m_waiting = 0;
  Server m_server;
};

// Callers that send a number of requests a second until the process ends.
class Callers
{
public:
  Callers(const Site& aSite, int aGateways, int aPerSecond);

  std::size_t Served() const { return m_served; }
  std::size_t Others() const { return m_others; }

private:
  void Run();

  const Site& m_site;
  int m_gateways;
  int m_perSecond;
  Time m_start = Now();
  std::atomic<int> m_sent = 0;
  std::atomic<std::size_t> m_served = 0;
  std::atomic<std::size_t> m_others = 0;
};

// The site: its store, its runners, whose heartbeats it writes, and gateways.
class PlainSite
{
public:
  static constexpr int kGateways = 2;
  static constexpr int kRunners = 6;
  static constexpr Millis kHeartbeat{ 1200 };

  // aService: further fields of the service in the configuration. aLocal: the
  // runners in the gateways' place; the others are in another one.
  explicit PlainSite(const json& aService, int aLocal = kRunners);

  const Site& Hosts() const { return m_site; }
  PlainRunner& Runner(int aIndex) { return *m_runners.at(aIndex); }
  // Ends a runner's heartbeats; its entry stays.
  void StopHeartbeats(int aIndex);
  void RemoveEntry(int aIndex);
  // Begins with one heartbeat at once.
  void StartHeartbeats(int aIndex);
  void Evacuate(const std::string& aPlace);
  void TakeBack(const std::string& aPlace);

private:
  std::string HostOf(int aIndex) const;
  void Beat(int aIndex);

  Site m_site{ Cuaem() };
  Store m_store;
  std::mutex m_mutex; // of what follows
  std::vector<std::unique_ptr<PlainRunner>> m_runners;
  std::vector<bool> m_beats;
  std::uint64_t m_beat = 0;
};

} // namespace box
