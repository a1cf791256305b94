#pragma once
// Callers on kept connections, and runners that record what they ran, for soaks
// of deployed gateways.

#include "support/deployed_site.h"
#include "support/faulty_runner.h"
#include "support/site.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal {

class RawSocket;
class Random;

// A request's run by a runner.
struct SoakRun
{
  std::string m_runner;
  SteadyTime m_begunAt;
  std::optional<SteadyTime> m_endedAt; // unset: broken off
};

// A kind of request. Routes are named as their services, but for the last.
struct SoakKind
{
  const char* m_route;
  const char* m_kind;
  bool m_isResumable;
  bool m_runsOnce;
  bool m_isStream;
  bool m_isSteady; // every configuration has its route
};

// The routes of a soak.
const std::vector<SoakKind>&
SoakKinds();

// What a caller saw of one request.
struct SoakOutcome
{
  std::string m_id;
  const SoakKind* m_kind = nullptr;
  std::size_t m_gateway = 0;
  bool m_hasSteadyKey = true; // every configuration has its key
  bool m_isFirst = false;     // on its connection
  SteadyTime m_idleSince;     // its connection was in use until then
  SteadyTime m_from;          // before its first byte
  SteadyTime m_sentAt;        // after its last byte
  SteadyTime m_endedAt;
  bool m_isSent = false;   // whole
  bool m_isWhole = false;  // its answer
  bool m_wasReset = false; // its connection
  bool m_keepsOpen = false;
  std::uint64_t m_events = 0; // of its stream
  int m_status = 0;           // 0: no head of an answer
  std::string m_head;
  std::string m_body;

  // Whether its status promises that the request has not run.
  bool IsRefused() const
  {
    return m_status == 503 || m_status == 429 || m_status == 408 ||
           m_status == 421;
  }
};

class SoakTraffic
{
public:
  static constexpr std::chrono::milliseconds kDeadline{ 4000 };

  SoakTraffic(SiteStandIn& aSite, const DeployedSite& aDeployed);
  ~SoakTraffic();
  SoakTraffic(const SoakTraffic&) = delete;
  SoakTraffic& operator=(const SoakTraffic&) = delete;

  Address AddRunner(const std::string& aId, const std::string& aService);
  // Adds one that fails requests after it has run them.
  void AddFaultyRunner(const std::string& aId,
                       const std::string& aService,
                       const FaultyRunnerOptions& aOptions);
  void StartCallers(std::size_t aCount, std::size_t aGateways, Random& aRandom);
  // Waits for the requests in flight.
  void StopCallers();
  // Sends one request to a gateway. Throws std::system_error if it doesn't
  // accept a connection.
  SoakOutcome SendProbe(std::size_t aGateway);

  // The kinds of requests that callers send, by route; empty: all. To be set
  // before StartCallers.
  std::vector<std::string> m_routes;

  // For use after StopCallers.
  const std::vector<SoakOutcome>& Outcomes() const { return m_outcomes; }
  std::vector<SoakRun> RunsOf(const std::string& aId);
  std::size_t Answered() const { return m_answered; }
  // How many requests got each status, as text.
  std::string StatusText() const;
  // Whether an answer is the runner's answer to that request, whole.
  static bool IsOwnAnswer(const SoakOutcome& aOutcome);

private:
  struct Work;

  void Run(const std::string& aRunner,
           const std::shared_ptr<ServerConnection>& aConnection);
  // Records the begin of a run and returns its number among the request's runs.
  std::size_t RecordRun(const std::string& aId, const std::string& aRunner);
  // Draws the kind of a request.
  const SoakKind& DrawKind(Random& aRandom) const;
  void Finish(const Work& aWork);
  void Step(const std::shared_ptr<Work>& aWork);
  void Call(std::size_t aCaller, std::size_t aGateways, std::uint64_t aSeed);
  SoakOutcome Send(RawSocket& aSocket,
                   Random& aRandom,
                   std::size_t aGateway,
                   std::string aId);

  SiteStandIn& m_site;
  const DeployedSite& m_deployed;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::size_t> m_answered = 0;
  std::atomic<std::size_t> m_probes = 0;
  std::vector<std::thread> m_callers;
  std::vector<std::unique_ptr<FaultyRunner>> m_faultyRunners;
  std::mutex m_mutex;
  std::map<std::string, std::vector<SoakRun>> m_runs; // by request
  std::vector<SoakOutcome> m_outcomes;
};

} // namespace siskindeal
