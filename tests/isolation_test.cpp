// A place that is cut off from the others and from the platform, and rejoins,
// with real processes.

#include "siskindeal/http.h"
#include "siskindeal/verdict.h"
#include "support/fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace siskindeal {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kHangGuard{ 60 };
constexpr std::chrono::milliseconds kPoll{ 20 };
constexpr int kRequests = 20;
constexpr int kOk = 200;
constexpr std::size_t kShards = 4;
const std::string kIsolated = "montego";
const std::string kOther = "kingston";
const std::string kBookings = "/v1/services/teesheet/bookings";

// Entries 1 and 3 and the second agent are at kOther, entry 2 and the first
// agent at kIsolated.
class Isolation : public testing::Test
{
protected:
  // aSeen is shown when the condition never comes true.
  void Await(const std::string& aWhat,
             const std::function<bool()>& aCondition,
             const std::string& aSeen = {})
  {
    const auto end = std::chrono::steady_clock::now() + kHangGuard;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        std::string what = "never: ";
        what.append(aWhat).append("\n").append(aSeen).append("\n");
        throw std::runtime_error(what + m_fleet.States() + m_fleet.Logs());
      }
      std::this_thread::sleep_for(kPoll);
    }
  }

  // Both ways, and from the platform.
  void CutPlace(bool aCut)
  {
    m_network.Cut(kIsolated, kOther, aCut);
    m_network.Cut(kOther, kIsolated, aCut);
    m_network.Cut(kIsolated, Fleet::kPlatformPlace, aCut);
  }

  bool Misses(const std::string& aVm, const std::string& aPlace)
  {
    const auto places = m_fleet.State(aVm)["sync"]["unreachable_places"];
    return std::find(places.begin(), places.end(), aPlace) != places.end();
  }

  HttpReply Get(const std::string& aEntry)
  {
    return m_client.Fetch(
      { "GET", m_fleet.Url(aEntry, kBookings), { { "x-team", "pro-shops" } } });
  }

  HttpReply Book(const std::string& aEntry, const std::string& aKey)
  {
    return m_client.Fetch(
      { "POST",
        m_fleet.Url(aEntry, kBookings),
        { { "idempotency-key", aKey }, { "x-team", "pro-shops" } },
        "four at dawn" });
  }

  void AwaitBooked(const std::string& aEntry, const std::string& aKey)
  {
    std::string last;
    const auto booked = [&] {
      const auto reply = Book(aEntry, aKey);
      last = reply.m_body + reply.m_error;
      return reply.m_status == kOk;
    };
    Await("booked " + aKey + " at " + aEntry, booked, last);
  }

  // Asks until the answer is one that stays, and expects that the request has
  // run at most once; once, where the answer says that it ran.
  void ExpectAtMostOnce(const std::string& aEntry, const std::string& aKey)
  {
    HttpReply last;
    Await("settled " + aKey + " at " + aEntry, [&] {
      last = Book(aEntry, aKey);
      return last.m_status == kOk || last.m_status == 409;
    });
    const auto verdict = last.m_headers.at(std::string(kVerdictHeader));
    EXPECT_NE(verdict, "not run") << aKey;
    EXPECT_LE(Runs(aKey), 1) << aKey;
    if (verdict == "ran") {
      EXPECT_EQ(Runs(aKey), 1) << aKey;
    }
  }

  void ExpectServes(const std::string& aEntry)
  {
    for (int i = 0; i < kRequests; ++i) {
      const auto reply = Get(aEntry);
      EXPECT_EQ(reply.m_status, kOk) << aEntry << reply.m_body;
      EXPECT_FALSE(reply.m_body.empty());
    }
  }

  // How often a key's request ran, over both services.
  int Runs(const std::string& aKey)
  {
    return m_fleet.Service(0).Executions()[aKey] +
           m_fleet.Service(1).Executions()[aKey];
  }

  std::uint64_t ConfigAt(const std::string& aVm)
  {
    return m_fleet.State(aVm)["sync"]["config_version"].get<std::uint64_t>();
  }

  // Tokens by shard of the leases that the entries hold.
  std::map<std::string, std::uint64_t> Leases(
    const std::vector<std::string>& aEntries)
  {
    std::map<std::string, std::uint64_t> tokens;
    for (const auto& entry : aEntries) {
      const auto state = m_fleet.State(entry);
      for (const auto& row : state["leases"]) {
        tokens[row[0].dump()] = row[1].get<std::uint64_t>();
      }
    }
    return tokens;
  }

  // Whether all processes hold the same objects, the entries the same records
  // of processes, all alive.
  bool OfOneMind()
  {
    std::set<std::string> objects;
    std::set<std::string> nodes;
    for (const auto& [name, vm] : m_fleet.Vms()) {
      auto sync = m_fleet.State(name)["sync"];
      objects.insert(sync["objects"].dump());
      if (!sync["unreachable_places"].empty()) {
        return false;
      }
      if (vm.m_service.empty()) {
        for (auto& node : sync["nodes"]) {
          node.erase("protocol"); // with those that it calls only
        }
        nodes.insert(sync["nodes"].dump());
      }
    }
    const auto alive = [](const json& aNode) {
      return aNode["liveness"] == "LIVENESS_ALIVE";
    };
    const auto first = json::parse(*nodes.begin());
    return objects.size() == 1 && nodes.size() == 1 &&
           first.size() == m_fleet.Vms().size() &&
           std::all_of(first.begin(), first.end(), alive);
  }

  const std::vector<std::string> m_outside{ "entry-1", "entry-3" };
  const std::vector<std::string> m_entries{ "entry-1", "entry-2", "entry-3" };
  Network m_network;
  Fleet m_fleet{ 3, 0, 2, FleetOptions(&m_network) };
  HttpClient m_client;
};

TEST_F(Isolation, OfAWholePlaceLosesNothingAndRevertsNothing)
{
  Await("one mind", [&] { return OfOneMind(); });
  Await("all leases held", [&] { return Leases(m_entries).size() == kShards; });
  const auto before = Leases(m_entries);
  const auto config = ConfigAt("entry-2");
  AwaitBooked("entry-2", "before");

  CutPlace(true);
  Await("the cut is seen", [&] {
    return Misses("entry-2", kOther) && Misses("entry-1", kIsolated) &&
           Misses("entry-3", kIsolated);
  });
  ExpectServes("entry-2");
  ExpectServes("entry-1");
  for (const std::string key : { "cut", "both" }) {
    const auto refused = Book("entry-2", key);
    EXPECT_EQ(refused.m_status, 503) << refused.m_body;
    EXPECT_EQ(refused.m_headers.at(std::string(kVerdictHeader)), "not run");
    EXPECT_EQ(Runs(key), 0);
  }
  AwaitBooked("entry-1", "both");
  AwaitBooked("entry-3", "outside");
  EXPECT_EQ(m_fleet.SetConfig(2, config), 0) << m_fleet.Logs();
  Await("the change outside", [&] {
    return ConfigAt("entry-1") > config && ConfigAt("entry-3") > config &&
           ConfigAt("teesheet-2") > config;
  });
  const auto changed = ConfigAt("entry-1");
  Await("the leases outside", [&] {
    return Leases(m_outside).size() == kShards && Leases({ "entry-2" }).empty();
  });
  const auto during = Leases(m_outside);
  EXPECT_EQ(ConfigAt("entry-2"), config);
  EXPECT_EQ(ConfigAt("teesheet-1"), config);

  const auto reads = m_fleet.Platform().Counts().m_reads;
  const auto mended = std::chrono::steady_clock::now();
  CutPlace(false);
  Await("one mind again", [&] { return OfOneMind(); });
  const auto after = m_fleet.Platform().Counts();
  // Two readers list and watch anew; the candidates for the leases go on
  // reading.
  constexpr double kReadsAtOnce = 40;
  constexpr double kReadsPerSecond = 40;
  const std::chrono::duration<double> took =
    std::chrono::steady_clock::now() - mended;
  EXPECT_LE(static_cast<double>(after.m_reads - reads),
            kReadsAtOnce + kReadsPerSecond * took.count());
  EXPECT_EQ(after.m_refused, 0U);
  for (const auto& [name, vm] : m_fleet.Vms()) {
    EXPECT_EQ(ConfigAt(name), changed) << name;
  }
  const auto stored =
    json::parse(m_fleet.Platform().ObjectValue("config/fleet"));
  EXPECT_EQ(stored["teams"]["starters"]["requests_per_second"], 2);
  Await("all leases held again",
        [&] { return Leases(m_entries).size() == kShards; });
  for (const auto& [shard, token] : Leases(m_entries)) {
    EXPECT_GE(token, during.at(shard)) << shard;
    EXPECT_GE(during.at(shard), before.at(shard)) << shard;
  }
  AwaitBooked("entry-2", "cut"); // refused as "not run" before
  EXPECT_EQ(Runs("cut"), 1);
  for (const std::string key : { "both", "outside", "before" }) {
    for (const auto& entry : m_entries) {
      ExpectAtMostOnce(entry, key);
    }
    EXPECT_EQ(Runs(key), 1) << key;
  }
}

TEST_F(Isolation, OneWayKeepsAllOfOneMind)
{
  Await("one mind", [&] { return OfOneMind(); });
  auto config = ConfigAt("entry-1");
  const std::pair<std::string, std::string> ways[] = { { kOther, kIsolated },
                                                       { kIsolated, kOther } };
  int limit = 2;
  for (const auto& [from, to] : ways) {
    SCOPED_TRACE(testing::Message() << from << " to " << to);
    m_network.Cut(from, to, true);
    EXPECT_EQ(m_fleet.SetConfig(limit, config), 0) << m_fleet.Logs();
    Await("the change everywhere", [&] {
      return std::all_of(
        m_fleet.Vms().begin(), m_fleet.Vms().end(), [&](const auto& aVm) {
          return ConfigAt(aVm.first) > config;
        });
    });
    config = ConfigAt("entry-1");
    for (const auto& entry : m_entries) {
      Await("served at " + entry, [&] { return Get(entry).m_status == kOk; });
      ExpectServes(entry);
      // The key's agent may be one that this entry can't call.
      const auto reply = Book(entry, entry + from);
      EXPECT_EQ(reply.m_headers.count(std::string(kVerdictHeader)), 1U);
      EXPECT_LE(Runs(entry + from), 1);
    }
    m_network.Cut(from, to, false);
    Await("one mind again", [&] { return OfOneMind(); });
    for (const auto& entry : m_entries) {
      ExpectAtMostOnce(entry, entry + from);
    }
    ++limit;
  }
}

} // namespace
} // namespace siskindeal
