// Measures how long a gateway's loop is busy with a new configuration: decoding
// it and indexing its routes.

#include "gateway/route_index_p.h"
#include "platform/dialect.h"

#include "support/rows.h"

#include <nlohmann/json.hpp>

namespace siskindeal::bench {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int kRoutes = 1770;
constexpr int kServices = 60;
constexpr int kTeams = 200;
constexpr int kRuns = 30;

std::string
WatchBody()
{
  nlohmann::json config = { { "version", 2 } };
  for (int i = 0; i < kServices; ++i) {
    config["services"].push_back({ { "name", "s" + std::to_string(i) } });
  }
  for (int i = 0; i < kTeams; ++i) {
    const std::string name = "team" + std::to_string(i);
    config["tenants"].push_back(
      { { "name", name }, { "api_keys", { name + "-1", name + "-2" } } });
  }
  for (int i = 0; i < kRoutes; ++i) {
    const std::string name = "route" + std::to_string(i);
    config["routes"].push_back(
      { { "name", name },
        { "host", "h" + std::to_string(i % kServices) + ".example" },
        { "path_prefix", "/" + name + "/" },
        { "kind", "idempotent" },
        { "service", "s" + std::to_string(i % kServices) },
        { "timeout_ms", 4000 },
        { "target_latency_ms", 1500 },
        { "max_attempts", 2 },
        { "resumable", false } });
  }
  const nlohmann::json object = {
    { "metadata", { { "name", "main" }, { "rev", 2 } } }, { "spec", config }
  };
  const nlohmann::json event = { { "deleted", false }, { "object", object } };
  return nlohmann::json{ { "events", { event } }, { "at", 2 } }.dump();
}

template<typename Step>
auto
Measure(std::vector<double>& aTimes, Step aStep)
{
  const auto start = std::chrono::steady_clock::now();
  auto result = aStep();
  aTimes.push_back(
    Milliseconds(std::chrono::steady_clock::now() - start).count());
  return result;
}

void
Run()
{
  const std::string body = WatchBody();
  std::vector<double> watch;
  std::vector<double> decode;
  std::vector<double> index;
  std::vector<double> turn;
  for (int i = 0; i < kRuns; ++i) {
    const auto objects =
      Measure(watch, [&] { return dialect::DecodeWatch(body); });
    auto config = Measure(
      decode, [&] { return dialect::DecodeConfig(objects.m_objects.at(0)); });
    Measure(index,
            [&] { return std::make_unique<RouteIndex>(std::move(config)); });
    turn.push_back(watch.back() + decode.back() + index.back());
  }
  const auto print = [](const char* aMetric, std::vector<double>& aTimes) {
    constexpr double kMedian = 0.5;
    Print("config_turn",
          { "1770 routes", aMetric, "ms", Quantile(aTimes, kMedian), {}, {} });
  };
  Print("config_turn",
        { "1770 routes",
          "body",
          "bytes",
          static_cast<double>(body.size()),
          {},
          {} });
  print("watch_decode_p50", watch);
  print("config_decode_p50", decode);
  print("index_p50", index);
  print("turn_p50", turn);
  Print("config_turn",
        { "1770 routes", "turn_max", "ms", Quantile(turn, 1), {}, {} });
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  siskindeal::bench::Run();
  return 0;
}
