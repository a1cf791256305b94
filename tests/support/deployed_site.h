#pragma once
// The processes of deploy/, started on loopback as the platform starts them:
// one host (127.x.y.z) a VM, the same ports on each, and settings rendered from
// the templates of the roles.

#include "siskindeal/site.h"
#include "support/process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Renders a template of the platform: values ({{a.b}}, {{a.0}}), sections over
// lists and tables ({{#a}}..{{/a}}) with {{.}}, {{@}} and {{,}}, and sections
// for absent values ({{^a}}..{{/a}}). Throws std::invalid_argument on a tag
// that isn't closed.
std::string
RenderTemplate(const std::string& aText, const nlohmann::json& aFields);

using SteadyTime = std::chrono::steady_clock::time_point;

// One start of a VM's process.
struct DeployedProcess
{
  std::unique_ptr<Process> m_process;
  std::string m_logFile;
  SteadyTime m_startedAt;
  std::optional<SteadyTime> m_stoppedAt;   // by SIGTERM
  std::optional<SteadyTime> m_killedAt;    // by SIGKILL
  std::optional<SteadyTime> m_hungUpAt;    // the latest SIGHUP
  std::optional<SteadyTime> m_resumedAt;   // by SIGCONT
  std::optional<SteadyTime> m_rewrittenAt; // its settings file
  std::optional<int> m_signalToEnd; // sent again and again until it has ended
  bool m_isPaused = false;

  // Whether it has logged its start.
  bool HasStarted() const;
  std::string LastLogLine() const;
};

// A VM with one role.
struct DeployedVm
{
  std::string m_name;
  std::string m_role;
  std::string m_host;
  std::string m_settingsFile;
  std::string m_settings;
  int m_starts = 0;
};

struct DeployedSiteOptions
{
  std::string m_directory; // of settings and logs; must exist
  Address m_store;
  std::size_t m_gateways = 1;
  std::vector<Address> m_stagedRunners; // one stager for each
  std::string m_stagedService;
  std::chrono::seconds m_grace{ 3 };
  std::size_t m_memoryMegabytes = 0; // of each VM; 0: not stated
};

class DeployedSite
{
public:
  static constexpr std::uint16_t kFrontPort = 8005;
  static constexpr std::uint16_t kReadyPort = 8002;

  explicit DeployedSite(const DeployedSiteOptions& aOptions);

  // The gateways come first.
  const std::vector<DeployedVm>& Vms() const { return m_vms; }

  // Places a VM's settings file and starts its process. Returns when the
  // program has been loaded.
  std::shared_ptr<DeployedProcess> Start(std::size_t aVm);
  // The log of a VM's latest process.
  std::string LogFile(std::size_t aVm) const;
  // Places the settings file, as at a start.
  void PlaceSettings(std::size_t aVm) const;

private:
  void AddVm(const std::string& aRole, nlohmann::json aFields);

  DeployedSiteOptions m_options;
  std::string m_network; // the first three numbers of all hosts
  nlohmann::json m_common;
  std::vector<DeployedVm> m_vms;
};

} // namespace siskindeal
