#include "agent/weights_record_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

[[noreturn]] void
ThrowBadRequest(const std::string& aWhat)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, aWhat);
}

} // namespace

std::string
ToJson(const WeightsRecord& aRecord)
{
  auto entries = Json::array();
  for (const auto& entry : aRecord.m_entries) {
    entries.push_back(Json{ { "digest", entry.m_digest },
                            { "shard", entry.m_shard },
                            { "classes", entry.m_classes },
                            { "loaded", entry.m_loaded } });
  }
  return Json{ { "tokens", aRecord.m_tokens }, { "entries", entries } }.dump();
}

WeightsRecord
ParseWeightsRecord(const std::string& aJson)
{
  WeightsRecord record;
  try {
    const auto json = ParseJson(aJson);
    json.at("tokens").get_to(record.m_tokens);
    for (const auto& entry : json.at("entries")) {
      record.m_entries.push_back(
        WeightsRecord::Entry{ entry.at("digest").get<std::string>(),
                              entry.at("shard").get<std::string>(),
                              entry.at("classes").get<std::set<std::string>>(),
                              entry.at("loaded").get<bool>() });
    }
  } catch (const Json::exception& failure) {
    ThrowBadRequest("malformed weights record: " + std::string(failure.what()));
  }
  return record;
}

std::string
RecordStagingName()
{
  return Sha256Hex("siskindeal-weights-record-1");
}

std::string
ManifestStagingName(const std::string& aDigest)
{
  return Sha256Hex("siskindeal-staged-manifest-1\n" + aDigest);
}

std::map<std::string, std::uint64_t>
ParseLeaseTokens(const std::string& aJson)
{
  const std::string prefix = kLeasePrefix;
  std::map<std::string, std::uint64_t> tokens;
  try {
    const auto listing = ParseJson(aJson);
    for (const auto& object : listing.at("objects")) {
      const auto key = object.at("key").get<std::string>();
      if (key.rfind(prefix, 0) != 0 || object.value("deleted", false)) {
        continue;
      }
      const auto lease = ParseJson(object.at("value").get<std::string>());
      auto& token = tokens[key.substr(prefix.size())];
      token = std::max(token, lease.value("token", std::uint64_t{ 0 }));
    }
  } catch (const Json::exception& failure) {
    ThrowBadRequest("malformed lease objects: " + std::string(failure.what()));
  }
  return tokens;
}

} // namespace siskindeal
