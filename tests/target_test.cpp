#include "cli/target_text_p.h"
#include "siskindeal/error.h"
#include "siskindeal/random.h"
#include "siskindeal/target.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

std::string
ErrorFrom(const std::string& aJson)
{
  try {
    ParseTarget(aJson, 1);
    return "";
  } catch (const Error& error) {
    EXPECT_EQ(error.GetReason(), Reason::BadRequest);
    EXPECT_EQ(error.GetVerdict(), Verdict::NotRun);
    return error.what();
  }
}

TEST(Target, RoundTripsThroughJson)
{
  const std::string json =
    R"({"class":"booking chat","name":"sunday","places":["kingston","montego"],)"
    R"("share":0.5,"stated_at":12,"time_weight":0.75,"within_s":300})";
  const TargetSpec target = ParseTarget(json, 7);
  EXPECT_EQ(target.m_version, 7u);
  EXPECT_EQ(std::get<VmShare>(target.m_amount).m_share, 0.5);
  EXPECT_EQ(target.m_timeLimit, std::chrono::seconds(300));
  TargetSpec unversioned = target;
  unversioned.m_version = 0;
  EXPECT_EQ(ToJson(unversioned), json);
  EXPECT_EQ(ToJson(ParseTarget(ToJson(target), 7)), ToJson(target));
}

TEST(Target, ErrorNamesInvalidMember)
{
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "", "not valid JSON" },
    { "{", "not valid JSON" },
    { "[]", "target: expected a JSON object" },
    { R"({"class":"c","vms":1})", "name: expected" },
    { R"({"name":" x","class":"c","vms":1})", "name: expected" },
    { R"({"name":"x/y","class":"c","vms":1})", "name: expected" },
    { R"({"name":"x","class":3,"vms":1})", "class: expected" },
    { R"({"name":"x","class":"c"})", "either vms or share" },
    { R"({"name":"x","class":"c","vms":1,"share":1})", "either vms or share" },
    { R"({"name":"x","class":"c","vms":1,"vms":9})",
      "vms: expected only once" },
    { R"({"name":"x","class":"c","vms":0})", "vms: expected a whole number" },
    { R"({"name":"x","class":"c","vms":-1})", "vms: expected a whole number" },
    { R"({"name":"x","class":"c","vms":1.5})", "vms: expected a whole number" },
    { R"({"name":"x","class":"c","share":0})", "share: expected" },
    { R"({"name":"x","class":"c","share":1.1})", "share: expected" },
    { R"({"name":"x","class":"c","vms":1,"places":"p"})", "places: expected" },
    { R"({"name":"x","class":"c","vms":1,"places":["p","p"]})",
      "places: expected" },
    { R"({"name":"x","class":"c","vms":1,"within_s":"5m"})",
      "within_s: expected whole seconds" },
    { R"({"name":"x","class":"c","vms":1,"time_weight":2})",
      "time_weight: expected" },
    { R"({"name":"x","class":"c","vms":1,"weights":"v2"})",
      "never weights, VMs or addresses" },
    { R"({"name":"x","class":"c","vms":1,"address":"10.0.0.1:1"})",
      "never weights, VMs or addresses" },
    { R"({"name":"x","class":"c","vms":1,"colour":"red"})",
      "colour: expected one of name, class, vms" },
  };
  for (const auto& [json, expected] : cases) {
    const std::string error = ErrorFrom(json);
    EXPECT_NE(error.find(expected), std::string::npos)
      << json << "\nmessage: " << error;
  }
}

TEST(Target, HandlesRandomBytes)
{
  constexpr int kRounds = 20000;
  const std::string valid =
    R"({"name":"x","class":"c","vms":1,"places":["p"],"within_s":5})";
  Random random(7);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = valid;
    for (std::uint64_t edits = 1 + random.Below(4); edits > 0; --edits) {
      const std::size_t at = random.Below(bytes.size());
      bytes[at] = static_cast<char>(random.Below(256));
    }
    bytes.resize(random.Below(bytes.size()) + 1);
    ErrorFrom(random.Chance(0.5) ? bytes : bytes + valid.substr(bytes.size()));
  }
}

TEST(Target, StatusRoundTripsThroughJson)
{
  TargetStatus status;
  status.m_name = "sunday";
  status.m_wanted = 12;
  status.m_serving = 3;
  status.m_release = "caddie-7";
  status.m_servingByRelease = { { "ab", 3 } };
  status.m_blockedReason = "9 VMs are loading";
  status.m_estimate = std::chrono::seconds(40);
  status.m_progress = 0.25;
  status.m_version = 4;
  status.m_history = { "stated" };
  EXPECT_EQ(ToJson(ParseTargetStatus(ToJson(status))), ToJson(status));
  EXPECT_THROW(ParseTargetStatus("{}"), Error);
}

TEST(TargetText, RoundsEstimateUp)
{
  const std::vector<std::pair<int, std::string>> cases = {
    { -5, "0 s" },    { 0, "0 s" },        { 119, "119 s" }, { 120, "2 min" },
    { 121, "3 min" }, { 7199, "120 min" }, { 7200, "2 h" },  { 7201, "3 h" },
  };
  for (const auto& [seconds, text] : cases) {
    EXPECT_EQ(FormatEstimate(std::chrono::seconds(seconds)), text);
  }
}

} // namespace

} // namespace siskindeal
