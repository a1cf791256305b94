#include "platform/object_json_p.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cctype>

namespace siskindeal {

namespace {

PlatformObject
ObjectFromJson(const nlohmann::json& aJson)
{
  PlatformObject object;
  object.m_key = aJson.at("key").get<std::string>();
  object.m_version = aJson.at("version").get<std::uint64_t>();
  object.m_value = aJson.value("value", std::string());
  object.m_changeId = aJson.value("change_id", std::string());
  object.m_deleted = aJson.value("deleted", false);
  return object;
}

} // namespace

PlatformObject
ParseObject(const std::string& aJson)
{
  return ObjectFromJson(ParseJson(aJson));
}

PlatformChanges
ParseChanges(const std::string& aJson)
{
  const auto json = ParseJson(aJson);
  PlatformChanges changes;
  changes.m_outcome = PlatformOutcome::Ok;
  changes.m_revision = json.at("revision").get<std::uint64_t>();
  for (const auto& object : json.at("objects")) {
    changes.m_objects.push_back(ObjectFromJson(object));
  }
  return changes;
}

VmList
ParseVms(const std::string& aJson)
{
  const auto json = ParseJson(aJson);
  VmList list;
  list.m_outcome = PlatformOutcome::Ok;
  for (const auto& vm : json.at("vms")) {
    VmListing listing;
    listing.m_vm = vm.at("vm").get<std::string>();
    listing.m_place = vm.value("place", std::string());
    listing.m_service = vm.value("service", std::string());
    listing.m_rpcAddress = vm.value("rpc", std::string());
    listing.m_leaving = vm.value("leaving", false);
    list.m_vms.push_back(std::move(listing));
  }
  return list;
}

std::string
EncodeKey(const std::string& aKey)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aKey) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~/").find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

} // namespace siskindeal
