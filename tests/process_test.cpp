// End-to-end tests of requests through real processes.

#include "siskindeal/http.h"
#include "siskindeal/verdict.h"
#include "support/fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <map>
#include <thread>
#include <vector>

namespace siskindeal {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 10 };
constexpr std::chrono::milliseconds kMinDrainTime{ 500 };
const std::string kBookingsPath = "/v1/services/teesheet/bookings";

std::string
VerdictOf(const HttpReply& aReply)
{
  const auto found = aReply.m_headers.find(std::string(kVerdictHeader));
  return found == aReply.m_headers.end() ? "" : found->second;
}

HttpClientRequest
MakeBookingRequest(const std::string& aUrl, const std::string& aKey)
{
  return { "POST",
           aUrl,
           { { "idempotency-key", aKey }, { "x-team", "pro-shops" } },
           "four at dawn" };
}

class Processes : public testing::Test
{
protected:
  HttpClient m_client;
};

TEST_F(Processes, RejectInvalidRequestsAsNotRun)
{
  const Fleet fleet(1, 0, 1);
  struct Case
  {
    std::string m_name;
    HttpClientRequest m_request;
    int m_status;
    std::string m_reason;
  };
  const auto url = [&](const std::string& aPath) {
    return fleet.Url("entry-1", aPath);
  };
  const HttpHeaders kJson = { { "content-type", "application/json" } };
  const auto chats = url("/v1/chat/completions");
  const Case cases[] = {
    { "no path", { "GET", url("/nowhere") }, 404, "not_found" },
    { "no service", { "GET", url("/v1/services/none/x") }, 404, "not_found" },
    { "no class",
      { "POST",
        chats,
        kJson,
        R"({"model":"none","messages":[{"role":"user","content":"x"}]})" },
      404,
      "not_found" },
    { "not JSON", { "POST", chats, kJson, "{" }, 400, "bad_request" },
    { "not an object", { "POST", chats, kJson, "[]" }, 400, "bad_request" },
    { "no model", { "POST", chats, kJson, "{}" }, 400, "bad_request" },
    { "model of a wrong type",
      { "POST", chats, kJson, R"({"model":7})" },
      400,
      "bad_request" },
    { "content type",
      { "POST", chats, { { "content-type", "text/plain" } }, "{}" },
      400,
      "bad_request" },
    { "large body",
      { "POST", chats, kJson, std::string((1 << 20) + 1, ' ') },
      413,
      "too_large" },
    { "no key",
      { "POST", url("/v1/services/teesheet/bookings"), {}, "x" },
      400,
      "key_required" },
    { "unsigned operator",
      { "GET", url("/v1/operator/targets") },
      401,
      "unauthenticated" },
    { "unsigned state", { "GET", url("/state") }, 401, "unauthenticated" },
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.m_name);
    const auto reply = m_client.Fetch(test.m_request);
    EXPECT_EQ(reply.m_status, test.m_status);
    EXPECT_EQ(VerdictOf(reply), "not run");
    const auto body = json::parse(reply.m_body, nullptr, false);
    ASSERT_TRUE(body.is_object()) << reply.m_body;
    EXPECT_EQ(body["error"]["reason"], test.m_reason);
    EXPECT_EQ(body["error"]["verdict"], "not run");
  }
}

TEST_F(Processes, RunBookingOnceForConcurrentRequests)
{
  Fleet fleet(2, 0, 2);
  constexpr int kKeys = 10;
  for (int i = 0; i < kKeys; ++i) {
    std::vector<std::future<HttpReply>> replies;
    for (const std::string entry : { "entry-1", "entry-2", "entry-1" }) {
      const auto promise = std::make_shared<std::promise<HttpReply>>();
      replies.push_back(promise->get_future());
      m_client.Start(
        MakeBookingRequest(fleet.Url(entry, kBookingsPath), std::to_string(i)),
        [promise](const HttpReply& aReply) { promise->set_value(aReply); });
    }
    int answered = 0;
    for (auto& future : replies) {
      const auto reply = future.get();
      EXPECT_EQ(reply.m_outcome, HttpOutcome::Answered);
      EXPECT_FALSE(VerdictOf(reply).empty());
      answered += reply.m_status == 200 ? 1 : 0;
    }
    EXPECT_GE(answered, 1);
  }
  std::map<std::string, int> runs;
  for (int i = 0; i < 2; ++i) {
    for (const auto& [key, count] : fleet.Service(i).Executions()) {
      runs[key] += count;
    }
  }
  runs.erase(""); // requests without a key, sent while the fleet started
  EXPECT_EQ(runs.size(), static_cast<std::size_t>(kKeys)) << fleet.Logs();
  for (const auto& [key, count] : runs) {
    EXPECT_EQ(count, 1) << key;
  }
}

TEST_F(Processes, CompleteRequestsInFlightBeforeExit)
{
  Fleet fleet(2, 0, 1);
  for (const std::string leaving : { "entry-1", "teesheet-1" }) {
    SCOPED_TRACE(leaving);
    auto& service = fleet.Service(0);
    service.GetFaults().Set("freeze");
    const std::string entry = leaving == "entry-1" ? "entry-1" : "entry-2";
    std::promise<HttpReply> ended;
    m_client.Start(MakeBookingRequest(fleet.Url(entry, kBookingsPath), leaving),
                   [&](const HttpReply& aReply) { ended.set_value(aReply); });
    auto reply = ended.get_future();
    while (service.Frozen() == 0) {
      ASSERT_EQ(reply.wait_for(kPollInterval), std::future_status::timeout)
        << reply.get().m_body << fleet.Logs();
    }
    auto& process = *fleet.GetVm(leaving).m_process;
    process.Signal(SIGTERM);
    EXPECT_FALSE(process.EndsWithin(kMinDrainTime));
    service.Unfreeze();
    EXPECT_EQ(reply.get().m_status, 200);
    ASSERT_TRUE(process.EndsWithin(kTimeout)) << fleet.Logs();
    EXPECT_EQ(process.Wait(), 0);
  }
}

TEST_F(Processes, RequestThatOutlastsTheDrainOfItsEntryGetsAResponse)
{
  FleetOptions options;
  options.m_entryDrain = "1s";
  Fleet fleet(2, 0, 1, options);
  auto& service = fleet.Service(0);
  service.GetFaults().Set("freeze");
  std::promise<HttpReply> ended;
  m_client.Start(
    MakeBookingRequest(fleet.Url("entry-1", kBookingsPath), "booking-1"),
    [&](const HttpReply& aReply) { ended.set_value(aReply); });
  auto reply = ended.get_future();
  while (service.Frozen() == 0) {
    ASSERT_EQ(reply.wait_for(kPollInterval), std::future_status::timeout);
  }
  auto& process = *fleet.GetVm("entry-1").m_process;
  process.Signal(SIGTERM);
  const HttpReply last = reply.get();
  EXPECT_EQ(last.m_status, 504) << last.m_body;
  EXPECT_EQ(VerdictOf(last), "may have run");
  ASSERT_TRUE(process.EndsWithin(kTimeout)) << fleet.Logs();
  EXPECT_EQ(process.Wait(), 0);
  service.Unfreeze();
}

// The VMs learn that they are leaving only from the platform's list; they get
// no signal.
TEST_F(Processes, DrainWhenThePlatformListsThemAsLeaving)
{
  // Consecutive reads that must not reach the leaving VM.
  constexpr int kRequiredReads = 20;
  Fleet fleet(2, 0, 2);
  standin::Fault freeze;
  freeze.m_pathPrefix = "/bookings";
  for (int i = 0; i < 2; ++i) {
    fleet.Service(i).GetFaults().Set("freeze", freeze);
  }
  std::promise<HttpReply> ended;
  m_client.Start(
    MakeBookingRequest(fleet.Url("entry-1", kBookingsPath), "in flight"),
    [&](const HttpReply& aReply) { ended.set_value(aReply); });
  auto reply = ended.get_future();
  while (fleet.Service(0).Frozen() + fleet.Service(1).Frozen() == 0) {
    ASSERT_EQ(reply.wait_for(kPollInterval), std::future_status::timeout)
      << reply.get().m_body << fleet.Logs();
  }
  const int index = fleet.Service(0).Frozen() > 0 ? 0 : 1;
  auto& service = fleet.Service(index);
  const auto markAsLeaving = [&](const std::string& aVm) {
    const auto& vm = fleet.GetVm(aVm);
    fleet.Platform().SetVm({ aVm, vm.m_place, vm.m_service, vm.m_rpc, true });
  };
  markAsLeaving("teesheet-" + std::to_string(index + 1));
  markAsLeaving("entry-1");
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  for (const std::string entry : { "entry-1", "entry-2" }) {
    int routedElsewhere = 0;
    while (routedElsewhere < kRequiredReads) {
      ASSERT_LT(std::chrono::steady_clock::now(), end) << fleet.Logs();
      const auto before = service.Executions()[""];
      const auto read =
        m_client.Fetch({ "GET",
                         fleet.Url(entry, "/v1/services/teesheet/reads"),
                         { { "x-team", "pro-shops" } } });
      EXPECT_EQ(read.m_status, 200) << read.m_body;
      routedElsewhere =
        service.Executions()[""] == before ? routedElsewhere + 1 : 0;
      // Stays below the team's rate limit.
      std::this_thread::sleep_for(kPollInterval);
    }
    const auto listEntries = [&] {
      return m_client.Fetch({ "GET", fleet.Url(entry, "/v1/entry") }).m_body;
    };
    while (listEntries().find(fleet.GetVm("entry-1").m_http) !=
           std::string::npos) {
      ASSERT_LT(std::chrono::steady_clock::now(), end) << listEntries();
    }
    EXPECT_NE(listEntries().find(fleet.GetVm("entry-2").m_http),
              std::string::npos);
  }
  service.Unfreeze();
  EXPECT_EQ(reply.get().m_status, 200);
}

TEST_F(Processes, KeepServingAndKeepConfigDuringPlatformOutage)
{
  Fleet fleet(3, 0, 1);
  const auto awaitConfigInForce = [&] {
    while (fleet.Operator({ "config", "status" }) != 0) {
      std::this_thread::sleep_for(kPollInterval);
    }
  };
  const auto read = [&](const std::string& aEntry) {
    return m_client.Fetch({ "GET", fleet.Url(aEntry, kBookingsPath) }).m_status;
  };
  awaitConfigInForce();
  // An entry without access to the platform receives a change from its peers.
  fleet.DisconnectFromPlatform("entry-3");
  EXPECT_EQ(fleet.SetConfig(2, 1), 0) << fleet.Logs();
  awaitConfigInForce();
  // No process reaches the platform. Requests that need no new claim are still
  // served, and a restarted process gets its configuration from its peers.
  fleet.DisconnectFromPlatform("");
  EXPECT_EQ(read("entry-3"), 200);
  auto& restarted = *fleet.GetVm("entry-3").m_process;
  restarted.Signal(SIGKILL);
  restarted.Wait();
  fleet.StartVm("entry-3");
  awaitConfigInForce();
  while (read("entry-3") != 200) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const auto refused = m_client.Fetch(
    MakeBookingRequest(fleet.Url("entry-1", kBookingsPath), "in outage"));
  EXPECT_EQ(refused.m_status, 503) << refused.m_body;
  EXPECT_EQ(VerdictOf(refused), "not run");
  EXPECT_EQ(fleet.Service(0).Executions().count("in outage"), 0U);
  EXPECT_NE(fleet.SetConfig(3, 2), 0);
  fleet.ReconnectToPlatform();
  awaitConfigInForce();
  while (m_client
           .Fetch(MakeBookingRequest(fleet.Url("entry-1", kBookingsPath),
                                     "in outage"))
           .m_status != 200) {
    std::this_thread::sleep_for(kPollInterval);
  }
  EXPECT_EQ(fleet.Service(0).Executions()["in outage"], 1);
  const auto stored = json::parse(fleet.Platform().ObjectValue("config/fleet"));
  EXPECT_EQ(stored["teams"]["starters"]["requests_per_second"], 2);
}

} // namespace
} // namespace siskindeal
