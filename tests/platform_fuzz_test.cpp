// Fuzzes the decoders of what stores, runners, the origin of weights and other
// processes send, with fixed seeds. Every value that a decoder accepts is
// within its field's range, and everything else is rejected by its own error.

#include "net/http_connection_p.h"
#include "platform/dialect.h"
#include "siskindeal/json.h"
#include "siskindeal/random.h"
#include "siskindeal/wire_values.h"
#include "site/config_relay_p.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

constexpr int kRounds = 4000;
constexpr std::size_t kManyLevels = 100000;
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxSlots = 1000000;

const std::string kRunner =
  R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,)"
  R"("state":"ready","sequence":4,"models":[{"name":"m","version":2}]})";
const std::string kReport =
  R"({"busy":false,"sequence":2,"waiting":1,"running":12,)"
  R"("models":[{"name":"m","version":1,"adapters":[]}]})";
const std::string kVersion = R"({"model":"m","version":3})";
const std::string kPieces =
  R"({"model":"m","version":2,"chunk_bytes":32768,"layers":16,)"
  R"("piece_digests":["9f2c","07be"]})";
const std::string kConfig =
  R"({"version":7,"routes":[{"name":"a","host":"x.example","priority":1,)"
  R"("path_prefix":"/one/","kind":"streaming","timeout_ms":6000,)"
  R"("max_attempts":2,"target_gap_ms":300,)"
  R"("traffic_split":[{"service":"s","weight":90}]}],)"
  R"("services":[{"name":"s","origin":"10.0.0.2:80","engine":{"slots":16,)"
  R"("step_ms":6.73,"read_per_s":30600.0,"stride":6,"per_seq_ms":1,)"
  R"("usual":{"prompt":964,"answer":119},"models":[{"name":"m"}]}}],)"
  R"("limits":{"max_header_bytes":1000,"idle_timeout_ms":5},)"
  R"("tenants":[{"name":"team","api_keys":["k1"],"priority":2}]})";

SiteObject
Object(const std::string& aSpec)
{
  SiteObject object;
  object.m_name = "n";
  object.m_spec = aSpec;
  return object;
}

void
DecodeRunnerInRange(const std::string& aText)
{
  const RunnerRecord runner = dialect::DecodeRunner(Object(aText));
  EXPECT_NE(runner.m_address.m_port, 0) << aText;
  EXPECT_LE(runner.m_slots, kMaxSlots) << aText;
  for (const auto& [model, version] : runner.m_versions) {
    EXPECT_LE(version, kMaxVersion) << aText;
  }
}

void
DecodeReportInRange(const std::string& aText)
{
  for (const auto& [model, version] : dialect::DecodeReport(aText).m_versions) {
    EXPECT_LE(version, kMaxVersion) << aText;
  }
}

void
DecodeVersionInRange(const std::string& aText)
{
  EXPECT_LE(dialect::DecodeVersion(Object(aText)).m_version, kMaxVersion);
}

void
DecodePiecesInRange(const std::string& aText)
{
  const PieceList pieces = dialect::DecodePieceList(aText);
  EXPECT_LE(pieces.m_version, kMaxVersion) << aText;
  EXPECT_LE(pieces.m_pieceBytes, 1ULL << 30U) << aText;
}

void
DecodeConfigInRange(const std::string& aText)
{
  const auto isTime = [](std::chrono::milliseconds aTime) {
    return aTime.count() >= 0 && aTime.count() <= 1000000000000;
  };
  const SiteConfig config = dialect::DecodeConfig(Object(aText));
  EXPECT_LE(config.m_version, kMaxVersion) << aText;
  for (const Route& route : config.m_routes) {
    EXPECT_TRUE(isTime(route.m_timeout)) << aText;
    EXPECT_TRUE(isTime(route.m_targetGap)) << aText;
    EXPECT_LE(route.m_maxAttempts, 1000U) << aText;
    for (const auto& share : route.m_shares) {
      EXPECT_TRUE(share.m_weight >= 0 && share.m_weight <= 1e9) << aText;
    }
  }
  EXPECT_TRUE(isTime(config.m_limits.m_idleTimeout)) << aText;
  for (const auto& [name, service] : config.m_services) {
    if (service.m_origin) {
      EXPECT_NE(service.m_origin->m_port, 0) << aText;
    }
    if (service.m_engine) {
      EXPECT_LE(service.m_engine->m_slots, kMaxSlots) << aText;
      EXPECT_GE(service.m_engine->m_stepMs, 0) << aText;
      EXPECT_GE(service.m_engine->m_promptTokensPerMs, 0) << aText;
    }
  }
}

struct Decoder
{
  std::string m_valid;
  std::function<void(const std::string&)> m_decode;
};

const std::vector<Decoder>&
Decoders()
{
  static const std::vector<Decoder> sDecoders = {
    { kRunner, DecodeRunnerInRange },   { kReport, DecodeReportInRange },
    { kVersion, DecodeVersionInRange }, { kPieces, DecodePiecesInRange },
    { kConfig, DecodeConfigInRange },
  };
  return sDecoders;
}

const std::vector<std::string>&
OddValues()
{
  static const std::vector<std::string> sValues = {
    "-1",
    "0.5",
    "1e999",
    "-1e999",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "1e300",
    "\"10.0.0.1:0\"",
    "\"10.0.0.1:65536\"",
    "\"10.0.0.1:-1\"",
    "\"\xff\"",
    "null",
    "true",
    "{}",
    "[[[[[[]]]]]]",
  };
  return sValues;
}

// Replaces a number or a string, or a byte.
std::string
Mutate(const std::string& aText, Random& aRandom)
{
  std::string text = aText;
  const std::size_t from = aRandom.Below(text.size());
  const std::size_t at = text.find(':', from);
  if (at == std::string::npos || aRandom.Chance(0.2)) {
    text[from] = static_cast<char>(aRandom.Below(256));
    return text;
  }
  const std::size_t end = text.find_first_of(",}]", at);
  return text.replace(
    at + 1, end - at - 1, OddValues()[aRandom.Below(OddValues().size())]);
}

TEST(PlatformFuzz, DecodersAcceptOnlyValuesWithinTheirRanges)
{
  Random random(1);
  for (const Decoder& decoder : Decoders()) {
    decoder.m_decode(decoder.m_valid);
    int rejected = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string text = Mutate(decoder.m_valid, random);
      try {
        decoder.m_decode(text);
      } catch (const std::invalid_argument&) {
        ++rejected;
      }
    }
    EXPECT_GT(rejected, 0);
  }
}

TEST(PlatformFuzz, NumbersThatDoNotFitRejectTheEntry)
{
  const std::pair<std::string, std::string> fields[] = {
    { R"("slots":8)", R"("slots":)" },
    { R"("version":2)", R"("version":)" },
  };
  for (const auto& [field, key] : fields) {
    for (const char* value :
         { "-1", "0.5", "1e999", "18446744073709551616", "1e300" }) {
      std::string text = kRunner;
      text.replace(text.find(field), field.size(), key + value);
      EXPECT_THROW(dialect::DecodeRunner(Object(text)), std::invalid_argument)
        << text;
    }
  }
  for (const char* address :
       { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1" }) {
    std::string text = kRunner;
    text.replace(text.find("10.0.0.1:80"), 11, address);
    EXPECT_THROW(dialect::DecodeRunner(Object(text)), std::invalid_argument)
      << text;
  }
}

TEST(PlatformFuzz, DeepNestingIsRejectedByEveryDecoder)
{
  std::string objects;
  for (std::size_t i = 0; i < kManyLevels; ++i) {
    objects += R"({"models":)";
  }
  objects += "1" + std::string(kManyLevels, '}');
  const std::string arrays =
    std::string(kManyLevels, '[') + std::string(kManyLevels, ']');
  for (const std::string& nested : { arrays, objects }) {
    for (const Decoder& decoder : Decoders()) {
      EXPECT_THROW(decoder.m_decode(nested), std::invalid_argument);
      for (std::size_t at = decoder.m_valid.find(':'); at != std::string::npos;
           at = decoder.m_valid.find(':', at + 1)) {
        if (decoder.m_valid[at - 1] != '"') {
          continue; // within an address
        }
        std::string text = decoder.m_valid;
        text.insert(at + 1, nested + R"(,"x":)");
        EXPECT_THROW(decoder.m_decode(text), std::invalid_argument);
      }
    }
    EXPECT_THROW(ParseJson(nested), nlohmann::json::exception);
  }
}

TEST(PlatformFuzz, ListsAndWatchesAreDecodedOrRejected)
{
  const std::string entry =
    R"({"metadata":{"name":"n","rev":7,"created":3},"spec":)" + kRunner + "}";
  const std::string list =
    R"({"items":[)" + entry + "," + entry + R"(],"has_more":false,"at":9})";
  const std::string watch =
    R"({"events":[{"object":)" + entry + R"(,"deleted":false}],"at":9})";
  Random random(2);
  int kept = 0;
  for (int round = 0; round < kRounds; ++round) {
    try {
      const SiteObjects page = dialect::DecodeList(Mutate(list, random));
      EXPECT_LE(page.m_objects.size(), 4U);
      kept += page.m_rejected.empty() ? 0 : 1;
      (void)dialect::DecodeWatch(Mutate(watch, random));
    } catch (const std::invalid_argument&) {
      continue;
    }
  }
  EXPECT_GT(kept, 0);
}

TEST(PlatformFuzz, HeaderNumbersAreWithinTheirRanges)
{
  EXPECT_TRUE(dialect::DecodeLoad("3,0,8"));
  for (const char* text : { "4294967295,4294967295,8",
                            "16777217,0,8",
                            "1,18446744073709551616,8",
                            "-1,0,8",
                            "0.5,0,8" }) {
    EXPECT_FALSE(dialect::DecodeLoad(text)) << text;
    EXPECT_FALSE(dialect::DecodeTokens(
      std::string(text).substr(0, std::string(text).rfind(','))))
      << text;
  }
}

TEST(PlatformFuzz, AgesAndPortsOfPeersDoNotWrap)
{
  for (const std::uint64_t age :
       { std::uint64_t{ 0 }, std::uint64_t{ 1 } << 63U, ~std::uint64_t{ 0 } }) {
    EXPECT_GE(MillisFromWire(age).count(), 0);
    EXPECT_LT(MillisFromWire(age), std::chrono::hours(24 * 365 * 50));
  }
  using Limits = std::numeric_limits<std::int64_t>;
  EXPECT_LT(OffsetFromWire(Limits::max()) - OffsetFromWire(Limits::min()),
            std::chrono::hours(24 * 365 * 100));
  EXPECT_EQ(PortFromWire(65535), 65535);
  EXPECT_EQ(PortFromWire(65536 + 80), 0);
  const std::string largest = "18446744073709551615";
  const ConfigQuestion question = ParseConfigQuestion(
    "/config?after=1&age_ms=" + largest + "&wait_ms=" + largest);
  EXPECT_GE(question.m_age.count(), 0);
  EXPECT_GE(question.m_wait.count(), 0);
}

} // namespace

} // namespace siskindeal
