#include "siskindeal/fleet_config.h"

#include "siskindeal/error.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

#include <initializer_list>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxMembers = 10000; // of one object
constexpr std::int64_t kMaxTimeoutMs = 3600000;
constexpr int kMaxPriority = 100;
constexpr double kMaxRate = 1e6;

[[noreturn]] void
ThrowInvalid(const std::string& aMember, const std::string& aWhat)
{
  throw Error(Reason::BadRequest,
              Verdict::NotRun,
              "configuration member \"" + aMember + "\" " + aWhat);
}

// Reads a JSON object by member name. Rejects members that are not known.
class ObjectReader
{
public:
  ObjectReader(const Json& aJson,
               std::string aPath,
               std::initializer_list<const char*> aKnown)
    : m_json(aJson)
    , m_path(std::move(aPath))
  {
    if (!aJson.is_object()) {
      ThrowInvalid(m_path, "must be an object");
    }
    for (const auto& [name, value] : aJson.items()) {
      if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
        ThrowInvalid(MemberPath(name), "is unknown");
      }
    }
  }

  std::string MemberPath(const std::string& aName) const
  {
    return m_path.empty() ? aName : m_path + "." + aName;
  }

  const Json* Find(const char* aName) const
  {
    const auto found = m_json.find(aName);
    return found == m_json.end() ? nullptr : &*found;
  }

  double ReadNumber(const char* aName,
                    double aDefault,
                    double aMin,
                    double aMax) const
  {
    const auto* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || value->get<double>() < aMin ||
        value->get<double>() > aMax) {
      ThrowInvalid(MemberPath(aName),
                   "must be a number from " + Json(aMin).dump() + " to " +
                     Json(aMax).dump());
    }
    return value->get<double>();
  }

  std::int64_t ReadInteger(const char* aName,
                           std::int64_t aDefault,
                           std::int64_t aMin,
                           std::int64_t aMax) const
  {
    const auto* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number_integer() || value->get<std::int64_t>() < aMin ||
        value->get<std::int64_t>() > aMax) {
      ThrowInvalid(MemberPath(aName),
                   "must be an integer from " + std::to_string(aMin) + " to " +
                     std::to_string(aMax));
    }
    return value->get<std::int64_t>();
  }

  std::string ReadString(const char* aName) const
  {
    const auto* value = Find(aName);
    if (value == nullptr || !value->is_string() ||
        value->get<std::string>().empty()) {
      ThrowInvalid(MemberPath(aName), "must be a non-empty string");
    }
    return value->get<std::string>();
  }

private:
  const Json& m_json;
  const std::string m_path;
};

ServiceConfig
ReadService(const Json& aJson, const std::string& aPath)
{
  const ObjectReader reader(
    aJson, aPath, { "kind", "repeatable_methods", "timeout_ms" });
  ServiceConfig service;
  const auto kind = reader.ReadString("kind");
  if (kind != "model" && kind != "plain") {
    ThrowInvalid(reader.MemberPath("kind"), "must be \"model\" or \"plain\"");
  }
  service.m_kind =
    kind == "model" ? ServiceConfig::Kind::Model : ServiceConfig::Kind::Plain;
  service.m_timeout = std::chrono::milliseconds(reader.ReadInteger(
    "timeout_ms", service.m_timeout.count(), 1, kMaxTimeoutMs));
  if (const auto* methods = reader.Find("repeatable_methods")) {
    if (!methods->is_array()) {
      ThrowInvalid(reader.MemberPath("repeatable_methods"), "must be an array");
    }
    service.m_repeatableMethods.clear();
    for (const auto& method : *methods) {
      if (!method.is_string()) {
        ThrowInvalid(reader.MemberPath("repeatable_methods"),
                     "must contain only strings");
      }
      service.m_repeatableMethods.insert(method.get<std::string>());
    }
  }
  return service;
}

ClassConfig
ReadClass(const Json& aJson,
          const std::string& aPath,
          const FleetConfig& aConfig)
{
  const ObjectReader reader(aJson, aPath, { "service", "priority" });
  ClassConfig workClass;
  workClass.m_service = reader.ReadString("service");
  const auto service = aConfig.m_services.find(workClass.m_service);
  if (service == aConfig.m_services.end()) {
    ThrowInvalid(reader.MemberPath("service"),
                 "refers to an unknown service: \"" + workClass.m_service +
                   "\"");
  }
  if (service->second.m_kind != ServiceConfig::Kind::Model) {
    ThrowInvalid(reader.MemberPath("service"),
                 "must be a service of kind \"model\"");
  }
  workClass.m_priority = static_cast<int>(
    reader.ReadInteger("priority", 0, -kMaxPriority, kMaxPriority));
  return workClass;
}

TeamConfig
ReadTeam(const Json& aJson, const std::string& aPath)
{
  const ObjectReader reader(
    aJson, aPath, { "weight", "requests_per_second", "burst" });
  constexpr double kMinWeight = 0.001;
  TeamConfig team;
  team.m_weight =
    reader.ReadNumber("weight", team.m_weight, kMinWeight, kMaxRate);
  team.m_requestsPerSecond = reader.ReadNumber(
    "requests_per_second", team.m_requestsPerSecond, 0, kMaxRate);
  team.m_burst = reader.ReadNumber("burst", team.m_burst, 1, kMaxRate);
  return team;
}

template<typename ReadMember>
void
ForEachMember(const ObjectReader& aReader,
              const char* aName,
              const ReadMember& aRead)
{
  const auto* all = aReader.Find(aName);
  if (all == nullptr) {
    return;
  }
  if (!all->is_object() || all->size() > kMaxMembers) {
    ThrowInvalid(aReader.MemberPath(aName),
                 "must be an object of at most " + std::to_string(kMaxMembers) +
                   " members");
  }
  for (const auto& [name, value] : all->items()) {
    if (name.empty()) {
      ThrowInvalid(aReader.MemberPath(aName), "must not contain an empty name");
    }
    aRead(name, value, aReader.MemberPath(aName) + "." + name);
  }
}

} // namespace

FleetConfig
ParseFleetConfig(const std::string& aJson, std::uint64_t aVersion)
{
  Json json;
  try {
    json = ParseJson(aJson);
  } catch (const Json::exception& failure) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                std::string("configuration is not valid JSON: ") +
                  failure.what());
  }
  const ObjectReader reader(
    json, "", { "services", "classes", "teams", "other_teams" });
  FleetConfig config;
  config.m_version = aVersion;
  ForEachMember(reader, "services", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_services[aName] = ReadService(aValue, aPath);
  });
  ForEachMember(reader, "classes", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_classes[aName] = ReadClass(aValue, aPath, config);
  });
  ForEachMember(reader, "teams", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_teams[aName] = ReadTeam(aValue, aPath);
  });
  if (const auto* others = reader.Find("other_teams")) {
    config.m_otherTeams = ReadTeam(*others, reader.MemberPath("other_teams"));
  }
  return config;
}

} // namespace siskindeal
