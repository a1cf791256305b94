#pragma once
// A small fleet for process tests. Entries and agents are real processes; the
// platform, store, engines and services are stand-ins in the test process.

#include "siskindeal/http.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"
#include "standin/store.h"
#include "support/network.h"
#include "support/process.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

// Settings of the processes and the stand-ins.
struct FleetOptions
{
  // With a network, the processes reach each other and the platform, which is
  // at kPlatformPlace, only through it. The network must outlive the fleet.
  explicit FleetOptions(Network* aNetwork = nullptr)
    : m_network(aNetwork)
  {
    m_engine.m_reportLag = std::chrono::milliseconds(100);
  }

  Network* m_network;

  // Uses short heartbeat, lease and lifetime settings so that tests run fast.
  // Otherwise the processes run with the default settings.
  bool m_shortIntervals = true;
  std::chrono::milliseconds m_vmLag{ 500 };
  std::string m_entryDrain; // longest drain of entries; empty: the default
  standin::EngineOptions m_engine;
  standin::ServiceOptions m_service;
};

class Fleet
{
public:
  static constexpr const char* kPlatformPlace = "platform";

  struct Vm
  {
    std::string m_name;
    std::string m_place;
    std::string m_service; // empty for an entry
    std::string m_upstreamUrl;
    std::string m_platformUrl; // one per VM, so that each can be disconnected
    std::string m_listen;      // RPC listen address
    std::string m_rpc;         // advertised RPC address
    std::string m_http;
    std::unique_ptr<Process> m_process;
  };

  // Starts entries "entry-N", model agents "caddie-N" and plain agents
  // "teesheet-N", alternating between the places kingston and montego. Sets the
  // configuration and waits until every process but the model agents is ready.
  Fleet(int aEntries,
        int aEngines,
        int aServices,
        FleetOptions aOptions = FleetOptions());
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Publishes weights of aBytes as the current release of "booking chat",
  // creates the target "demo" for aVms VMs and waits until it is met. Returns
  // the SHA-256 of the weights.
  std::string RollOut(const std::string& aRelease,
                      std::size_t aBytes,
                      int aVms,
                      std::uint64_t aChunkBytes = 64 << 10);

  const std::map<std::string, Vm>& Vms() const { return m_vms; }
  Vm& GetVm(const std::string& aName) { return m_vms.at(aName); }
  const Vm& GetVm(const std::string& aName) const { return m_vms.at(aName); }
  void StartVm(const std::string& aName);
  // Disconnects a VM from the platform, or every VM if the name is empty.
  void DisconnectFromPlatform(const std::string& aName);
  void ReconnectToPlatform();
  // Sets the configuration, with a request rate limit for the team "starters".
  // Returns the exit status of the command.
  int SetConfig(int aRequestsPerSecond, std::uint64_t aVersion);
  // Runs an operator command and returns its exit status.
  int Operator(const std::vector<std::string>& aArguments);
  std::vector<std::string> EntryNames() const;
  // Returns the URL of a path on the VM's HTTP address.
  std::string Url(const std::string& aVm, const std::string& aPath) const;
  // Returns the VM's /state.
  nlohmann::json State(const std::string& aVm) const;
  // Returns the sync state of each VM, for the message of a failing test.
  std::string States() const;
  // Returns the last lines of each log, for the message of a failing test.
  std::string Logs() const;

  standin::PlatformStandIn& Platform() { return *m_platform; }
  standin::StoreStandIn& Store() { return *m_store; }
  standin::EngineStandIn& Engine(int aIndex) { return *m_engines.at(aIndex); }
  standin::ServiceStandIn& Service(int aIndex)
  {
    return *m_services.at(aIndex);
  }

private:
  void AddVm(const std::string& aName,
             const std::string& aService,
             const std::string& aUpstreamUrl);
  void WriteSettings(const Vm& aVm) const;
  void WriteClientConfig() const;
  std::string EntryList(bool aHttp) const;
  void AwaitOk(const std::string& aUrl);
  std::string File(const std::string& aName) const;

  const FleetOptions m_options;
  std::string m_directory;
  HttpClient m_http;
  std::unique_ptr<standin::PlatformStandIn> m_platform;
  std::unique_ptr<standin::StoreStandIn> m_store;
  std::vector<std::unique_ptr<standin::EngineStandIn>> m_engines;
  std::vector<std::unique_ptr<standin::ServiceStandIn>> m_services;
  std::map<std::string, Vm> m_vms;
};

} // namespace siskindeal
