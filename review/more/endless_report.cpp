// Two of fourteen model runners are in trouble: they answer with bytes that are
// no answer and don't end. The stagers beside them may not exceed the memory of
// their machines, at which the platform kills them.

#include "../standin/lab.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace review;
using nlohmann::json;

constexpr int kRunners = 14;
constexpr int kInTrouble = 2;                  // a share of 0.143
constexpr std::int64_t kTroubleMs = 6000;      // for_s of srv_grey
constexpr std::int64_t kMemoryKb = 128000;     // memory_mb of a side machine
constexpr std::int64_t kMostBytes = 400000000; // on one connection
constexpr int kEndsThatCount = 3;
constexpr int kMachinesThatCount = 2;

std::string
EngineConfig(const std::string& aOrigin)
{
  return json{
    { "version", 3 },
    { "routes", json::array() },
    { "services",
      { { { "name", "caddie-llm" },
          { "health_path", "/healthz" },
          { "engine",
            { { "slots", 16 },
              { "step_ms", 6.73 },
              { "models", { { { "name", "m0" } } } } } } },
        { { "name", "clubhouse" },
          { "origin", aOrigin },
          { "zone", "zone-1" } } } },
    { "tenants", json::array() }
  }.dump();
}

// A model runner that holds version 1. In trouble, the size of a chunk of its
// report never ends.
class EngineRunner
{
public:
  EngineRunner(const std::string& aHost, const std::atomic<bool>& aTrouble)
    : m_trouble(aTrouble)
    , m_server(aHost,
               0,
               [this](Connection& aConnection, const Message& aRequest) {
                 return Answer(aConnection, aRequest);
               })
  {
  }
  std::string Address() const { return m_server.Address(); }

private:
  bool Answer(Connection& aConnection, const Message& aRequest)
  {
    if (m_trouble) {
      std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;";
      const std::string more(1 << 16, 'x');
      for (std::int64_t sent = 0; m_trouble && sent < kMostBytes;
           sent += static_cast<std::int64_t>(more.size())) {
        if (!aConnection.Send(bytes)) {
          return false;
        }
        bytes = more;
      }
      return false;
    }
    const bool isReport = aRequest.Target() == "/siskindeal/report";
    return aConnection.Send(Response(
      isReport ? 200 : 404,
      { { "Content-Type", "application/json" } },
      R"({"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],)"
      R"("busy":false,"sequence":0,"waiting":0,"running":0})"));
  }

  const std::atomic<bool>& m_trouble;
  Server m_server;
};

int
Play(const Options& aOptions)
{
  Record record(aOptions.m_folder + "/record.txt");
  Store store("127.0.0.1", record);
  store.Put("config", "main", EngineConfig("127.0.0.1:9"));
  std::atomic<bool> trouble{ false };
  const std::atomic<bool> never{ false };
  std::vector<std::string> hosts;
  std::vector<std::unique_ptr<EngineRunner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    hosts.push_back("127.0.0." + std::to_string(41 + i));
    runners.push_back(std::make_unique<EngineRunner>(
      hosts.back(), i < kInTrouble ? trouble : never));
    store.Put("servers",
              "i-" + std::to_string(i),
              json{ { "service", "caddie-llm" },
                    { "address", runners.back()->Address() },
                    { "zone", "zone-1" },
                    { "slots", 16 },
                    { "state", "ready" } }
                .dump());
  }
  const std::uint16_t port = FreePorts(hosts, 2);
  std::vector<std::string> files;
  for (int i = 0; i < kRunners; ++i) {
    const std::string name =
      aOptions.m_temporary + "/stager-" + std::to_string(i);
    files.push_back(name);
    std::ofstream(name + ".toml")
      << "[node]\nvm = \"side-" << i << "\"\nplace = \"zone-1\"\nrpc = \""
      << hosts[i] << ":" << port << "\"\nhttp = \"" << hosts[i] << ":"
      << port + 1 << "\"\n\n[platform]\nurl = \"http://" << store.Address()
      << "\"\n\n[stager]\nrunner = \"" << runners[i]->Address()
      << "\"\nservice = \"caddie-llm\"\nlink_megabits = 7.6\n"
      << "version_within = \"8000ms\"\n\n[stager.regions]\n"
      << "\"zone-1\" = \"region-1\"\n";
  }
  std::vector<std::unique_ptr<Process>> stagers(kRunners);
  std::vector<int> ends(kRunners);
  std::vector<std::int64_t> most(kRunners);
  const auto start = [&](int aStager) {
    stagers[aStager] = std::make_unique<Process>(
      std::vector<std::string>{
        aOptions.m_binary, "stager", "--config", files[aStager] + ".toml" },
      files[aStager] + ".log");
  };
  for (int i = 0; i < kRunners; ++i) {
    start(i);
  }
  const std::int64_t begin = Now() + 4000;
  bool began = false;
  while (Now() < begin + kTroubleMs + 3000) {
    if (!began && Now() >= begin) {
      began = true;
      trouble = aOptions.m_trouble;
      record.Add("runners 0 and 1: in trouble");
    }
    if (Now() > begin + kTroubleMs) {
      trouble = false;
    }
    for (int i = 0; i < kRunners; ++i) {
      const std::int64_t memory = stagers[i]->MemoryKb();
      most[i] = std::max(most[i], memory);
      if (memory > kMemoryKb) {
        record.Add("stager " + std::to_string(i) + ": " +
                   std::to_string(memory) +
                   " KB, over the limit; killed and started again");
        ++ends[i];
        start(i);
      } else if (!stagers[i]->Running()) {
        record.Add("stager " + std::to_string(i) + ": ended by itself, " +
                   stagers[i]->End());
        ++ends[i];
        start(i);
      }
    }
    SleepUntil(Now() + 5);
  }
  trouble = false;
  int machines = 0;
  std::string text = "ends and most KB:";
  for (int i = 0; i < kRunners; ++i) {
    machines += ends[i] >= kEndsThatCount ? 1 : 0;
    text += " " + std::to_string(ends[i]) + "/" + std::to_string(most[i]);
  }
  std::cout << text << '\n';
  record.Add("case: " + text);
  return machines >= kMachinesThatCount ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Play(ReadOptions(aCount, aArguments));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCouldNotRun;
  }
}
