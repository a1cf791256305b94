#include "siskindeal/claims.h"

#include "siskindeal/digest.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

constexpr std::size_t kKeyDigits = 24;    // 96 bits
constexpr std::size_t kDigestDigits = 12; // 48 bits
constexpr std::size_t kRecordBytes = kKeyDigits + kDigestDigits + 1;

Error
Malformed(const std::string& aWhat)
{
  return Error(
    Reason::Internal, Verdict::NotRun, "malformed claim record: " + aWhat);
}

} // namespace

std::string
ClaimKeyOf(const std::string& aService,
           const std::string& aTeam,
           const std::string& aIdempotencyKey)
{
  const auto text = std::to_string(aService.size()) + ':' + aService +
                    std::to_string(aTeam.size()) + ':' + aTeam +
                    aIdempotencyKey;
  return Sha256Hex(text).substr(0, kKeyDigits);
}

std::string
ClaimDigestOf(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody)
{
  return Sha256Hex(aMethod + '\n' + aPath + '\n' + aBody)
    .substr(0, kDigestDigits);
}

std::uint32_t
ClaimShardOf(const std::string& aClaimKey)
{
  return static_cast<std::uint32_t>(StableHash(aClaimKey) % kClaimShards);
}

std::string
ClaimHomeOf(const std::string& aService,
            std::uint32_t aShard,
            const std::vector<std::string>& aAgents)
{
  const auto seed = StableHash(aService, aShard + 1);
  std::string best;
  std::uint64_t bestScore = 0;
  for (const auto& agent : aAgents) {
    const auto score = StableHash(agent, seed);
    if (best.empty() || score > bestScore ||
        (score == bestScore && agent < best)) {
      best = agent;
      bestScore = score;
    }
  }
  return best;
}

std::string
ClaimShard::EncodeRecords(const Records& aRecords)
{
  constexpr char kStateLetters[] = { 'C', 'R', 'N' }; // by State
  std::string text;
  text.reserve(aRecords.size() * kRecordBytes);
  for (const auto& [key, record] : aRecords) {
    text += key;
    text += record.m_digest;
    text += kStateLetters[static_cast<std::size_t>(record.m_state)];
  }
  return text;
}

ClaimShard::Records
ClaimShard::DecodeRecords(const std::string& aText)
{
  if (aText.size() % kRecordBytes != 0) {
    throw Malformed("length is not a multiple of the record size");
  }
  Records records;
  for (std::size_t offset = 0; offset < aText.size(); offset += kRecordBytes) {
    Record record;
    record.m_digest = aText.substr(offset + kKeyDigits, kDigestDigits);
    switch (aText[offset + kRecordBytes - 1]) {
      case 'C':
        record.m_state = State::Claimed;
        break;
      case 'R':
        record.m_state = State::Ran;
        break;
      case 'N':
        record.m_state = State::NotRun;
        break;
      default:
        throw Malformed("unknown state letter");
    }
    records[aText.substr(offset, kKeyDigits)] = std::move(record);
  }
  return records;
}

std::string
ClaimShard::EncodeHead(const Head& aHead)
{
  nlohmann::json json;
  json["epoch"] = aHead.m_epoch;
  json["home"] = aHead.m_home;
  json["sealed"] = nlohmann::json::array();
  for (const auto& sealed : aHead.m_sealed) {
    json["sealed"].push_back(sealed.m_key);
  }
  json["records"] = EncodeRecords(aHead.m_records);
  return json.dump();
}

ClaimShard::Head
ClaimShard::DecodeHead(const std::string& aJson)
{
  try {
    const auto json = ParseJson(aJson);
    Head head;
    head.m_epoch = json.at("epoch").get<std::uint64_t>();
    head.m_home = json.at("home").get<std::string>();
    for (const auto& key : json.at("sealed")) {
      head.m_sealed.push_back({ key.get<std::string>(), {} });
    }
    head.m_records = DecodeRecords(json.at("records").get<std::string>());
    return head;
  } catch (const nlohmann::json::exception& error) {
    throw Malformed(error.what());
  }
}

} // namespace siskindeal
