#include "support/role_fleet.h"

#include "siskindeal/fleet_config.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace siskindeal::bench {

namespace {

constexpr const char* kPlaces[] = { "kingston", "montego", "ocho-rios" };
constexpr const char* kConfig =
  R"({"services":{"caddie-llm":{"kind":"model"}},
      "classes":{"booking chat":{"service":"caddie-llm","priority":10}},
      "other_teams":{"burst":50}})";

std::string
MakeDirectory()
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "siskindeal-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  return pattern;
}

std::string
Loopback(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::vector<std::string>
FreeAddresses(int aCount)
{
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    addresses.push_back(Loopback(FreePort()));
  }
  return addresses;
}

std::string
ProcPath(pid_t aProcess, const std::string& aFile)
{
  return "/proc/" + std::to_string(aProcess) + "/" + aFile;
}

double
CpuSeconds(pid_t aProcess)
{
  constexpr int kFieldsBeforeCpuTime = 11; // after the name, of /proc/PID/stat
  std::ifstream file(ProcPath(aProcess, "stat"));
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeCpuTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ResidentMb(pid_t aProcess)
{
  std::ifstream file(ProcPath(aProcess, "statm"));
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Duplicates each socket of the process to read its TCP_INFO.
double
SocketBytes(pid_t aProcess)
{
  const auto process = static_cast<int>(syscall(SYS_pidfd_open, aProcess, 0));
  double bytes = 0;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator(ProcPath(aProcess, "fd"), ignored)) {
    const int number = std::atoi(entry.path().filename().c_str());
    const auto copy =
      static_cast<int>(syscall(SYS_pidfd_getfd, process, number, 0));
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(copy, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
      bytes +=
        static_cast<double>(info.tcpi_bytes_acked + info.tcpi_bytes_received);
    }
    close(copy);
  }
  close(process);
  return bytes;
}

} // namespace

RoleFleet::RoleFleet(int aEntries, int aAgents)
  : m_directory(MakeDirectory())
  , m_entryAddresses(FreeAddresses(aEntries))
  , m_platform(
      std::make_unique<standin::PlatformStandIn>(standin::PlatformOptions()))
{
  m_platform->SetObject(kConfigKey, kConfig);
  for (int i = 0; i < aEntries + aAgents; ++i) {
    const bool entry = i < aEntries;
    if (!entry) {
      m_engines.push_back(
        std::make_unique<standin::EngineStandIn>(standin::EngineOptions()));
    }
    const auto settings = WriteSettings(i, entry);
    auto& processes = entry ? m_entries : m_agents;
    processes.push_back(std::make_unique<Process>(
      std::vector<std::string>{ SISKINDEAL_BINARY_DIR "/siskindeal",
                                entry ? "entry" : "agent",
                                "--config",
                                settings },
      m_directory + "/" + std::to_string(i) + ".log"));
  }
}

RoleFleet::~RoleFleet()
{
  m_agents.clear();
  m_entries.clear();
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string
RoleFleet::WriteSettings(int aIndex, bool aEntry)
{
  const std::string vm =
    (aEntry ? "entry-" : "caddie-") + std::to_string(aIndex);
  const std::string place = kPlaces[aIndex % std::size(kPlaces)];
  const auto rpc = aEntry ? m_entryAddresses[static_cast<std::size_t>(aIndex)]
                          : Loopback(FreePort());
  m_platform->SetVm({ vm, place, aEntry ? "" : "caddie-llm", rpc }, true);
  auto file = m_directory + "/" + vm + ".toml";
  std::ofstream out(file);
  out << "[node]\nvm = \"" << vm << "\"\nplace = \"" << place << "\"\nrpc = \""
      << rpc << "\"\nhttp = \"" << Loopback(FreePort()) << "\"\nentries = [";
  for (const auto& address : m_entryAddresses) {
    out << "\"" << address << "\",";
  }
  out << "]\n[auth]\nactive_key = \"bench\"\n[auth.keys]\n"
      << "bench = \"a shared secret of the benchmark\"\n"
      << "[platform]\nurl = \"" << m_platform->Url() << "\"\n";
  // Idle processes fetch nothing, so the store does not need to exist.
  const auto store = "store_url = \"http://" + Loopback(1) + "\"\n";
  if (aEntry) {
    out << "[rollout]\n" << store;
  } else {
    out << "[upstream]\nservice = \"caddie-llm\"\nurl = \""
        << m_engines.back()->Url() << "\"\nkind = \"model\"\n[weights]\n"
        << store;
  }
  return file;
}

std::vector<ProcessUsage>
RoleFleet::ReadUsage(const Processes& aProcesses)
{
  std::vector<ProcessUsage> usage;
  usage.reserve(aProcesses.size());
  for (const auto& process : aProcesses) {
    const auto id = process->Id();
    usage.push_back({ CpuSeconds(id), ResidentMb(id), SocketBytes(id) });
  }
  return usage;
}

} // namespace siskindeal::bench
