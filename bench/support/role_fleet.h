#pragma once
// Entries and agents as real processes with default settings, stand-ins around
// them, and what each process costs, measured from outside.

#include "standin/engine.h"
#include "standin/platform.h"
#include "support/process.h"

#include <memory>
#include <string>
#include <vector>

namespace siskindeal::bench {

// What a process has used since its start, and holds now.
struct ProcessFigures
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

  // Each process's figures, by the kind of its role.
  std::vector<ProcessFigures> Entries() const { return Ask(m_entries); }
  std::vector<ProcessFigures> Agents() const { return Ask(m_agents); }

private:
  using Processes = std::vector<std::unique_ptr<Process>>;

  std::string WriteSettings(int aIndex, bool aEntry);
  static std::vector<ProcessFigures> Ask(const Processes& aProcesses);

  const std::string m_directory;
  const std::vector<std::string> m_contacts; // rpc addresses of the entries
  std::unique_ptr<standin::PlatformStandIn> m_platform;
  std::vector<std::unique_ptr<standin::EngineStandIn>> m_engines;
  Processes m_entries;
  Processes m_agents;
};

} // namespace siskindeal::bench
