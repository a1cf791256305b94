#include "siskindeal/target.h"

#include "siskindeal/error.h"
#include "siskindeal/json.h"
#include "siskindeal/overloaded.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPlaces = 256;
constexpr std::uint32_t kMaxVms = 100000;
constexpr std::int64_t kMaxWithinSeconds = 7 * 24 * 3600;

[[noreturn]] void
ThrowBadMember(const std::string& aMember, const std::string& aExpected)
{
  throw Error(
    Reason::BadRequest, Verdict::NotRun, aMember + ": expected " + aExpected);
}

bool
IsValidName(const std::string& aText)
{
  const auto isAllowed = [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
           aCharacter == ' ';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.front() != ' ' && aText.back() != ' ' &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

std::string
ReadName(const Json& aTarget, const char* aMember)
{
  const auto found = aTarget.find(aMember);
  if (found == aTarget.end() || !found->is_string() ||
      !IsValidName(found->get<std::string>())) {
    ThrowBadMember(aMember,
                   "up to 64 letters, digits, \"-\" and inner spaces, such as "
                   "\"booking chat\"");
  }
  return found->get<std::string>();
}

void
CheckMemberNames(const Json& aTarget)
{
  static const std::set<std::string> kKnownMembers = {
    "name",     "class",       "vms",       "share",  "places",
    "within_s", "time_weight", "stated_at", "version"
  };
  static const std::set<std::string> kForbiddenMembers = {
    "weights", "release",   "digest", "model",    "adapter",   "manifest",
    "address", "addresses", "vm",     "upstream", "upstreams", "origin"
  };
  for (const auto& [member, value] : aTarget.items()) {
    if (kForbiddenMembers.count(member) != 0) {
      ThrowBadMember(
        member,
        "no such member; a target names a class of work, never weights, "
        "VMs or addresses");
    }
    if (kKnownMembers.count(member) == 0) {
      ThrowBadMember(member,
                     "one of name, class, vms, share, places, within_s, "
                     "time_weight");
    }
  }
}

TargetAmount
ReadAmount(const Json& aTarget)
{
  const auto vms = aTarget.find("vms");
  const auto share = aTarget.find("share");
  if ((vms == aTarget.end()) == (share == aTarget.end())) {
    ThrowBadMember("vms", "either vms or share");
  }
  if (vms != aTarget.end()) {
    if (!vms->is_number_unsigned() || vms->get<std::uint64_t>() == 0 ||
        vms->get<std::uint64_t>() > kMaxVms) {
      ThrowBadMember("vms",
                     "a whole number from 1 to " + std::to_string(kMaxVms));
    }
    return VmCount{ vms->get<std::uint32_t>() };
  }
  const double value = share->is_number() ? share->get<double>() : 0;
  if (!(value > 0 && value <= 1)) {
    ThrowBadMember("share", "a number above 0 and at most 1");
  }
  return VmShare{ value };
}

std::vector<std::string>
ReadPlaces(const Json& aTarget)
{
  const auto found = aTarget.find("places");
  if (found == aTarget.end()) {
    return {};
  }
  if (!found->is_array() || found->size() > kMaxPlaces) {
    ThrowBadMember("places",
                   "a list of place names; an empty list means every place");
  }
  std::set<std::string> places;
  for (const Json& place : *found) {
    if (!place.is_string() || !IsValidName(place.get<std::string>()) ||
        !places.insert(place.get<std::string>()).second) {
      ThrowBadMember("places", "a list of place names without duplicates");
    }
  }
  return { places.begin(), places.end() };
}

std::optional<std::chrono::seconds>
ReadWithin(const Json& aTarget)
{
  const auto found = aTarget.find("within_s");
  if (found == aTarget.end()) {
    return std::nullopt;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
      found->get<std::uint64_t>() > kMaxWithinSeconds) {
    ThrowBadMember("within_s", "whole seconds from 1 to 604800, a week");
  }
  return std::chrono::seconds(found->get<std::int64_t>());
}

std::optional<double>
ReadTimeWeight(const Json& aTarget)
{
  const auto found = aTarget.find("time_weight");
  if (found == aTarget.end()) {
    return std::nullopt;
  }
  const double value = found->is_number() ? found->get<double>() : -1;
  if (!(value >= 0 && value <= 1)) {
    ThrowBadMember("time_weight",
                   "0 to 1; 1 counts only time, 0 only bytes from the origin");
  }
  return value;
}

std::uint64_t
ReadStatedAt(const Json& aTarget)
{
  const auto found = aTarget.find("stated_at");
  if (found == aTarget.end()) {
    return 0;
  }
  if (!found->is_number_unsigned()) {
    ThrowBadMember("stated_at", "Unix time in seconds");
  }
  return found->get<std::uint64_t>();
}

} // namespace

TargetSpec
ParseTarget(const std::string& aJson, std::uint64_t aVersion)
{
  Json target;
  std::set<std::string> seenMembers;
  std::string duplicate;
  const auto findDuplicate =
    [&](int aDepth, Json::parse_event_t aEvent, Json& aParsed) {
      const bool isMember = aDepth == 1 && aEvent == Json::parse_event_t::key;
      if (isMember && !seenMembers.insert(aParsed.get<std::string>()).second) {
        duplicate = aParsed.get<std::string>();
      }
      return true;
    };
  try {
    CheckJsonDepth(aJson);
    target = Json::parse(aJson, findDuplicate);
  } catch (const Json::exception& error) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "the target is not valid JSON: " + std::string(error.what()));
  }
  if (!target.is_object()) {
    ThrowBadMember("target", "a JSON object");
  }
  if (!duplicate.empty()) {
    ThrowBadMember(duplicate, "only once");
  }
  CheckMemberNames(target);
  TargetSpec spec;
  spec.m_name = ReadName(target, "name");
  spec.m_class = ReadName(target, "class");
  spec.m_amount = ReadAmount(target);
  spec.m_places = ReadPlaces(target);
  spec.m_timeLimit = ReadWithin(target);
  spec.m_timeWeight = ReadTimeWeight(target);
  spec.m_statedAt = ReadStatedAt(target);
  spec.m_version = aVersion;
  return spec;
}

std::string
ToJson(const TargetSpec& aTarget)
{
  Json target = { { "name", aTarget.m_name }, { "class", aTarget.m_class } };
  std::visit(
    Overloaded{
      [&](const VmCount& aCount) { target["vms"] = aCount.m_vms; },
      [&](const VmShare& aShare) { target["share"] = aShare.m_share; } },
    aTarget.m_amount);
  if (!aTarget.m_places.empty()) {
    target["places"] = aTarget.m_places;
  }
  if (aTarget.m_timeLimit) {
    target["within_s"] = aTarget.m_timeLimit->count();
  }
  if (aTarget.m_timeWeight) {
    target["time_weight"] = *aTarget.m_timeWeight;
  }
  if (aTarget.m_statedAt != 0) {
    target["stated_at"] = aTarget.m_statedAt;
  }
  if (aTarget.m_version != 0) {
    target["version"] = aTarget.m_version;
  }
  return target.dump();
}

std::string
ToJson(const TargetStatus& aStatus)
{
  Json status = { { "name", aStatus.m_name },
                  { "met", aStatus.m_met },
                  { "wanted", aStatus.m_wanted },
                  { "serving", aStatus.m_serving },
                  { "release", aStatus.m_release },
                  { "serving_by_release", aStatus.m_servingByRelease },
                  { "hold_up", aStatus.m_blockedReason },
                  { "estimate_s", nullptr },
                  { "progress", aStatus.m_progress },
                  { "version", aStatus.m_version },
                  { "history", aStatus.m_history } };
  if (aStatus.m_estimate) {
    status["estimate_s"] = aStatus.m_estimate->count();
  }
  return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

TargetStatus
ParseTargetStatus(const std::string& aJson)
{
  try {
    const Json json = ParseJson(aJson);
    TargetStatus status;
    status.m_name = json.at("name");
    status.m_met = json.at("met");
    status.m_wanted = json.at("wanted");
    status.m_serving = json.at("serving");
    status.m_release = json.at("release");
    status.m_servingByRelease =
      json.at("serving_by_release").get<std::map<std::string, std::uint32_t>>();
    status.m_blockedReason = json.at("hold_up");
    if (!json.at("estimate_s").is_null()) {
      status.m_estimate =
        std::chrono::seconds(json.at("estimate_s").get<std::int64_t>());
    }
    status.m_progress = json.at("progress");
    status.m_version = json.at("version");
    status.m_history = json.at("history").get<std::vector<std::string>>();
    return status;
  } catch (const Json::exception& error) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "not a target status: " + std::string(error.what()));
  }
}

} // namespace siskindeal
