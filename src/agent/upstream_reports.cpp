#include "siskindeal/json.h"
#include "upstream_reports_p.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

std::optional<wire::CacheEvent>
ParseCacheEvent(const Json& aJson)
{
  try {
    std::uint64_t prefix = 0;
    if (!absl::SimpleAtoi(aJson.at("prefix_hash").get<std::string>(),
                          &prefix)) {
      return std::nullopt;
    }
    wire::CacheEvent event;
    event.set_sequence(aJson.at("sequence").get<std::uint64_t>());
    event.set_prefix_hash(prefix);
    event.set_evicted(aJson.value("evicted", false));
    return event;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::optional<wire::Load>
ParseLoad(const std::string& aJson, std::uint32_t aSlots)
{
  const auto json = ParseJsonOrDiscard(aJson);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    wire::Load load;
    load.set_running(json.value("running", 0U));
    load.set_waiting(json.value("waiting", 0U));
    load.set_slots(json.value("slots", aSlots));
    load.set_report_age_ms(json.value("age_ms", std::uint64_t{ 0 }));
    load.set_kv_free_tokens(json.value("kv_free_tokens", std::uint64_t{ 0 }));
    load.set_tokens_per_second(json.value("tokens_per_second", 0.0));
    return load;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::vector<wire::CacheEvent>
ParseCacheEvents(const std::string& aJson)
{
  std::vector<wire::CacheEvent> events;
  const auto json = ParseJsonOrDiscard(aJson);
  if (!json.is_object() || !json.contains("events")) {
    return events;
  }
  for (const auto& item : json["events"]) {
    if (const auto event = ParseCacheEvent(item)) {
      events.push_back(*event);
    }
  }
  return events;
}

} // namespace siskindeal
