#include "siskindeal/fleet_config.h"

#include "siskindeal/error.h"

#include <nlohmann/json.hpp>

#include <initializer_list>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostEntries = 10000; // of one member
constexpr std::int64_t kLongestTimeoutMs = 3600000;
constexpr int kMostPriority = 100;
constexpr double kMostRate = 1e6;

[[noreturn]] void
Refuse(const std::string& aMember, const std::string& aWhat)
{
  throw Error(Reason::BadRequest,
              Verdict::NotRun,
              "configuration member \"" + aMember + "\" " + aWhat);
}

// A JSON object whose members are all read by name; others are refused.
class Members
{
public:
  Members(const Json& aJson,
          std::string aPath,
          std::initializer_list<const char*> aKnown)
    : m_json(aJson)
    , m_path(std::move(aPath))
  {
    if (!aJson.is_object()) {
      Refuse(m_path, "must be an object");
    }
    for (const auto& [name, value] : aJson.items()) {
      if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
        Refuse(Path(name), "is unknown");
      }
    }
  }

  std::string Path(const std::string& aName) const
  {
    return m_path.empty() ? aName : m_path + "." + aName;
  }

  const Json* Find(const char* aName) const
  {
    const auto found = m_json.find(aName);
    return found == m_json.end() ? nullptr : &*found;
  }

  double Number(const char* aName,
                double aDefault,
                double aLeast,
                double aMost) const
  {
    const auto* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || value->get<double>() < aLeast ||
        value->get<double>() > aMost) {
      Refuse(Path(aName),
             "must be a number from " + Json(aLeast).dump() + " to " +
               Json(aMost).dump());
    }
    return value->get<double>();
  }

  std::int64_t Integer(const char* aName,
                       std::int64_t aDefault,
                       std::int64_t aLeast,
                       std::int64_t aMost) const
  {
    const auto* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number_integer() || value->get<std::int64_t>() < aLeast ||
        value->get<std::int64_t>() > aMost) {
      Refuse(Path(aName),
             "must be a whole number from " + std::to_string(aLeast) + " to " +
               std::to_string(aMost));
    }
    return value->get<std::int64_t>();
  }

  std::string Text(const char* aName) const
  {
    const auto* value = Find(aName);
    if (value == nullptr || !value->is_string() ||
        value->get<std::string>().empty()) {
      Refuse(Path(aName), "must be a text that isn't empty");
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
  const Members members(
    aJson, aPath, { "kind", "repeatable_methods", "timeout_ms" });
  ServiceConfig service;
  const auto kind = members.Text("kind");
  if (kind != "model" && kind != "plain") {
    Refuse(members.Path("kind"), "must be \"model\" or \"plain\"");
  }
  service.m_kind =
    kind == "model" ? ServiceConfig::Kind::Model : ServiceConfig::Kind::Plain;
  service.m_timeout = std::chrono::milliseconds(members.Integer(
    "timeout_ms", service.m_timeout.count(), 1, kLongestTimeoutMs));
  if (const auto* methods = members.Find("repeatable_methods")) {
    if (!methods->is_array()) {
      Refuse(members.Path("repeatable_methods"), "must be a list");
    }
    service.m_repeatableMethods.clear();
    for (const auto& method : *methods) {
      if (!method.is_string()) {
        Refuse(members.Path("repeatable_methods"), "must hold only texts");
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
  const Members members(aJson, aPath, { "service", "priority" });
  ClassConfig workClass;
  workClass.m_service = members.Text("service");
  const auto service = aConfig.m_services.find(workClass.m_service);
  if (service == aConfig.m_services.end()) {
    Refuse(members.Path("service"),
           "names no service: \"" + workClass.m_service + "\"");
  }
  if (service->second.m_kind != ServiceConfig::Kind::Model) {
    Refuse(members.Path("service"), "must be a service of kind \"model\"");
  }
  workClass.m_priority = static_cast<int>(
    members.Integer("priority", 0, -kMostPriority, kMostPriority));
  return workClass;
}

TeamConfig
ReadTeam(const Json& aJson, const std::string& aPath)
{
  const Members members(
    aJson, aPath, { "weight", "requests_per_second", "burst" });
  constexpr double kLeastWeight = 0.001;
  TeamConfig team;
  team.m_weight =
    members.Number("weight", team.m_weight, kLeastWeight, kMostRate);
  team.m_requestsPerSecond = members.Number(
    "requests_per_second", team.m_requestsPerSecond, 0, kMostRate);
  team.m_burst = members.Number("burst", team.m_burst, 1, kMostRate);
  return team;
}

template<typename Read>
void
ForEach(const Members& aMembers, const char* aName, const Read& aRead)
{
  const auto* all = aMembers.Find(aName);
  if (all == nullptr) {
    return;
  }
  if (!all->is_object() || all->size() > kMostEntries) {
    Refuse(aMembers.Path(aName),
           "must be an object of at most " + std::to_string(kMostEntries) +
             " members");
  }
  for (const auto& [name, value] : all->items()) {
    if (name.empty()) {
      Refuse(aMembers.Path(aName), "must not hold an empty name");
    }
    aRead(name, value, aMembers.Path(aName) + "." + name);
  }
}

} // namespace

FleetConfig
ParseFleetConfig(const std::string& aJson, std::uint64_t aVersion)
{
  Json json;
  try {
    json = Json::parse(aJson);
  } catch (const Json::exception& failure) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                std::string("configuration isn't JSON: ") + failure.what());
  }
  const Members members(
    json, "", { "services", "classes", "teams", "other_teams" });
  FleetConfig config;
  config.m_version = aVersion;
  ForEach(members, "services", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_services[aName] = ReadService(aValue, aPath);
  });
  ForEach(members, "classes", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_classes[aName] = ReadClass(aValue, aPath, config);
  });
  ForEach(members, "teams", [&](auto& aName, auto& aValue, auto aPath) {
    config.m_teams[aName] = ReadTeam(aValue, aPath);
  });
  if (const auto* others = members.Find("other_teams")) {
    config.m_otherTeams = ReadTeam(*others, members.Path("other_teams"));
  }
  return config;
}

} // namespace siskindeal
