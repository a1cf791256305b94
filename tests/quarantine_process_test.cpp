// Tests a quarantine with real processes: it survives the restart of all of
// them and ends when an operator releases it.

#include "siskindeal/http.h"
#include "siskindeal/verdict.h"
#include "support/fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <thread>

namespace siskindeal {
namespace {

using nlohmann::json;

constexpr std::size_t kWeightsBytes = 1 << 20;
constexpr std::chrono::seconds kWaitTimeout{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr int kEngines = 2;
const std::string kPrompt = "crashes its engine";

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

class QuarantineProcessTest : public testing::Test
{
protected:
  int SendChat(Fleet& aFleet, const std::string& aPrompt)
  {
    const json body = {
      { "model", "booking chat" },
      { "messages", { { { "role", "user" }, { "content", aPrompt } } } }
    };
    return m_client
      .Fetch({ "POST",
               aFleet.Url("entry-1", "/v1/chat/completions"),
               { { "content-type", "application/json" } },
               body.dump() })
      .m_status;
  }
  // Returns the value of the only quarantine in the platform, or null.
  json StoredQuarantine(Fleet& aFleet)
  {
    const auto reply = m_client.Fetch(
      { "GET", aFleet.Platform().Url() + "/v1/objects?prefix=quarantine/" });
    const auto objects = json::parse(reply.m_body).at("objects");
    return objects.empty()
             ? json()
             : json::parse(objects[0].at("value").get<std::string>());
  }

  HttpClient m_client;
};

TEST_F(QuarantineProcessTest, SurvivesRestartsUntilReleased)
{
  Fleet fleet(1, kEngines, 0);
  fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  standin::Fault fault;
  fault.m_value = kPrompt;
  for (int i = 0; i < kEngines; ++i) {
    fleet.Engine(i).GetFaults().Set("crash_on_body", fault);
  }
  ASSERT_TRUE(WaitUntil([&] { return SendChat(fleet, kPrompt) == 422; }))
    << fleet.Logs();
  ASSERT_TRUE(WaitUntil([&] { return !StoredQuarantine(fleet).is_null(); }))
    << fleet.Logs();
  EXPECT_GE(StoredQuarantine(fleet).at("crashes").size(), 2U);
  EXPECT_EQ(StoredQuarantine(fleet).at("release"), 0);
  const auto fingerprint =
    StoredQuarantine(fleet).at("fingerprint").get<std::string>();

  const std::vector<std::string> vms{ "entry-1", "caddie-1", "caddie-2" };
  for (const auto& vm : vms) {
    fleet.GetVm(vm).m_process.reset();
  }
  for (const auto& vm : vms) {
    fleet.StartVm(vm);
  }
  for (int i = 0; i < kEngines; ++i) {
    fleet.Engine(i).GetFaults().Clear("crash_on_body");
  }
  ASSERT_TRUE(WaitUntil([&] { return SendChat(fleet, "tee time") == 200; }))
    << fleet.Logs();
  // The engines no longer crash, so the quarantine was read from the platform.
  ASSERT_TRUE(WaitUntil([&] { return SendChat(fleet, kPrompt) == 422; }))
    << fleet.Logs();

  EXPECT_EQ(fleet.Operator({ "quarantine", "release", fingerprint }), 0)
    << fleet.Logs();
  ASSERT_TRUE(WaitUntil([&] { return SendChat(fleet, kPrompt) == 200; }))
    << fleet.Logs();
  EXPECT_TRUE(
    WaitUntil([&] { return StoredQuarantine(fleet).at("release") == 1; }))
    << fleet.Logs();
}

} // namespace
} // namespace siskindeal
