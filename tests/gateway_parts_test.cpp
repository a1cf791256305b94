// Tests parts of a gateway that need no network: lookup of routes and keys,
// splitting of event streams, peer gateways and decoding of the platform's
// messages.

#include "gateway/event_splitter_p.h"
#include "gateway/peers_p.h"
#include "gateway/route_index_p.h"
#include "platform/dialect.h"
#include "site/site_objects_p.h"

#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

SiteObject
Object(const std::string& aSpec)
{
  SiteObject object;
  object.m_name = "main";
  object.m_spec = aSpec;
  return object;
}

const std::string kConfig = R"({"version":7,"routes":[
  {"name":"a","host":"x.example","path_prefix":"/one/","kind":"streaming",
   "timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"s",
   "max_attempts":2,"anonymous":false,"resumable":true,"target_gap_ms":300},
  {"name":"b","host":"x.example","path_prefix":"/one/two/","kind":"idempotent",
   "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
  {"name":"c","host":"y.example","path_prefix":"/","kind":"new kind",
   "service":"t"}],
  "services":[{"name":"s","max_conns":434,"engine":{"slots":16,"step_ms":6.73,
   "read_per_s":30600.0,"stride":6,"usual":{"prompt":964,"answer":119},
   "models":[{"name":"m","warm_s":0.3}]}},
   {"name":"t"},{"name":"o","origin":"172.20.0.3:8006","zone":"kin-a"}],
  "limits":{"max_header_bytes":1000},
  "tenants":[{"name":"team","api_keys":["k1","k2"],"priority":2}]})";

TEST(Dialect, DecodesConfiguration)
{
  const SiteConfig config = dialect::DecodeConfig(Object(kConfig));
  EXPECT_EQ(config.m_version, 7U);
  ASSERT_EQ(config.m_routes.size(), 3U);
  EXPECT_TRUE(config.m_routes[0].IsRetryable());
  EXPECT_EQ(config.m_routes[1].m_shares.size(), 2U);
  // Routes of an unknown kind are never retried.
  EXPECT_FALSE(config.m_routes[2].IsRetryable());
  EXPECT_EQ(config.m_services.at("s").m_engine->m_promptTokensPerMs, 30.6);
  EXPECT_EQ(config.m_services.at("o").m_origin->ToString(), "172.20.0.3:8006");
  EXPECT_EQ(config.m_limits.m_headerBytes, 1000U);
  EXPECT_EQ(config.m_teams.front().m_priority, 2);
}

TEST(Dialect, RejectsMalformedInput)
{
  const char* const bodies[] = {
    "",
    "[]",
    "{",
    R"({"version":"x"})",
    R"({"version":1,"routes":[{}]})",
    R"({"version":1,"routes":[],"services":[{"name":"o","origin":"nowhere"}]})"
  };
  for (const char* body : bodies) {
    SCOPED_TRACE(body);
    EXPECT_THROW(dialect::DecodeConfig(Object(body)), std::invalid_argument);
    EXPECT_THROW(dialect::DecodeRunner(Object(body)), std::invalid_argument);
    EXPECT_THROW(dialect::DecodeList(body), std::invalid_argument);
    EXPECT_THROW(dialect::DecodeWatch(body), std::invalid_argument);
    EXPECT_THROW(dialect::DecodePieceList(body), std::invalid_argument);
  }
}

TEST(Dialect, RejectsInvalidRunners)
{
  const char* const runners[] = {
    R"({"service":"s","address":"no address","state":"ready"})",
    R"({"service":"s","address":"10.0.0.1:80","state":"unheard of"})",
    R"({"address":"10.0.0.1:80","state":"ready"})",
    R"({"service":7,"address":"10.0.0.1:80","state":"ready"})"
  };
  for (const char* runner : runners) {
    SCOPED_TRACE(runner);
    EXPECT_THROW(dialect::DecodeRunner(Object(runner)), std::invalid_argument);
  }
}

// Other processes may write to the list: invalid entries must not hide valid
// runners.
TEST(RunnerList, IgnoresInvalidEntries)
{
  const std::string sound =
    R"({"service":"s","address":"10.0.0.1:80","state":"ready"})";
  std::vector<SiteObject> objects;
  for (const std::string& spec :
       { std::string("{}"), sound, std::string("7"), sound }) {
    objects.push_back(Object(spec));
    objects.back().m_name = "i-" + std::to_string(objects.size());
  }
  const auto runners = ReadRunners(objects);
  ASSERT_EQ(runners.size(), 2U);
  EXPECT_EQ(runners[0].m_id, "i-2");
  EXPECT_EQ(runners[1].m_id, "i-4");
}

TEST(Dialect, RejectsMalformedHeaders)
{
  EXPECT_EQ(dialect::DecodeLoad("3,1,16")->m_waiting, 1U);
  EXPECT_EQ(dialect::DecodeTokens("1460,80")->m_prompt, 1460U);
  EXPECT_EQ(dialect::DecodeLimit("1.8"), 1.8);
  EXPECT_EQ(dialect::DecodeLimit("-2"), -2);
  for (const char* text : { "", "two", "1.8.2", "1,8" }) {
    EXPECT_FALSE(dialect::DecodeLimit(text)) << text;
  }
  EXPECT_EQ(dialect::DecodePromptParts("5c1e07a2:800, 91bd3f06:410,e4:1"),
            (std::vector<std::string>{ "5c1e07a2", "91bd3f06", "e4" }));
  EXPECT_EQ(dialect::DecodePromptParts("a:1"), std::vector<std::string>{ "a" });
  for (const char* text : { "", ",", "a:1,", ":5,b:1", "a:1,,b:2" }) {
    EXPECT_FALSE(dialect::DecodePromptParts(text)) << text;
  }
  // A load may have a fourth number, the pace.
  for (const char* text : { "1,2,3,4,5", "1,2,3,x", "1,2,3," }) {
    EXPECT_FALSE(dialect::DecodeLoad(text)) << text;
  }
  EXPECT_FALSE(dialect::DecodeTokens("1,2,3,4"));
  for (const char* text : { "", "1", "a,b", "1,2,3,4,5", "-1,2", "1,,2" }) {
    SCOPED_TRACE(text);
    EXPECT_FALSE(dialect::DecodeLoad(text));
    EXPECT_FALSE(dialect::DecodeTokens(text));
  }
}

struct RouteCase
{
  const char* m_host;
  const char* m_target;
  const char* m_route; // empty: none
};

TEST(RouteIndex, LongestPrefixMatches)
{
  const RouteIndex index(dialect::DecodeConfig(Object(kConfig)));
  const RouteCase cases[] = {
    { "x.example", "/one/a", "a" },
    { "x.example", "/one/two/b", "b" },
    { "x.example", "/one/twoo", "a" },
    { "x.example", "/one", "" },
    { "x.example", "/", "" },
    { "X.Example:80", "/one/", "a" },
    { "y.example", "/any/thing", "c" },
    { "z.example", "/one/", "" },
    { "x.example", "/q?p=/one/two/", "" },
    { "x.example", "", "" },
  };
  for (const RouteCase& route : cases) {
    SCOPED_TRACE(std::string(route.m_host) + " " + route.m_target);
    const Route* found = index.Find(route.m_host, route.m_target);
    EXPECT_EQ(found == nullptr ? "" : found->m_name, route.m_route);
  }
  EXPECT_EQ(index.TeamOf("k2")->m_name, "team");
  EXPECT_EQ(index.TeamOf("k3"), nullptr);
}

TEST(EventSplitter, EmitsCompleteEventsForAnyChunking)
{
  const std::string stream = "id: 4\ndata: a\n\nx: 1\nid:5\ndata: b\n\n"
                             "data: none\r\n\r\nid: 6\ndata: half";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      for (StreamEvent& event : splitter.Feed(stream.substr(at, step))) {
        events.push_back(std::move(event));
      }
    }
    ASSERT_EQ(events.size(), 3U) << step;
    EXPECT_EQ(events[0].m_id, 4U);
    EXPECT_EQ(events[1].m_id, 5U);
    EXPECT_FALSE(events[2].m_id);
    EXPECT_EQ(splitter.PendingBytes(), std::string("id: 6\ndata: half").size());
  }
}

TEST(EventSplitter, CommentsInARowAreOneEvent)
{
  EventSplitter splitter;
  const auto events = splitter.Feed(":\n\n: a\n\nid: 1\n\n:\n\n:\r\n\r\n");
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[0].m_bytes, ":\n\n: a\n\n");
  EXPECT_FALSE(events[0].m_hasFields);
  EXPECT_EQ(events[1].m_id, 1U);
  EXPECT_EQ(events[2].m_bytes, ":\n\n:\r\n\r\n");
}

// Position after the first of both kinds of ends; npos if there is none.
std::size_t
FirstEnd(const std::string& aStream)
{
  const auto lf = aStream.find("\n\n");
  const auto crlf = aStream.find("\r\n\r\n");
  if (lf == std::string::npos && crlf == std::string::npos) {
    return std::string::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 4;
}

TEST(EventSplitter, EndsEventsAtTheFirstEmptyLineOfRandomStreams)
{
  const std::string alphabet = "\r\n\n\r\nd:";
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    std::string stream;
    for (std::size_t left = random.Below(60); left > 0; --left) {
      stream += alphabet[random.Below(alphabet.size())];
    }
    EventSplitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < stream.size();) {
      const std::size_t step = 1 + random.Below(8);
      for (const StreamEvent& event : splitter.Feed(stream.substr(at, step))) {
        passed += event.m_bytes;
      }
      at += step;
    }
    std::string expected = stream;
    std::size_t ends = 0;
    for (auto end = FirstEnd(expected); end != std::string::npos;
         end = FirstEnd(expected)) {
      expected.erase(0, end);
      ends += end;
    }
    ASSERT_EQ(passed, stream.substr(0, ends)) << "seed " << seed;
    ASSERT_EQ(splitter.PendingBytes(), expected.size()) << "seed " << seed;
  }
}

v1::GatewayBeacon
Beacon(const std::string& aVm, std::uint64_t aIncarnation, bool aServing)
{
  v1::GatewayBeacon beacon;
  beacon.set_vm(aVm);
  beacon.set_incarnation(aIncarnation);
  beacon.set_callers("10.0.0.2:80");
  beacon.set_serving(aServing);
  beacon.set_region("kingston");
  auto& load = *beacon.add_loads();
  load.set_runner("r");
  load.set_requests(3);
  load.set_prompt_tokens(100);
  return beacon;
}

TEST(GatewayPeers, AdvertisesOnlyLiveServingGateways)
{
  const Address from{ "10.0.0.2", 7700 };
  GatewayPeers peers("me", "kingston");
  peers.Register("a", from, "kingston");
  EXPECT_TRUE(peers.ServingAddresses(kStart).empty())
    << "registered, no beacon";
  EXPECT_TRUE(peers.OnBeacon(Beacon("a", 5, true), from, kStart));
  EXPECT_EQ(peers.ServingAddresses(kStart).size(), 1U);
  EXPECT_EQ(peers.Loads(kStart).at({ "r" }).m_requests, 3U);
  EXPECT_TRUE(peers.ServingAddresses(kStart + milliseconds(600)).empty())
    << "timed out";
  EXPECT_TRUE(peers.Loads(kStart + milliseconds(600)).empty());
  EXPECT_TRUE(peers.OnBeacon(Beacon("a", 5, false), from, kStart));
  EXPECT_TRUE(peers.ServingAddresses(kStart).empty()) << "draining";
  EXPECT_TRUE(peers.OnBeacon(Beacon("a", 6, true), from, kStart));
  EXPECT_FALSE(peers.OnBeacon(Beacon("a", 5, false), from, kStart))
    << "delayed";
  EXPECT_EQ(peers.ServingAddresses(kStart).size(), 1U);
  EXPECT_FALSE(peers.OnBeacon(Beacon("me", 9, true), from, kStart)) << "own";
  // An address known only from a hint doesn't count as a gateway.
  peers.AddHint(from);
  peers.AddHint({ "10.0.0.3", 7700 });
  EXPECT_EQ(peers.Count(), 2U);
  EXPECT_EQ(peers.RegionPeers().size(), 2U);
}

// A gateway that restarts after its clock was set back has a lower incarnation.
TEST(GatewayPeers, LowerIncarnationIsAcceptedAfterTimeout)
{
  const Address from{ "10.0.0.2", 7700 };
  GatewayPeers peers("me", "kingston");
  EXPECT_TRUE(peers.OnBeacon(Beacon("a", 9, true), from, kStart));
  EXPECT_FALSE(peers.OnBeacon(Beacon("a", 5, true), from, kStart));
  const MonotonicTime later = kStart + milliseconds(600);
  EXPECT_TRUE(peers.OnBeacon(Beacon("a", 5, true), from, later));
  EXPECT_EQ(peers.ServingAddresses(later).size(), 1U);
}

// Simulates the exchange of beacons and region reports among gateways of three
// regions, over lossy links.
class SimulatedRegions
{
public:
  static constexpr std::size_t kGatewaysPerRegion = 5;

  explicit SimulatedRegions(std::uint64_t aSeed)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < 3 * kGatewaysPerRegion; ++i) {
      m_gateways.push_back(
        std::make_unique<GatewayPeers>(Vm(i), RegionOfIndex(i)));
      m_alive.push_back(true);
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      for (std::size_t j = 0; j < m_gateways.size(); ++j) {
        m_gateways[i]->Register(Vm(j), AddressOf(j), RegionOfIndex(j));
      }
    }
  }

  static std::string Vm(std::size_t aIndex)
  {
    return "vm-" + std::to_string(aIndex);
  }
  static std::string RegionOfIndex(std::size_t aIndex)
  {
    return "region-" + std::to_string(aIndex / kGatewaysPerRegion);
  }
  static Address AddressOf(std::size_t aIndex)
  {
    return { "10.0.0." + std::to_string(aIndex + 1), 7700 };
  }

  // One heartbeat of every live gateway.
  void RunHeartbeat()
  {
    m_now += milliseconds(140);
    ++m_round;
    m_lastReportPaths.clear();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (m_alive[i]) {
        SendFrom(i);
      }
    }
  }

  void SendFrom(std::size_t aIndex)
  {
    v1::GatewayBeacon beacon = Beacon(Vm(aIndex), 1, true);
    beacon.set_region(RegionOfIndex(aIndex));
    for (const Address& address : m_gateways[aIndex]->RegionPeers()) {
      Deliver(address, [&](GatewayPeers& aTo, std::size_t) {
        aTo.OnBeacon(beacon, AddressOf(aIndex), m_now);
      });
    }
    v1::RegionReport report;
    report.set_region(RegionOfIndex(aIndex));
    beacon.set_datagrams(AddressOf(aIndex).ToString());
    beacon.clear_loads();
    *report.add_gateways() = beacon;
    for (auto& other : m_gateways[aIndex]->RegionBeacons(m_now)) {
      *report.add_gateways() = other;
    }
    for (const auto& [runner, load] : m_gateways[aIndex]->RegionLoads(m_now)) {
      auto& reported = *report.add_loads();
      reported.set_runner(runner.m_id);
      reported.set_born(runner.m_born);
      reported.set_requests(load.m_requests + 3); // 3 of this gateway
    }
    for (const Address& address :
         m_gateways[aIndex]->RegionReportTargets(m_round, m_now)) {
      ++m_crossRegionReports;
      const auto path =
        std::make_pair(AddressOf(aIndex).ToString(), address.ToString());
      m_lastReportPaths.insert(path);
      if (m_cutPaths.count(path) > 0) {
        continue;
      }
      Deliver(address, [&](GatewayPeers& aTo, std::size_t aAt) {
        aTo.OnRegionReport(report, m_now);
        for (const Address& peer : m_gateways[aAt]->RegionPeers()) {
          Deliver(peer, [&](GatewayPeers& aPeer, std::size_t) {
            aPeer.OnRegionReport(report, m_now);
          });
        }
      });
    }
  }

  template<typename Receiver>
  void Deliver(const Address& aTo, Receiver aReceive)
  {
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (AddressOf(i) == aTo && m_alive[i] && !m_random.Chance(m_loss)) {
        aReceive(*m_gateways[i], i);
      }
    }
  }

  // The smallest number of serving gateways that any live gateway advertises.
  std::size_t MinAdvertised() const
  {
    std::size_t minimum = m_gateways.size();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (m_alive[i]) {
        minimum =
          std::min(minimum, m_gateways[i]->ServingAddresses(m_now).size());
      }
    }
    return minimum;
  }

  Random m_random;
  double m_loss = 0;
  MonotonicTime m_now = kStart;
  std::uint64_t m_round = 0;
  std::uint64_t m_crossRegionReports = 0;
  using Paths = std::set<std::pair<std::string, std::string>>;
  Paths m_lastReportPaths; // sender, receiver of last round's reports
  Paths m_cutPaths;
  std::vector<std::unique_ptr<GatewayPeers>> m_gateways;
  std::vector<bool> m_alive;
};

TEST(GatewayPeers, DelegatesExchangeRegionReports)
{
  SimulatedRegions sim(1);
  for (int i = 0; i < 4; ++i) {
    sim.RunHeartbeat();
  }
  EXPECT_EQ(sim.MinAdvertised(), 3 * SimulatedRegions::kGatewaysPerRegion - 1);
  const std::uint64_t before = sim.m_crossRegionReports;
  sim.RunHeartbeat();
  // Two delegates of each region send to one gateway of each other region.
  EXPECT_EQ(sim.m_crossRegionReports - before, 3U * 2 * 2);
  // Each gateway knows the load of all others on the runner.
  EXPECT_EQ(sim.m_gateways[0]->Loads(sim.m_now).at({ "r" }).m_requests,
            3 * (3 * SimulatedRegions::kGatewaysPerRegion - 1));
}

// Each sending delegate may be cut off from one receiving delegate.
TEST(GatewayPeers, RegionsStayConnectedWhenPathsOfOneRoundAreCut)
{
  SimulatedRegions sim(1);
  for (int i = 0; i < 4; ++i) {
    sim.RunHeartbeat();
  }
  sim.m_cutPaths = sim.m_lastReportPaths;
  for (int i = 0; i < 20; ++i) {
    sim.RunHeartbeat();
    EXPECT_EQ(sim.MinAdvertised(),
              3 * SimulatedRegions::kGatewaysPerRegion - 1);
  }
}

TEST(GatewayPeers, RegionsStayConnectedDespiteFailuresAndLoss)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    SimulatedRegions sim(seed);
    sim.m_loss = 0.05;
    for (int i = 0; i < 10; ++i) {
      sim.RunHeartbeat();
    }
    // All gateways of each region but one fail at once.
    for (std::size_t region = 0; region < 3; ++region) {
      const std::size_t survivor =
        sim.m_random.Below(SimulatedRegions::kGatewaysPerRegion);
      for (std::size_t i = 0; i < SimulatedRegions::kGatewaysPerRegion; ++i) {
        sim.m_alive[region * SimulatedRegions::kGatewaysPerRegion + i] =
          i == survivor;
      }
    }
    for (int i = 0; i < 15; ++i) { // 2.1 s
      sim.RunHeartbeat();
    }
    std::size_t maxAdvertised = 0;
    for (int i = 0; i < 10; ++i) {
      sim.RunHeartbeat();
      maxAdvertised = std::max(maxAdvertised, sim.MinAdvertised());
      EXPECT_LE(sim.MinAdvertised(), 2U);
    }
    EXPECT_EQ(maxAdvertised, 2U);
  }
}

} // namespace

} // namespace siskindeal
