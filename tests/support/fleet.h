#pragma once
// A small fleet for process tests: entries and agents as real processes, the
// systems around them as stand-ins inside the test.

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

// How the processes and the stand-ins around them are set.
struct FleetOptions
{
  // With a network, which has to outlive the fleet, the processes reach one
  // another and the platform, which is at kPlatformPlace, only through that.
  explicit FleetOptions(Network* aNetwork = nullptr)
    : m_network(aNetwork)
  {
    m_engine.m_reportLag = std::chrono::milliseconds(100);
  }

  Network* m_network;

  // Short intervals, so that tests are quick; otherwise the product's defaults.
  bool m_quick = true;
  std::chrono::milliseconds m_vmLag{ 500 };
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
    std::string m_service; // empty: an entry
    std::string m_upstreamUrl;
    std::string m_platformUrl; // of its own, so that it can be cut off
    std::string m_listen;      // for the other processes
    std::string m_rpc;         // where they reach it
    std::string m_http;
    std::unique_ptr<Process> m_process;
  };

  // Starts entries "entry-N", model agents "caddie-N" and plain agents
  // "teesheet-N", by turns in kingston and montego, sets the configuration and
  // waits until every process is ready for it.
  Fleet(int aEntries,
        int aEngines,
        int aServices,
        FleetOptions aOptions = FleetOptions());
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Publishes weights of aBytes as the current release of "booking chat",
  // states the target "demo" for aVms VMs and waits until it is met. Returns
  // the SHA-256 of the weights.
  std::string RollOut(const std::string& aRelease,
                      std::size_t aBytes,
                      int aVms,
                      std::uint64_t aChunkBytes = 64 << 10);

  const std::map<std::string, Vm>& Vms() const { return m_vms; }
  Vm& GetVm(const std::string& aName) { return m_vms.at(aName); }
  const Vm& GetVm(const std::string& aName) const { return m_vms.at(aName); }
  void StartVm(const std::string& aName);
  // Cuts a VM off from the platform, or every VM with an empty name.
  void CutOff(const std::string& aName);
  void Rejoin();
  // Sets the configuration with a limit for the team "starters".
  int SetConfig(int aRequestsPerSecond, std::uint64_t aVersion);
  // An operator's command; its exit status.
  int Operator(const std::vector<std::string>& aArguments);
  std::vector<std::string> EntryNames() const;
  // The URL of a path on the VM's HTTP address.
  std::string Url(const std::string& aVm, const std::string& aPath) const;
  // What the VM's /state shows.
  nlohmann::json State(const std::string& aVm) const;
  // What the VMs that answer say of each other, for a failing test.
  std::string States() const;
  // What the logs hold, for a failing test.
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
  void WriteClient() const;
  std::string EntryList(bool aHttp) const;
  void Await(const std::string& aUrl);
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
