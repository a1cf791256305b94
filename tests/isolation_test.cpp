// Tests network partitions of a place from the others and from the platform,
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

constexpr std::chrono::seconds kAwaitTimeout{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr int kRequestCount = 20;
constexpr int kOk = 200;
constexpr std::size_t kShards = 4;
const std::string kIsolatedPlace = "montego";
const std::string kOtherPlace = "kingston";
const std::string kBookingsPath = "/v1/services/teesheet/bookings";

// Entries 1 and 3 and the second agent are at kOtherPlace; entry 2 and the
// first agent are at kIsolatedPlace.
class Isolation : public testing::Test
{
protected:
  // Waits for aCondition. On a timeout the error contains aDetail.
  void Await(const std::string& aWhat,
             const std::function<bool()>& aCondition,
             const std::string& aDetail = {})
  {
    const auto end = std::chrono::steady_clock::now() + kAwaitTimeout;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        std::string what = "timed out waiting for: ";
        what.append(aWhat).append("\n").append(aDetail).append("\n");
        throw std::runtime_error(what + m_fleet.States() + m_fleet.Logs());
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Cuts or heals both directions between the places, and between
  // kIsolatedPlace and the platform.
  void PartitionPlace(bool aCut)
  {
    m_network.Cut(kIsolatedPlace, kOtherPlace, aCut);
    m_network.Cut(kOtherPlace, kIsolatedPlace, aCut);
    m_network.Cut(kIsolatedPlace, Fleet::kPlatformPlace, aCut);
  }

  bool ReportsUnreachable(const std::string& aVm, const std::string& aPlace)
  {
    const auto places = m_fleet.State(aVm)["sync"]["unreachable_places"];
    return std::find(places.begin(), places.end(), aPlace) != places.end();
  }

  HttpReply Get(const std::string& aEntry)
  {
    return m_client.Fetch({ "GET",
                            m_fleet.Url(aEntry, kBookingsPath),
                            { { "x-team", "pro-shops" } } });
  }

  HttpReply Book(const std::string& aEntry, const std::string& aKey)
  {
    return m_client.Fetch(
      { "POST",
        m_fleet.Url(aEntry, kBookingsPath),
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

  // Repeats the request until its outcome is final. Expects that it ran at most
  // once, and exactly once if the verdict is "ran".
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
    for (int i = 0; i < kRequestCount; ++i) {
      const auto reply = Get(aEntry);
      EXPECT_EQ(reply.m_status, kOk) << aEntry << reply.m_body;
      EXPECT_FALSE(reply.m_body.empty());
    }
  }

  // Returns how often the request with this key ran at both services.
  int Runs(const std::string& aKey)
  {
    return m_fleet.Service(0).Executions()[aKey] +
           m_fleet.Service(1).Executions()[aKey];
  }

  std::uint64_t ConfigAt(const std::string& aVm)
  {
    return m_fleet.State(aVm)["sync"]["config_version"].get<std::uint64_t>();
  }

  // Returns the fencing tokens, by shard, of the leases that the entries hold.
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

  // Returns whether all processes hold the same objects and all entries hold
  // the same records of all processes, alive.
  bool HasConverged()
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
          node.erase("protocol"); // known only for nodes that were called
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

  const std::vector<std::string> m_connectedEntries{ "entry-1", "entry-3" };
  const std::vector<std::string> m_entries{ "entry-1", "entry-2", "entry-3" };
  Network m_network;
  Fleet m_fleet{ 3, 0, 2, FleetOptions(&m_network) };
  HttpClient m_client;
};

TEST_F(Isolation, PartitionedPlaceLosesAndRevertsNothing)
{
  Await("convergence", [&] { return HasConverged(); });
  Await("all leases held initially",
        [&] { return Leases(m_entries).size() == kShards; });
  const auto before = Leases(m_entries);
  const auto configVersion = ConfigAt("entry-2");
  AwaitBooked("entry-2", "before");

  PartitionPlace(true);
  Await("the partition is detected", [&] {
    return ReportsUnreachable("entry-2", kOtherPlace) &&
           ReportsUnreachable("entry-1", kIsolatedPlace) &&
           ReportsUnreachable("entry-3", kIsolatedPlace);
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
  EXPECT_EQ(m_fleet.SetConfig(2, configVersion), 0) << m_fleet.Logs();
  Await("the new configuration outside the partition", [&] {
    return ConfigAt("entry-1") > configVersion &&
           ConfigAt("entry-3") > configVersion &&
           ConfigAt("teesheet-2") > configVersion;
  });
  const auto changedVersion = ConfigAt("entry-1");
  Await("all leases outside the partition", [&] {
    return Leases(m_connectedEntries).size() == kShards &&
           Leases({ "entry-2" }).empty();
  });
  const auto during = Leases(m_connectedEntries);
  EXPECT_EQ(ConfigAt("entry-2"), configVersion);
  EXPECT_EQ(ConfigAt("teesheet-1"), configVersion);

  const auto reads = m_fleet.Platform().Counts().m_reads;
  const auto healedAt = std::chrono::steady_clock::now();
  PartitionPlace(false);
  Await("convergence after healing", [&] { return HasConverged(); });
  const auto after = m_fleet.Platform().Counts();
  // kReadBurst: two readers list and watch again. kReadsPerSecond: reads by the
  // lease candidates.
  constexpr double kReadBurst = 40;
  constexpr double kReadsPerSecond = 40;
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - healedAt;
  EXPECT_LE(static_cast<double>(after.m_reads - reads),
            kReadBurst + kReadsPerSecond * elapsed.count());
  EXPECT_EQ(after.m_refused, 0U);
  for (const auto& [name, vm] : m_fleet.Vms()) {
    EXPECT_EQ(ConfigAt(name), changedVersion) << name;
  }
  const auto stored =
    json::parse(m_fleet.Platform().ObjectValue("config/fleet"));
  EXPECT_EQ(stored["teams"]["starters"]["requests_per_second"], 2);
  Await("all leases held after healing",
        [&] { return Leases(m_entries).size() == kShards; });
  for (const auto& [shard, token] : Leases(m_entries)) {
    EXPECT_GE(token, during.at(shard)) << shard;
    EXPECT_GE(during.at(shard), before.at(shard)) << shard;
  }
  AwaitBooked("entry-2", "cut"); // was refused as "not run"
  EXPECT_EQ(Runs("cut"), 1);
  for (const std::string key : { "both", "outside", "before" }) {
    for (const auto& entry : m_entries) {
      ExpectAtMostOnce(entry, key);
    }
    EXPECT_EQ(Runs(key), 1) << key;
  }
}

TEST_F(Isolation, OneWayPartitionKeepsFleetConverged)
{
  Await("convergence", [&] { return HasConverged(); });
  auto configVersion = ConfigAt("entry-1");
  const std::pair<std::string, std::string> ways[] = {
    { kOtherPlace, kIsolatedPlace }, { kIsolatedPlace, kOtherPlace }
  };
  int limit = 2;
  for (const auto& [from, to] : ways) {
    SCOPED_TRACE(testing::Message() << from << " to " << to);
    m_network.Cut(from, to, true);
    EXPECT_EQ(m_fleet.SetConfig(limit, configVersion), 0) << m_fleet.Logs();
    Await("the new configuration everywhere", [&] {
      return std::all_of(
        m_fleet.Vms().begin(), m_fleet.Vms().end(), [&](const auto& aVm) {
          return ConfigAt(aVm.first) > configVersion;
        });
    });
    configVersion = ConfigAt("entry-1");
    for (const auto& entry : m_entries) {
      Await("served at " + entry, [&] { return Get(entry).m_status == kOk; });
      ExpectServes(entry);
      // This entry may be unable to reach the agent of the key.
      const auto reply = Book(entry, entry + from);
      EXPECT_EQ(reply.m_headers.count(std::string(kVerdictHeader)), 1U);
      EXPECT_LE(Runs(entry + from), 1);
    }
    m_network.Cut(from, to, false);
    Await("convergence after healing", [&] { return HasConverged(); });
    for (const auto& entry : m_entries) {
      ExpectAtMostOnce(entry, entry + from);
    }
    ++limit;
  }
}

} // namespace
} // namespace siskindeal
