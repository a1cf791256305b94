// Randomised soak of deployed gateways before runners that fail requests after
// they have run them, reject them, and write responses more than once, beside
// signals and restarts. Judges how often and where each request ran.
// SISKINDEAL_SOAK_SEEDS=FIRST-LAST plays other seeds than those of CI;
// SISKINDEAL_SOAK_GATEWAYS, _RUNNERS, _CALLERS and _SECONDS set the size,
// _UNTIED the percentage of copies without the request's id, _CUT of those that
// break off, _COPY_ANSWERS=0 copies rejections only, and SISKINDEAL_SOAK_BINARY
// the program.

#include "siskindeal/random.h"
#include "support/deployed_site.h"
#include "support/gateway_fixture.h"
#include "support/soak_fleet.h"
#include "support/soak_settings.h"
#include "support/soak_traffic.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <map>
#include <set>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kGrace{ 3 };
constexpr std::size_t kMaxAttempts = 2;    // as RouteJson
constexpr std::size_t kSlots = 6;          // of a runner that sheds
constexpr std::uint64_t kMaxStepMs = 1500; // between two disturbances

// What one soak plays.
struct SoakPlan
{
  std::vector<std::string> m_services;
  std::size_t m_gateways = 3;
  std::size_t m_runners = 4; // of each service
  std::size_t m_callers = 32;
  FaultyRunnerOptions m_faults;
};

class FaultyRunnerSoak : public testing::Test
{
protected:
  void PlaySeeds(const SoakPlan& aPlan)
  {
    m_plan = aPlan;
    m_plan.m_gateways =
      FromEnvironment("SISKINDEAL_SOAK_GATEWAYS", aPlan.m_gateways);
    m_plan.m_runners =
      FromEnvironment("SISKINDEAL_SOAK_RUNNERS", aPlan.m_runners);
    m_plan.m_callers =
      FromEnvironment("SISKINDEAL_SOAK_CALLERS", aPlan.m_callers);
    FaultyRunnerOptions& faults = m_plan.m_faults;
    faults.m_untied = ShareFromEnvironment("SISKINDEAL_SOAK_UNTIED", 0.5);
    faults.m_cut = ShareFromEnvironment("SISKINDEAL_SOAK_CUT", faults.m_cut);
    faults.m_copiesAnswers =
      FromEnvironment("SISKINDEAL_SOAK_COPY_ANSWERS", 1) != 0;
    const SoakSeeds seeds = SeedsFromEnvironment({ 1, 2 });
    for (std::uint64_t seed = seeds.m_first; seed <= seeds.m_last; ++seed) {
      ASSERT_NO_FATAL_FAILURE(Play(seed));
    }
  }

private:
  static double ShareFromEnvironment(const char* aName, double aDefault)
  {
    constexpr double kPercent = 100;
    const auto percent =
      static_cast<std::uint64_t>(std::lround(aDefault * kPercent));
    return static_cast<double>(FromEnvironment(aName, percent)) / kPercent;
  }

  void Play(std::uint64_t aSeed)
  {
    m_random = std::make_unique<Random>(aSeed);
    ASSERT_NO_FATAL_FAILURE(Deploy(aSeed));
    AwaitServing();
    m_traffic->m_routes = m_plan.m_services;
    m_traffic->StartCallers(m_plan.m_callers, m_plan.m_gateways, *m_random);
    const auto end = steady_clock::now() + m_duration;
    while (steady_clock::now() < end) {
      m_fleet->Disturb();
      m_fleet->RunFor(milliseconds(m_random->Below(kMaxStepMs)));
    }
    m_fleet->RestoreAll();
    m_traffic->StopCallers();
    m_fleet->StopAll();
    Judge(aSeed);
    TearDownSite();
  }

  void Deploy(std::uint64_t aSeed)
  {
    m_duration = seconds(FromEnvironment("SISKINDEAL_SOAK_SECONDS", 8));
    m_directory =
      testing::TempDir() + "faulty-soak-" + std::to_string(aSeed) + "-XXXXXX";
    ASSERT_NE(mkdtemp(m_directory.data()), nullptr);
    m_site = std::make_unique<SiteStandIn>();
    m_site->Put("config", "main", Config());
    DeployedSiteOptions options;
    options.m_directory = m_directory;
    options.m_store = m_site->Store();
    options.m_gateways = m_plan.m_gateways;
    options.m_grace = kGrace;
    m_deployed = std::make_unique<DeployedSite>(options);
    m_traffic = std::make_unique<SoakTraffic>(*m_site, *m_deployed);
    FaultyRunnerOptions faults = m_plan.m_faults;
    for (const std::string& service : m_plan.m_services) {
      for (std::size_t i = 0; i < m_plan.m_runners; ++i) {
        faults.m_seed = m_random->Below(1U << 30);
        m_traffic->AddFaultyRunner(
          service + "-" + std::to_string(i), service, faults);
      }
    }
    m_fleet =
      std::make_unique<SoakFleet>(*m_deployed, kGrace, aSeed, *m_random);
  }

  static json Config()
  {
    json config = ConfigJson(1);
    config["routes"] = json::array();
    config["services"] = json::array();
    for (const SoakKind& kind : SoakKinds()) {
      if (kind.m_isSteady) {
        config["routes"].push_back(
          RouteJson(kind.m_route, kind.m_kind, kind.m_isResumable));
        config["services"].push_back({ { "name", kind.m_route } });
      }
    }
    return config;
  }

  void AwaitServing()
  {
    for (std::size_t gateway = 0; gateway < m_plan.m_gateways; ++gateway) {
      EXPECT_TRUE(Eventually([&] {
        try {
          return m_traffic->SendProbe(gateway).m_status == 200;
        } catch (const std::system_error&) {
          return false; // it doesn't listen yet
        }
      }));
    }
  }

  void Judge(std::uint64_t aSeed)
  {
    std::map<std::string, std::size_t> broken;
    for (const SoakOutcome& outcome : m_traffic->Outcomes()) {
      const auto runs = m_traffic->RunsOf(outcome.m_id);
      const std::string rule = BrokenRule(outcome, runs);
      if (rule.empty()) {
        continue;
      }
      ++broken[rule];
      std::string runners;
      for (const SoakRun& run : runs) {
        runners += " " + run.m_runner;
      }
      ADD_FAILURE() << "seed " << aSeed << ", " << rule << ": request "
                    << outcome.m_id << " at "
                    << m_deployed->Vms()[outcome.m_gateway].m_name
                    << ", status " << outcome.m_status << ", runs" << runners
                    << ", logs in " << m_directory;
    }
    std::string text = m_traffic->StatusText();
    for (const auto& [rule, count] : broken) {
      text += ", " + rule + ": " + std::to_string(count);
    }
    std::printf("seed %s: requests by status%s\n",
                std::to_string(aSeed).c_str(),
                text.c_str());
    std::fflush(stdout);
    EXPECT_GT(m_traffic->Answered(), 0U);
  }

  static std::string BrokenRule(const SoakOutcome& aOutcome,
                                const std::vector<SoakRun>& aRuns)
  {
    std::set<std::string> runners;
    for (const SoakRun& run : aRuns) {
      runners.insert(run.m_runner);
    }
    if (aOutcome.m_kind->m_runsOnce && aRuns.size() > 1) {
      return "ran twice";
    }
    if (aOutcome.IsRefused() && !aRuns.empty()) {
      return "refused and ran";
    }
    if (runners.size() > kMaxAttempts) {
      return "ran on more runners than max_attempts";
    }
    if (aOutcome.m_status == 200 && aOutcome.m_isWhole &&
        !SoakTraffic::IsOwnAnswer(aOutcome)) {
      return "answer isn't its own";
    }
    return {};
  }

  void TearDownSite()
  {
    const bool isClean = m_fleet->Violations() == 0 && !HasFailure();
    m_fleet.reset();
    m_site.reset(); // its thread uses m_traffic
    m_traffic.reset();
    m_deployed.reset();
    if (isClean) {
      std::filesystem::remove_all(m_directory);
    }
  }

  SoakPlan m_plan;
  seconds m_duration{ 0 };
  std::string m_directory;
  std::unique_ptr<Random> m_random;
  std::unique_ptr<SiteStandIn> m_site;
  std::unique_ptr<DeployedSite> m_deployed;
  std::unique_ptr<SoakTraffic> m_traffic;
  std::unique_ptr<SoakFleet> m_fleet;
};

TEST_F(FaultyRunnerSoak, NoRequestRunsTwiceOrAfterARefusalOrAtTooManyRunners)
{
  PlaySeeds({ { "get", "post", "feed", "tail" }, 3, 4, 32, {} });
}

TEST_F(FaultyRunnerSoak, PartOfARejectionMakesNoRequestRunTwiceOrAfterARefusal)
{
  FaultyRunnerOptions faults;
  faults.m_faulty = 0.2;
  faults.m_cut = 0.8;
  faults.m_held = 0.5;
  faults.m_slots = kSlots;
  PlaySeeds({ { "get", "post" }, 8, 3, 40, faults });
}

} // namespace

} // namespace siskindeal
