#include "gateway/suspicion_record_p.h"

#include "siskindeal/json.h"
#include "siskindeal/operators.h"
#include "siskindeal/wire_values.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr std::size_t kMaxCrashIdBytes = 320;
constexpr std::uint64_t kMaxAgeMs = 1ULL << 40; // of a crash, when written
constexpr std::int64_t kMaxUnixMs = 1LL << 53;

std::uint64_t
ReadHash(const Json& aJson, const char* aName)
{
  const auto hash = ParseFingerprint(aJson.at(aName).get<std::string>());
  if (!hash) {
    throw std::invalid_argument(std::string(aName) + ": not a hash");
  }
  return *hash;
}

Json
EncodeCrashes(
  const google::protobuf::RepeatedPtrField<v1::PartSuspicion::Crash>& aCrashes)
{
  Json crashes = Json::array();
  for (const v1::PartSuspicion::Crash& crash : aCrashes) {
    crashes.push_back({ { "crash", FormatFingerprint(crash.id()) },
                        { "age_ms", crash.age_ms() } });
  }
  return crashes;
}

void
DecodeCrashes(const Json& aJson,
              milliseconds aAge,
              google::protobuf::RepeatedPtrField<v1::PartSuspicion::Crash>& aTo)
{
  for (const Json& entry : aJson) {
    const milliseconds age =
      MillisFromWire(ReadJsonCount(entry.at("age_ms"), kMaxAgeMs)) + aAge;
    if (age > kMaxRecordAge) {
      continue;
    }
    v1::PartSuspicion::Crash& crash = *aTo.Add();
    crash.set_id(ReadHash(entry, "crash"));
    crash.set_age_ms(static_cast<std::uint64_t>(age.count()));
  }
}

v1::PartSuspicion
DecodePart(const Json& aJson, milliseconds aAge)
{
  v1::PartSuspicion part;
  part.set_part(ReadHash(aJson, "part"));
  part.set_others_complete(aJson.value("others_complete", false));
  DecodeCrashes(aJson.at("crashes"), aAge, *part.mutable_crashes());
  return part;
}

wire::Suspicion
DecodeRequest(const Json& aJson)
{
  wire::Suspicion request;
  request.set_fingerprint(ReadHash(aJson, "request"));
  request.set_quarantined(aJson.value("quarantined", false));
  request.set_version(JsonCountOr(aJson, "version", std::uint64_t{ 0 }));
  for (const Json& entry : aJson.at("crashes")) {
    const auto crash = entry.get<std::string>();
    if (crash.empty() || crash.size() > kMaxCrashIdBytes) {
      throw std::invalid_argument("crashes: name empty or too long");
    }
    request.add_crash_ids(crash);
  }
  request.set_crashes(static_cast<std::uint32_t>(request.crash_ids_size()));
  return request;
}

// Decodes the elements of a member of aJson one by one.
template<typename T, typename Decode>
void
DecodeEach(const Json& aJson,
           const char* aName,
           std::size_t aMax,
           Decode aDecode,
           std::vector<T>& aTo,
           std::vector<std::string>& aRejected)
{
  const auto entries = aJson.find(aName);
  if (entries == aJson.end()) {
    return;
  }
  for (const Json& entry : *entries) {
    if (aTo.size() >= aMax) {
      aRejected.emplace_back(std::string(aName) + ": too many");
      return;
    }
    try {
      aTo.push_back(aDecode(entry));
    } catch (const std::exception& error) {
      aRejected.emplace_back(std::string(aName) + ": " + error.what());
    }
  }
}

} // namespace

std::string
EncodeSuspicionRecord(const SuspicionRecord& aRecord, WallTime aWrittenAt)
{
  Json parts = Json::array();
  for (const v1::PartSuspicion& part : aRecord.m_parts) {
    parts.push_back({ { "part", FormatFingerprint(part.part()) },
                      { "others_complete", part.others_complete() },
                      { "crashes", EncodeCrashes(part.crashes()) } });
  }
  Json requests = Json::array();
  for (const wire::Suspicion& request : aRecord.m_requests) {
    Json crashes = Json::array();
    for (const std::string& crash : request.crash_ids()) {
      crashes.push_back(crash);
    }
    requests.push_back(
      { { "request", FormatFingerprint(request.fingerprint()) },
        { "quarantined", request.quarantined() },
        { "version", request.version() },
        { "crashes", crashes } });
  }
  const auto writtenAt =
    std::chrono::duration_cast<milliseconds>(aWrittenAt.time_since_epoch());
  return Json{
    { "written_at_ms", std::max<std::int64_t>(0, writtenAt.count()) },
    { "parts", parts },
    { "requests", requests }
  }.dump();
}

SuspicionRecord
DecodeSuspicionRecord(const std::string& aText,
                      WallTime aNow,
                      std::vector<std::string>& aRejected)
{
  SuspicionRecord record;
  try {
    const Json json = ParseJson(aText);
    if (!json.is_object()) {
      throw std::invalid_argument("no object");
    }
    const milliseconds now =
      std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch());
    const milliseconds writtenAt(JsonCountOr(
      json, "written_at_ms", std::int64_t{ 0 }, std::int64_t{ kMaxUnixMs }));
    const milliseconds age = std::max(milliseconds(0), now - writtenAt);
    if (age > kMaxRecordAge) {
      return record;
    }
    DecodeEach(
      json,
      "parts",
      kMaxRecordedParts,
      [&](const Json& aPart) { return DecodePart(aPart, age); },
      record.m_parts,
      aRejected);
    DecodeEach(json,
               "requests",
               kMaxRecordedRequests,
               DecodeRequest,
               record.m_requests,
               aRejected);
  } catch (const std::exception& error) {
    aRejected.emplace_back(error.what());
  }
  return record;
}

std::string
ContentOf(const SuspicionRecord& aRecord)
{
  std::set<std::string> entries;
  for (const v1::PartSuspicion& part : aRecord.m_parts) {
    for (const v1::PartSuspicion::Crash& crash : part.crashes()) {
      entries.insert("part " + FormatFingerprint(part.part()) + ' ' +
                     FormatFingerprint(crash.id()));
    }
  }
  for (const wire::Suspicion& request : aRecord.m_requests) {
    for (const std::string& crash : request.crash_ids()) {
      entries.insert("request " + FormatFingerprint(request.fingerprint()) +
                     (request.quarantined() ? " q " : " ") + crash);
    }
  }
  std::string content;
  for (const std::string& entry : entries) {
    content += entry + '\n';
  }
  return content;
}

} // namespace siskindeal
