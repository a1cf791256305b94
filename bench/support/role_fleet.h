#pragma once
// Entries and agents as real processes with default settings, among stand-ins.
// The resource usage of each process is read from the system.

#include "standin/engine.h"
#include "standin/platform.h"
#include "support/process.h"

#include <memory>
#include <string>
#include <vector>

namespace siskindeal::bench {

// Resource usage of a process: CPU time since its start, current memory and the
// bytes of its open connections.
struct ProcessUsage
{
  double m_cpuSeconds = 0;
  double m_residentMb = 0;
  double m_bytes = 0; // payload of the open TCP connections, both directions
};

class RoleFleet
{
public:
  RoleFleet(int aEntries, int aAgents);
  ~RoleFleet();
  RoleFleet(const RoleFleet&) = delete;
  RoleFleet& operator=(const RoleFleet&) = delete;

  // Return the usage of each entry or agent process.
  std::vector<ProcessUsage> Entries() const { return ReadUsage(m_entries); }
  std::vector<ProcessUsage> Agents() const { return ReadUsage(m_agents); }

private:
  using Processes = std::vector<std::unique_ptr<Process>>;

  std::string WriteSettings(int aIndex, bool aEntry);
  static std::vector<ProcessUsage> ReadUsage(const Processes& aProcesses);

  const std::string m_directory;
  const std::vector<std::string> m_entryAddresses; // RPC
  std::unique_ptr<standin::PlatformStandIn> m_platform;
  std::vector<std::unique_ptr<standin::EngineStandIn>> m_engines;
  Processes m_entries;
  Processes m_agents;
};

} // namespace siskindeal::bench
