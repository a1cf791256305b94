// Fuzzes the parsers of external input with valid inputs that are mutated at
// random, with fixed seeds. Each parser must accept or reject an input as a
// whole, with its own error type.

#include "agent/upstream_reports_p.h"
#include "entry/caller_api_p.h"
#include "platform/object_json_p.h"
#include "siskindeal/error.h"
#include "siskindeal/manifest.h"
#include "siskindeal/planner.h"
#include "siskindeal/random.h"
#include "siskindeal/settings.h"
#include "siskindeal/target.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>

namespace siskindeal {
namespace {

constexpr std::uint64_t kMaxEdits = 4;
constexpr std::size_t kNestingDepth = 5000;

const std::string kExamples = std::string(SISKINDEAL_SOURCE_DIR) + "/examples/";

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  EXPECT_TRUE(stream) << aFile;
  return { std::istreambuf_iterator<char>(stream), {} };
}

// Mutates a text: inserts bytes, removes or repeats parts, and inserts values
// that parsers often handle incorrectly.
class Mutator
{
public:
  explicit Mutator(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  std::string Mutate(std::string aText)
  {
    for (auto edits = 1 + m_random.Below(kMaxEdits); edits > 0; --edits) {
      Edit(aText);
    }
    return aText;
  }

private:
  void Edit(std::string& aText)
  {
    const auto at = m_random.Below(aText.size() + 1);
    const auto length = m_random.Below(std::min<std::size_t>(
      aText.size() - at + 1, m_random.Chance(0.1) ? aText.size() : 12));
    switch (m_random.Below(4)) {
      case 0:
        aText.insert(at, 1, static_cast<char>(m_random.Below(256)));
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        ReplaceValue(aText, at);
    }
  }

  // Replaces the first JSON value after aAt by another value.
  void ReplaceValue(std::string& aText, std::size_t aAt)
  {
    static const std::array<std::string, 17> kValues = {
      "-1",          "0",        "1e999",  "99999999999999999999",
      "-0.0",        "0.5",      "1e-320", "null",
      "true",        "[]",       "{}",     "\"\"",
      "\"\\u0000\"", "\"\xff\"", "[null]", "\"0s\"",
      "2147483648"
    };
    const auto start = aText.find_first_of("0123456789\"tf[{", aAt);
    if (start == std::string::npos) {
      return;
    }
    const auto end = aText.find_first_of(",}]\n", start);
    const auto value = m_random.Chance(0.02)
                         ? std::string(kNestingDepth, '[')
                         : kValues.at(m_random.Below(kValues.size()));
    aText.replace(start, end == std::string::npos ? end : end - start, value);
  }

  Random m_random;
};

// Parses aRounds mutations of aValid. aParse must return or throw Error
// (BadRequest, not run). Returns the number of accepted inputs.
template<typename Parser>
int
FuzzParser(const std::string& aValid, int aRounds, Parser aParse)
{
  aParse(aValid);
  Mutator mutator(7);
  int parsed = 0;
  for (int round = 0; round < aRounds; ++round) {
    const auto text = mutator.Mutate(aValid);
    try {
      aParse(text);
      ++parsed;
    } catch (const Error& error) {
      EXPECT_EQ(error.GetReason(), Reason::BadRequest) << text;
      EXPECT_EQ(error.GetVerdict(), Verdict::NotRun) << text;
      EXPECT_STRNE(error.what(), "") << text;
    }
  }
  EXPECT_LT(parsed, aRounds) << "no mutation was rejected";
  EXPECT_GT(parsed, 0) << "no mutation was accepted";
  return parsed;
}

void
ExpectValid(const TeamConfig& aTeam, const std::string& aText)
{
  EXPECT_TRUE(std::isfinite(aTeam.m_weight) && aTeam.m_weight > 0) << aText;
  EXPECT_TRUE(std::isfinite(aTeam.m_requestsPerSecond) &&
              aTeam.m_requestsPerSecond >= 0)
    << aText;
  EXPECT_TRUE(std::isfinite(aTeam.m_burst) && aTeam.m_burst >= 0) << aText;
}

TEST(InputFuzz, RejectsAConfigurationOrParsesValidLimits)
{
  constexpr int kRounds = 5000;
  for (const std::string name : { "fairway", "hartwell" }) {
    SCOPED_TRACE(name);
    FuzzParser(ReadFile(kExamples + name + "_config.json"),
               kRounds,
               [](const std::string& aText) {
                 const auto config = ParseFleetConfig(aText, 1);
                 for (const auto& [team, limits] : config.m_teams) {
                   ExpectValid(limits, aText);
                 }
                 ExpectValid(config.m_otherTeams, aText);
                 for (const auto& [work, settings] : config.m_classes) {
                   EXPECT_EQ(config.m_services.count(settings.m_service), 1U)
                     << aText;
                 }
                 for (const auto& [service, settings] : config.m_services) {
                   EXPECT_GT(settings.m_timeout.count(), 0) << aText;
                 }
               });
  }
}

TEST(InputFuzz, RejectsATargetOrRoundTripsIt)
{
  constexpr int kRounds = 20000;
  FuzzParser(
    R"({"name":"x","class":"c","share":0.5,"places":["p","q"],"within_s":5})",
    kRounds,
    [](const std::string& aText) {
      const auto target = ParseTarget(aText, 1);
      EXPECT_FALSE(target.m_name.empty()) << aText;
      EXPECT_EQ(ToJson(ParseTarget(ToJson(target), 1)), ToJson(target))
        << aText;
    });
}

TEST(InputFuzz, RejectsACatalogueEntryOrParsesIt)
{
  constexpr int kRounds = 20000;
  FuzzParser(R"({"release":"booking-7","adapter":false})",
             kRounds,
             [](const std::string& aText) {
               EXPECT_FALSE(ParseCatalogueEntry(aText).m_release.empty())
                 << aText;
             });
}

TEST(InputFuzz, RejectsAManifestOrParsesConsistentSizes)
{
  constexpr int kRounds = 20000;
  const std::string digest(64, 'a');
  FuzzParser(
    R"({"size":15,"chunk_size":10,"base":"","origin":"m/a",)"
    R"("chunks":[")" +
      digest + R"(",")" + digest + R"("]})",
    kRounds,
    [](const std::string& aText) {
      const auto manifest = ParseManifest(aText);
      std::uint64_t bytes = 0;
      for (std::uint32_t i = 0; i < manifest.m_chunkDigests.size(); ++i) {
        bytes += manifest.ChunkBytes(i);
      }
      EXPECT_EQ(bytes, manifest.m_size) << aText;
      EXPECT_EQ(ParseManifest(ToJson(manifest)).Digest(), manifest.Digest())
        << aText;
    });
}

// The platform client catches std::exception and treats the response as
// missing.
TEST(InputFuzz, ParsesAPlatformResponseOrThrows)
{
  constexpr int kRounds = 20000;
  const std::string object =
    R"({"key":"config/fleet","version":3,"value":"{}","change_id":"c"})";
  const std::string changes = R"({"revision":9,"objects":[)" + object + "]}";
  const std::string vms =
    R"({"vms":[{"vm":"a","place":"p","service":"s","rpc":"10.0.0.1:7100",)"
    R"("leaving":false}]})";
  Mutator mutator(7);
  for (int round = 0; round < kRounds; ++round) {
    try {
      ParseObject(mutator.Mutate(object));
    } catch (const std::exception&) {
    }
    try {
      ParseChanges(mutator.Mutate(changes));
    } catch (const std::exception&) {
    }
    try {
      ParseVms(mutator.Mutate(vms));
    } catch (const std::exception&) {
    }
  }
}

TEST(InputFuzz, ParsesASettingsFileOrNamesItInTheError)
{
  constexpr int kRounds = 2000;
  const auto file =
    testing::TempDir() + "settings_fuzz_" + std::to_string(getpid()) + ".toml";
  const auto parse = [&](const std::string& aText) {
    std::ofstream(file, std::ios::binary) << aText;
    switch (DetectSettingsKind(file)) {
      case SettingsKind::Entry:
        ReadEntrySettings(file);
        return;
      case SettingsKind::Agent:
        ReadAgentSettings(file);
        return;
      case SettingsKind::Gateway:
        ReadGatewaySettings(file);
        return;
      case SettingsKind::Stager:
        ReadStagerSettings(file);
        return;
      case SettingsKind::Client:
        ReadClientSettings(file);
    }
  };
  for (const std::string name :
       { "fairway_entry", "hartwell_ledger_llm_agent", "fairway_client" }) {
    SCOPED_TRACE(name);
    const auto valid = ReadFile(kExamples + name + ".toml");
    parse(valid);
    Mutator mutator(7);
    int rejected = 0;
    for (int round = 0; round < kRounds; ++round) {
      const auto text = mutator.Mutate(valid);
      try {
        parse(text);
      } catch (const SettingsError& error) {
        ++rejected;
        EXPECT_NE(std::string(error.what()).find(file), std::string::npos)
          << error.what();
      }
    }
    EXPECT_GT(rejected, 0);
  }
  std::filesystem::remove(file);
}

// Counts responses.
class CountingResponder final : public HttpResponder
{
public:
  void Respond(int aStatus, HttpHeaders aHeaders, std::string) override
  {
    ++m_responses;
    m_status = aStatus;
    m_verdict = aHeaders[std::string(kVerdictHeader)];
  }
  void BeginStream(int, HttpHeaders) override { FAIL(); }
  bool Write(std::string_view) override { return false; }
  void EndStream() override {}
  void Abort() override {}
  void OnDisconnect(std::function<void()>) override {}

  int m_responses = 0;
  int m_status = 0;
  std::string m_verdict;
};

TEST(InputFuzz, RejectsOrForwardsARequestOnce)
{
  constexpr int kRounds = 20000;
  int forwarded = 0;
  CallerApiContext context;
  const auto config = std::make_shared<FleetConfig>(
    ParseFleetConfig(ReadFile(kExamples + "fairway_config.json"), 1));
  context.m_config = [&]() -> std::shared_ptr<const FleetConfig> {
    return std::shared_ptr<const FleetConfig>(config);
  };
  context.m_entriesJson = [] { return "{}"; };
  context.m_forward = [&](const CallerRequest& aRequest, const auto&) {
    ++forwarded;
    EXPECT_EQ(config->m_services.count(aRequest.m_service), 1U);
    EXPECT_GT(aRequest.m_timeout.count(), 0);
  };
  CallerApi callerApi(context);
  const std::string chat =
    R"({"model":"booking chat","stream":true,"max_tokens":8,"messages":)"
    R"([{"role":"user","content":"four at dawn"}],"temperature":0.5})";
  Mutator mutator(7);
  int rejected = 0;
  for (int round = 0; round < kRounds; ++round) {
    HttpRequest request;
    request.m_method = "POST";
    request.m_path = "/v1/chat/completions";
    request.m_headers = { { "content-type", "application/json" },
                          { "x-deadline-ms", mutator.Mutate("5000") } };
    request.m_body = mutator.Mutate(chat);
    if (round % 4 == 0) {
      request.m_path = mutator.Mutate("/v1/services/teesheet/bookings");
      request.m_headers["idempotency-key"] = mutator.Mutate("key-1");
    }
    const auto responder = std::make_shared<CountingResponder>();
    const int before = forwarded;
    callerApi.Handle(request, responder);
    ASSERT_EQ(forwarded - before + responder->m_responses, 1) << request.m_body;
    if (responder->m_responses != 0) {
      ++rejected;
      EXPECT_TRUE(responder->m_status == 400 || responder->m_status == 404)
        << responder->m_status << request.m_body;
      EXPECT_EQ(responder->m_verdict, "not run") << request.m_body;
    }
  }
  EXPECT_GT(forwarded, 0);
  EXPECT_GT(rejected, 0);
}

// Guards against stack overflow in recursive parsers.
TEST(InputFuzz, RejectsADeeplyNestedRequest)
{
  int forwarded = 0;
  CallerApiContext context;
  const auto config = std::make_shared<const FleetConfig>(
    ParseFleetConfig(ReadFile(kExamples + "fairway_config.json"), 1));
  context.m_config = [&] { return std::shared_ptr(config); };
  context.m_forward = [&](const CallerRequest&, const auto&) { ++forwarded; };
  CallerApi callerApi(context);
  const auto send = [&](std::size_t aDepth) {
    HttpRequest request;
    request.m_method = "POST";
    request.m_path = "/v1/chat/completions";
    request.m_headers = { { "content-type", "application/json" } };
    request.m_body =
      R"({"model":"booking chat","messages":[{"role":"user","content":)" +
      std::string(aDepth, '[') + std::string(aDepth, ']') + "}]}";
    const auto responder = std::make_shared<CountingResponder>();
    callerApi.Handle(request, responder);
    return responder->m_status;
  };
  constexpr std::size_t kNormalDepth = 40;
  // The body is just below the default limit of [http] body_bytes, 1 MiB.
  constexpr std::size_t kExcessiveDepth = 500000;
  EXPECT_EQ(send(kNormalDepth), 0);
  EXPECT_EQ(forwarded, 1);
  EXPECT_EQ(send(kExcessiveDepth), 400);
  EXPECT_EQ(forwarded, 1);
}

TEST(InputFuzz, RejectsADeeplyNestedDocument)
{
  constexpr std::size_t kDepth = 400000;
  const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::pair<std::string, std::function<void(const std::string&)>>
    parsers[] = {
      { "teams", [](const auto& aText) { ParseFleetConfig(aText, 1); } },
      { "places", [](const auto& aText) { ParseTarget(aText, 1); } },
      { "release", [](const auto& aText) { ParseCatalogueEntry(aText); } },
      { "chunks", [](const auto& aText) { ParseManifest(aText); } },
      { "value", [](const auto& aText) { ParseObject(aText); } },
      { "objects", [](const auto& aText) { ParseChanges(aText); } },
      { "vms", [](const auto& aText) { ParseVms(aText); } },
    };
  for (const auto& [member, parse] : parsers) {
    SCOPED_TRACE(member);
    EXPECT_ANY_THROW(parse(nested));
    EXPECT_ANY_THROW(parse(
      std::string(R"({")").append(member).append(R"(":)").append(nested).append(
        "}")));
  }
}

TEST(InputFuzz, DeepNestingInAMemberThatIsNotReadIsRejected)
{
  constexpr std::size_t kDepth = 100000;
  const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto withNested = [&](std::string aObject) {
    aObject.back() = ',';
    return aObject + R"("other":)" + nested + "}";
  };
  const std::string object = R"({"key":"k","version":1})";
  const std::string objects = R"({"revision":1,"objects":[]})";
  const std::string vms = R"({"vms":[]})";
  const std::string load = R"({"running":1})";
  const std::string events =
    R"({"events":[{"sequence":1,"prefix_hash":"7","evicted":false}]})";
  EXPECT_NO_THROW(ParseObject(object));
  EXPECT_ANY_THROW(ParseObject(withNested(object)));
  EXPECT_NO_THROW(ParseChanges(objects));
  EXPECT_ANY_THROW(ParseChanges(withNested(objects)));
  EXPECT_NO_THROW(ParseVms(vms));
  EXPECT_ANY_THROW(ParseVms(withNested(vms)));
  EXPECT_TRUE(ParseLoad(load, 1));
  EXPECT_FALSE(ParseLoad(withNested(load), 1));
  EXPECT_EQ(ParseCacheEvents(events).size(), 1U);
  EXPECT_TRUE(ParseCacheEvents(withNested(events)).empty());
}

// An upstream that sends an invalid report stays up. The report is ignored.
TEST(InputFuzz, ParsesAnUpstreamReportOrIgnoresIt)
{
  constexpr int kRounds = 20000;
  constexpr std::uint32_t kSlots = 16;
  const std::string load =
    R"({"running":1,"waiting":2,"slots":8,"kv_free_tokens":9,"age_ms":3,)"
    R"("tokens_per_second":4.5})";
  const std::string events =
    R"({"events":[{"sequence":1,"prefix_hash":"7","evicted":false},)"
    R"({"sequence":2,"prefix_hash":"8","evicted":true}]})";
  EXPECT_EQ(ParseLoad(load, kSlots)->slots(), 8U);
  EXPECT_EQ(ParseLoad("{}", kSlots)->slots(), kSlots);
  EXPECT_FALSE(ParseLoad(R"({"running":"many"})", kSlots));
  EXPECT_EQ(ParseCacheEvents(events).size(), 2U);
  EXPECT_EQ(
    ParseCacheEvents(R"({"events":[3,{"sequence":1,"prefix_hash":"x"},)"
                     R"({"sequence":2,"prefix_hash":"99999999999999999999"},)"
                     R"({"sequence":3,"prefix_hash":"7"}]})")
      .size(),
    1U);
  Mutator mutator(7);
  int ignored = 0;
  for (int round = 0; round < kRounds; ++round) {
    ignored += ParseLoad(mutator.Mutate(load), kSlots) ? 0 : 1;
    EXPECT_LE(ParseCacheEvents(mutator.Mutate(events)).size(), 10U);
  }
  EXPECT_GT(ignored, 0);
}

} // namespace
} // namespace siskindeal
