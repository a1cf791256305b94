// Runs requests through real processes while their upstream does not respond
// for a while.

#include "siskindeal/http.h"
#include "support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace siskindeal {
namespace {

using std::chrono::steady_clock;

// Long enough for a poll of the upstream to expire and for the entries to hear
// of it.
constexpr std::chrono::milliseconds kSilence{ 2400 };
// An upstream that is silent for as long as three polls is down.
constexpr std::chrono::milliseconds kMaxSilence{ 2900 };
constexpr std::chrono::milliseconds kRefusalTime{ 200 };
constexpr std::chrono::milliseconds kPollInterval{ 10 };
constexpr std::chrono::seconds kTimeout{ 60 };
const std::string kBookingsPath = "/v1/services/teesheet/bookings";

class SilenceProcessTest : public testing::Test
{
protected:
  std::future<HttpReply> Start(HttpClientRequest aRequest)
  {
    const auto reply = std::make_shared<std::promise<HttpReply>>();
    aRequest.m_timeout = kTimeout;
    m_client.Start(std::move(aRequest), [reply](HttpReply aReply) {
      reply->set_value(std::move(aReply));
    });
    return reply->get_future();
  }

  HttpClient m_client;
};

TEST_F(SilenceProcessTest, PausedUpstreamCompletesItsRequests)
{
  Fleet fleet(2, 0, 1);
  auto& service = fleet.Service(0);
  for (const bool configChanges : { false, true }) {
    SCOPED_TRACE(configChanges ? "beside a configuration" : "alone");
    const std::string key = configChanges ? "k2" : "k1";
    service.GetFaults().Set("freeze");
    const auto resumesAt = steady_clock::now() + kSilence;
    auto keyed = Start({ "POST",
                         fleet.Url("entry-1", kBookingsPath),
                         { { "idempotency-key", key } },
                         "four at dawn" });
    auto unkeyed = Start({ "GET", fleet.Url("entry-2", kBookingsPath) });
    if (configChanges) {
      EXPECT_EQ(fleet.SetConfig(2, 1), 0) << fleet.Logs();
    }
    std::this_thread::sleep_until(resumesAt);
    service.Unfreeze();
    for (auto* reply : { &keyed, &unkeyed }) {
      const auto ended = reply->get();
      EXPECT_EQ(ended.m_status, 200) << ended.m_body << fleet.Logs();
    }
    EXPECT_EQ(service.Executions()[key], 1);
  }
}

TEST_F(SilenceProcessTest, HangupSignalDoesNotEndRequestsInFlight)
{
  Fleet fleet(1, 0, 1);
  auto& service = fleet.Service(0);
  for (const std::string vm : { "entry-1", "teesheet-1" }) {
    SCOPED_TRACE(vm);
    standin::Fault freeze;
    freeze.m_pathPrefix = "/bookings";
    service.GetFaults().Set("freeze", freeze);
    auto reply = Start({ "GET", fleet.Url("entry-1", kBookingsPath) });
    while (service.Frozen() == 0) {
      ASSERT_EQ(reply.wait_for(kPollInterval), std::future_status::timeout)
        << reply.get().m_body << fleet.Logs();
    }
    auto& process = *fleet.GetVm(vm).m_process;
    process.Signal(SIGHUP);
    EXPECT_FALSE(process.EndsWithin(kRefusalTime));
    service.Unfreeze();
    const auto ended = reply.get();
    EXPECT_EQ(ended.m_status, 200) << ended.m_error << ended.m_body;
  }
}

TEST_F(SilenceProcessTest, PausedUpstreamStillTakesRetries)
{
  Fleet fleet(1, 0, 2);
  auto& paused = fleet.Service(0);
  standin::Fault reset;
  reset.m_pathPrefix = "/bookings";
  fleet.Service(1).GetFaults().Set("reset", reset);
  bool withinLimit = false;
  while (!withinLimit) { // repeated if this machine stalled
    const auto startedAt = steady_clock::now();
    paused.GetFaults().Set("freeze");
    std::this_thread::sleep_until(startedAt + kSilence);
    auto reply = Start({ "GET", fleet.Url("entry-1", kBookingsPath) });
    reply.wait_for(kRefusalTime);
    withinLimit = steady_clock::now() - startedAt < kMaxSilence;
    paused.Unfreeze();
    const auto ended = reply.get();
    if (withinLimit) {
      EXPECT_EQ(ended.m_status, 200) << ended.m_body << fleet.Logs();
    }
  }
}

} // namespace
} // namespace siskindeal
