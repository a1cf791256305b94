// Randomised soak of the processes of deploy/: signals, restarts, rewritten
// settings, configurations, runners, weights and the store's absence come in
// series and overlap while callers send requests.
// SISKINDEAL_SOAK_SEEDS=FIRST-LAST plays other seeds than those of CI;
// SISKINDEAL_SOAK_GATEWAYS, _STAGERS and _SECONDS set the size, and
// SISKINDEAL_SOAK_BINARY the program.

#include "siskindeal/random.h"
#include "support/deployed_site.h"
#include "support/engine_site.h"
#include "support/gateway_fixture.h"
#include "support/soak_fleet.h"
#include "support/soak_settings.h"
#include "support/soak_traffic.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <map>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kGrace{ 3 };
constexpr seconds kRecoveryLimit{ 60 };
constexpr milliseconds kPoll{ 20 };
// Bounds of RULES.md, LOST.
constexpr milliseconds kLossSlack{ 200 };
constexpr seconds kLateStart{ 3 };
constexpr seconds kStopSlack{ 1 }; // after the grace period
constexpr milliseconds kMinIdleTimeout{ 2000 };
constexpr std::size_t kMinCallers = 24;
constexpr std::size_t kMaxCallers = 96;
constexpr std::uint64_t kMaxStepMs = 1200; // between disturbances of one VM
constexpr std::uint64_t kMaxStoreAwayMs = 2500;
constexpr std::uint64_t kMaxRunnerLeavingMs = 2000;
constexpr std::size_t kMaxExtraRunners = 4;
constexpr std::size_t kGatewaysPerRunner = 4;
const std::vector<std::string> kServices{ "get", "post", "feed", "tail" };

std::string
MsText(SteadyTime aFrom, SteadyTime aTo)
{
  return std::to_string(
           std::chrono::duration_cast<milliseconds>(aTo - aFrom).count()) +
         " ms";
}

class ProcessSoak : public testing::Test
{
protected:
  void Play(std::uint64_t aSeed)
  {
    m_random = std::make_unique<Random>(aSeed);
    ASSERT_NO_FATAL_FAILURE(Deploy(aSeed));
    AwaitServing("at the start");
    m_traffic->StartCallers(
      std::clamp(2 * m_gateways, kMinCallers, kMaxCallers),
      m_gateways,
      *m_random);
    const auto end = steady_clock::now() + m_duration;
    while (steady_clock::now() < end) {
      m_fleet->Disturb();
      DisturbPlatform();
      const std::size_t vms = m_gateways + m_stagers;
      m_fleet->RunFor(milliseconds(m_random->Below(kMaxStepMs / vms + 1)));
    }
    m_fleet->RestoreAll();
    AwaitServing("after the disturbances");
    AwaitWeights();
    m_traffic->StopCallers();
    m_fleet->StopAll();
    CheckRequests();
    Report(aSeed);
    TearDownSite();
  }

private:
  void Deploy(std::uint64_t aSeed)
  {
    m_gateways = FromEnvironment("SISKINDEAL_SOAK_GATEWAYS", 3);
    m_stagers = FromEnvironment("SISKINDEAL_SOAK_STAGERS", 2);
    m_duration = seconds(FromEnvironment("SISKINDEAL_SOAK_SECONDS", 12));
    m_directory =
      testing::TempDir() + "process-soak-" + std::to_string(aSeed) + "-XXXXXX";
    ASSERT_NE(mkdtemp(m_directory.data()), nullptr);
    m_site = std::make_unique<SiteStandIn>();
    m_engines = std::make_unique<EngineSite>(*m_site);
    DeployedSiteOptions options;
    options.m_directory = m_directory;
    options.m_store = m_site->Store();
    options.m_gateways = m_gateways;
    options.m_stagedService = "chat";
    options.m_grace = kGrace;
    for (std::size_t i = 0; i < m_stagers; ++i) {
      options.m_stagedRunners.push_back(m_engines->AddRunner(1));
    }
    m_deployed = std::make_unique<DeployedSite>(options);
    m_traffic = std::make_unique<SoakTraffic>(*m_site, *m_deployed);
    m_configVersion = m_weightsVersion = 1;
    m_site->Put("config", "main", Config());
    m_engines->PublishVersion(m_weightsVersion);
    for (const std::string& service : kServices) {
      for (std::size_t i = 0; i <= m_gateways / kGatewaysPerRunner; ++i) {
        m_traffic->AddRunner(service + "-" + std::to_string(i), service);
      }
    }
    m_fleet =
      std::make_unique<SoakFleet>(*m_deployed, kGrace, aSeed, *m_random);
  }

  void TearDownSite()
  {
    const bool isClean = m_fleet->Violations() == 0 && !HasFailure();
    m_fleet.reset();
    m_engines.reset();
    m_site.reset(); // its thread uses m_traffic
    m_traffic.reset();
    m_deployed.reset();
    m_extraRunners.clear();
    m_crashes.clear();
    if (isClean) {
      std::filesystem::remove_all(m_directory);
    }
  }

  json Config()
  {
    json config = m_engines->Config();
    config["version"] = m_configVersion;
    const bool hasExtra = m_random->Chance(0.5);
    const milliseconds timeout(4000 + m_random->Below(2000));
    for (const SoakKind& kind : SoakKinds()) {
      if (!kind.m_isSteady && !hasExtra) {
        continue;
      }
      json route = RouteJson(kind.m_route, kind.m_kind, kind.m_isResumable);
      route["timeout_ms"] = timeout.count();
      route["service"] = kind.m_isSteady ? kind.m_route : "get";
      config["routes"].push_back(route);
    }
    for (const std::string& service : kServices) {
      config["services"].push_back({ { "name", service } });
    }
    json keys = { "key-1" };
    if (m_random->Chance(0.5)) {
      keys.push_back("key-2");
    }
    config["tenants"] = { { { "name", "pro-shop" }, { "api_keys", keys } } };
    config["limits"] = { { "max_header_bytes", 2000 + m_random->Below(6000) },
                         { "max_body_bytes", 1000 + m_random->Below(10000) },
                         { "header_timeout_ms", 5000 },
                         { "idle_timeout_ms",
                           kMinIdleTimeout.count() + m_random->Below(8000) } };
    return config;
  }

  void DisturbPlatform()
  {
    const std::uint64_t what = m_random->Below(16);
    if (what < 3) {
      m_configVersion += 1 + m_random->Below(3);
      m_site->Put("config", "main", Config());
    } else if (what == 3) {
      AddRunner();
    } else if (what == 4) {
      RemoveRunner();
    } else if (what == 5 && m_random->Below(4) == 0) {
      m_engines->PublishVersion(++m_weightsVersion);
    } else if (what == 6 && m_random->Below(4) == 0) {
      TakeStoreAway();
    }
  }

  void TakeStoreAway()
  {
    if (m_storeIsAway) {
      return;
    }
    m_storeIsAway = true;
    const std::uint64_t how = m_random->Below(3);
    if (how == 0) {
      m_site->SetSilent(true);
    } else {
      m_site->GoAway();
    }
    m_fleet->After(milliseconds(m_random->Below(kMaxStoreAwayMs)),
                   [this, how] { BringStoreBack(how == 2); });
  }

  void BringStoreBack(bool aInNewEra)
  {
    m_storeIsAway = false;
    if (aInNewEra) {
      m_site->ComeBack(m_site->TakeCopy(), {});
    } else {
      m_site->SetSilent(false);
    }
  }

  void AddRunner()
  {
    if (m_extraRunners.size() < kMaxExtraRunners) {
      const std::string id = "x-" + std::to_string(++m_runnersAdded);
      const std::string& service = kServices[m_random->Below(kServices.size())];
      m_extraRunners.push_back(
        { id, service, m_traffic->AddRunner(id, service) });
    }
  }

  // It drains first, crashes, or just leaves the list, and serves on meanwhile.
  void RemoveRunner()
  {
    if (m_extraRunners.empty()) {
      return;
    }
    const ExtraRunner runner = m_extraRunners.back();
    m_extraRunners.pop_back();
    const std::uint64_t how = m_random->Below(3);
    if (how == 0) {
      m_site->Put("servers",
                  runner.m_id,
                  { { "service", runner.m_service },
                    { "address", runner.m_address.ToString() },
                    { "zone", "here" },
                    { "state", "draining" } });
    } else if (how == 1) {
      m_crashes[runner.m_id] = steady_clock::now();
      m_site->CrashRunner(runner.m_address);
    }
    m_fleet->After(milliseconds(m_random->Below(kMaxRunnerLeavingMs)),
                   [this, runner] { m_site->Remove("servers", runner.m_id); });
  }

  // Waits until each gateway is ready and serves a request.
  void AwaitServing(const std::string& aWhen)
  {
    const auto end = steady_clock::now() + kRecoveryLimit;
    for (std::size_t gateway = 0; gateway < m_gateways; ++gateway) {
      while (!IsReady(gateway) || !Serves(gateway)) {
        if (steady_clock::now() > end) {
          m_fleet->ReportViolation("isn't ready, or doesn't serve, " + aWhen,
                                   gateway,
                                   {},
                                   steady_clock::now());
          break;
        }
        m_fleet->RunFor(kPoll);
      }
    }
  }

  bool IsReady(std::size_t aGateway)
  {
    try {
      RawSocket socket(m_deployed->Vms()[aGateway].m_host,
                       DeployedSite::kReadyPort);
      socket.Send("GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
      return socket.ReadUntil("\r\n").find(" 200 ") != std::string::npos;
    } catch (const std::system_error&) {
      return false;
    }
  }

  bool Serves(std::size_t aGateway)
  {
    try {
      const SoakOutcome outcome = m_traffic->SendProbe(aGateway);
      return outcome.m_isWhole && outcome.m_status == 200;
    } catch (const std::system_error&) {
      return false;
    }
  }

  void AwaitWeights()
  {
    const auto end = steady_clock::now() + kRecoveryLimit;
    for (std::size_t runner = 0; runner < m_stagers; ++runner) {
      while (m_engines->ServedVersion(runner) != m_weightsVersion) {
        if (steady_clock::now() > end) {
          m_fleet->ReportViolation(
            "its runner serves version " +
              std::to_string(m_engines->ServedVersion(runner)) +
              " instead of " + std::to_string(m_weightsVersion),
            m_gateways + runner,
            {},
            steady_clock::now());
          break;
        }
        m_fleet->RunFor(kPoll);
      }
    }
    EXPECT_TRUE(m_engines->AllLoadsIntact()) << m_directory;
  }

  // Returns why a request may end without a complete answer or with a failure;
  // empty: it may not.
  std::string Excuse(const SoakOutcome& aOutcome,
                     const std::vector<SoakRun>& aRuns) const
  {
    const SoakFleet::Member& member = m_fleet->Members()[aOutcome.m_gateway];
    const auto isMeanwhile = [&](SteadyTime aAt) {
      return aAt >= aOutcome.m_from && aAt <= aOutcome.m_endedAt;
    };
    if (std::any_of(
          member.m_kills.begin(), member.m_kills.end(), isMeanwhile)) {
      return "gateway killed";
    }
    for (const SoakFleet::Pause& pause : member.m_pauses) {
      if (pause.m_from <= aOutcome.m_endedAt && pause.m_to >= aOutcome.m_from) {
        return "gateway paused";
      }
    }
    for (const SoakRun& run : aRuns) {
      const auto crash = m_crashes.find(run.m_runner);
      if (crash != m_crashes.end() && isMeanwhile(crash->second)) {
        return "the runner broke off";
      }
    }
    if (aOutcome.m_endedAt - aOutcome.m_from >= SoakTraffic::kDeadline) {
      return aOutcome.m_isWhole ? "deadline reached" : "";
    }
    // The runner was at work in the last sixth of the grace period, on a
    // request that was sent soon after the SIGTERM.
    for (const SteadyTime stop : member.m_stops) {
      for (const SoakRun& run : aRuns) {
        const auto late = stop + kGrace * 5 / 6;
        if (run.m_begunAt <= stop + kGrace &&
            run.m_endedAt.value_or(aOutcome.m_endedAt) >= late &&
            aOutcome.m_endedAt >= late &&
            aOutcome.m_from <= stop + kLateStart) {
          return "at work in the last sixth of the grace period";
        }
      }
    }
    if (aRuns.empty() && aOutcome.m_status == 0 && CrossedClose(aOutcome)) {
      return "crossed the close";
    }
    return {};
  }

  // Whether the gateway may have closed the connection of a request without an
  // answer before it had read the request.
  bool CrossedClose(const SoakOutcome& aOutcome) const
  {
    const bool isRecent = aOutcome.m_endedAt - aOutcome.m_sentAt <= kLossSlack;
    const bool mayBeUnaccepted = aOutcome.m_isFirst && aOutcome.m_wasReset;
    if (isRecent && aOutcome.m_from >= aOutcome.m_idleSince + kMinIdleTimeout) {
      return true; // the idle timeout may have passed
    }
    const SoakFleet::Member& member = m_fleet->Members()[aOutcome.m_gateway];
    const auto mayHaveClosed = [&](const SoakFleet::Exit& aExit) {
      const SteadyTime latest =
        aExit.m_isKill ? aExit.m_from + kLossSlack
                       : member.NoticedAt(aExit.m_from) + kGrace + kStopSlack;
      return aExit.m_from <= aOutcome.m_endedAt &&
             aOutcome.m_idleSince <= std::min(aExit.m_to, latest);
    };
    return (isRecent || mayBeUnaccepted) && std::any_of(member.m_exits.begin(),
                                                        member.m_exits.end(),
                                                        mayHaveClosed);
  }

  // Returns what is wrong with a request; empty: nothing.
  std::string Judge(const SoakOutcome& aOutcome,
                    const std::vector<SoakRun>& aRuns)
  {
    const int status = aOutcome.m_status;
    const bool isRefused = aOutcome.IsRefused();
    const bool mayBeForbidden =
      !aOutcome.m_hasSteadyKey || !aOutcome.m_kind->m_isSteady;
    const bool isForbidden = status == 401 || status == 404;
    if (aOutcome.m_kind->m_runsOnce && aRuns.size() > 1) {
      return "ran " + std::to_string(aRuns.size()) + " times";
    }
    if (isRefused && !aRuns.empty()) {
      return "refused and ran";
    }
    if (aOutcome.m_isWhole && status == 200 &&
        (aRuns.empty() || !SoakTraffic::IsOwnAnswer(aOutcome))) {
      return "the answer isn't its own: " + aOutcome.m_body;
    }
    if (!aOutcome.m_isSent && !aRuns.empty()) {
      return "ran before it was sent whole";
    }
    const bool isAnswered =
      aOutcome.m_isWhole &&
      (status == 200 || isRefused || (isForbidden && mayBeForbidden));
    if (isAnswered) {
      return {};
    }
    const std::string excuse = Excuse(aOutcome, aRuns);
    if (!excuse.empty()) {
      ++m_excuses[excuse];
      return {};
    }
    return aOutcome.m_isWhole ? "failed" : "no complete answer";
  }

  void CheckRequests()
  {
    for (const SoakOutcome& outcome : m_traffic->Outcomes()) {
      const auto runs = m_traffic->RunsOf(outcome.m_id);
      const std::string wrong = Judge(outcome, runs);
      if (wrong.empty()) {
        continue;
      }
      m_fleet->ReportViolation(
        wrong + (ProcessEndedUnasked(outcome) ? ", its process ended" : "") +
          ", status " + std::to_string(outcome.m_status) + ", runs " +
          std::to_string(runs.size()) + ", sent in " +
          MsText(outcome.m_from, outcome.m_sentAt) + ", ended after " +
          MsText(outcome.m_from, outcome.m_endedAt) +
          (outcome.m_wasReset ? " by a reset, " : ", ") +
          outcome.m_kind->m_route + ": " + outcome.m_body,
        outcome.m_gateway,
        outcome.m_id,
        outcome.m_from);
    }
  }

  bool ProcessEndedUnasked(const SoakOutcome& aOutcome) const
  {
    constexpr milliseconds kNoticedWithin{ 100 };
    const auto& ends = m_fleet->Members()[aOutcome.m_gateway].m_unaskedEnds;
    return std::any_of(ends.begin(), ends.end(), [&](SteadyTime aEnd) {
      return aEnd >= aOutcome.m_from &&
             aEnd <= aOutcome.m_endedAt + kNoticedWithin;
    });
  }

  void Report(std::uint64_t aSeed)
  {
    std::string text = m_traffic->StatusText();
    int starts = 0;
    for (const DeployedVm& vm : m_deployed->Vms()) {
      starts += vm.m_starts;
    }
    for (const auto& [excuse, count] : std::exchange(m_excuses, {})) {
      text += ", excused (" + excuse + "): " + std::to_string(count);
    }
    std::printf("seed %s: %d starts, requests by status%s, violations %zu\n",
                std::to_string(aSeed).c_str(),
                starts,
                text.c_str(),
                m_fleet->Violations());
    std::fflush(stdout);
    EXPECT_GT(m_traffic->Answered(), 0U);
  }

  struct ExtraRunner
  {
    std::string m_id;
    std::string m_service;
    Address m_address;
  };

  std::size_t m_gateways = 0;
  std::size_t m_stagers = 0;
  seconds m_duration{ 0 };
  std::string m_directory;
  std::unique_ptr<Random> m_random;
  std::unique_ptr<SiteStandIn> m_site;
  std::unique_ptr<EngineSite> m_engines;
  std::unique_ptr<DeployedSite> m_deployed;
  std::unique_ptr<SoakTraffic> m_traffic;
  std::unique_ptr<SoakFleet> m_fleet; // gateways first
  std::vector<ExtraRunner> m_extraRunners;
  std::map<std::string, SteadyTime> m_crashes; // of runners
  std::map<std::string, std::size_t> m_excuses;
  std::uint64_t m_configVersion = 1;
  std::uint64_t m_weightsVersion = 1;
  std::uint64_t m_runnersAdded = 0;
  bool m_storeIsAway = false;
};

TEST_F(ProcessSoak, NoProcessEndsUnaskedAndEachRequestIsAnswered)
{
  const SoakSeeds seeds = SeedsFromEnvironment({ 1, 3 });
  for (std::uint64_t seed = seeds.m_first; seed <= seeds.m_last; ++seed) {
    ASSERT_NO_FATAL_FAILURE(Play(seed));
  }
}

} // namespace

} // namespace siskindeal
