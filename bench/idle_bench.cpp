// Measures the cost of an idle process by role and fleet size: CPU share,
// resident memory and control traffic. For the current fleet size it runs
// `siskindeal entry` and `siskindeal agent`. The slopes need many processes, so
// for them it runs itself with "--node", which starts only what a process needs
// to exchange state with others.

#include "support/bench_node.h"
#include "support/role_fleet.h"

#include "node/process_p.h"
#include "siskindeal/http.h"
#include "siskindeal/log.h"

#include "standin/platform.h"

#include <fcntl.h>
#include <linux/tcp.h>
#include <malloc.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>

namespace siskindeal::bench {
namespace {

using std::chrono::seconds;

// Long enough for idle connections to be closed.
constexpr seconds kNodeSettleTime{ 25 };
constexpr seconds kNodeWindow{ 4 };
constexpr seconds kRoleSettleTime{ 30 };
// Long, because /proc reports CPU time in ticks of 10 ms.
constexpr seconds kRoleWindow{ 20 };
constexpr std::size_t kMaxEntryAddresses = 3;
// Positions of the arguments of a node.
constexpr std::size_t kRoleArgument = 2;
constexpr std::size_t kVmArgument = 3;
constexpr std::size_t kPlaceArgument = 4;
constexpr std::size_t kPlatformArgument = 5;
constexpr std::size_t kFirstEntryArgument = 6;

double
CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
ResidentMb()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Returns the payload bytes of the open TCP connections, in both directions.
std::uint64_t
SocketBytes()
{
  std::uint64_t bytes = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int socket = std::atoi(entry.path().filename().c_str());
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
      bytes += info.tcpi_bytes_acked + info.tcpi_bytes_received;
    }
  }
  return bytes;
}

// Runs one process of the fleet. It prints its usage for each line on stdin and
// exits at the end of stdin.
int
RunNode(const std::vector<std::string>& aArguments)
{
  ConfigureLog("bench", aArguments[kVmArgument], LogLevel::Error);
  mallopt(M_ARENA_MAX, 2); // as in src/main.cpp
  BenchNodeOptions options;
  const bool entry = aArguments[kRoleArgument] == "entry";
  options.m_role = entry ? wire::ROLE_ENTRY : wire::ROLE_AGENT;
  options.m_vm = aArguments[kVmArgument];
  options.m_place = aArguments[kPlaceArgument];
  options.m_platformUrl = aArguments[kPlatformArgument];
  for (std::size_t i = kFirstEntryArgument; i < aArguments.size(); ++i) {
    options.m_entries.push_back(ParseAddress(aArguments[i]));
  }
  SystemClock clock;
  WorkerPool pool(2);
  StartMemoryTrimming(pool);
  HttpClient http;
  HttpServer server(
    "127.0.0.1", 0, {}, [](HttpRequest, const auto& aResponder) {
      aResponder->Respond(200, {}, "");
    });
  {
    BenchNode node(options, http, pool, clock);
    if (entry) {
      node.StartLeases();
    }
    std::cout << node.Rpc().ToString() << std::endl;
    std::string line;
    while (std::getline(std::cin, line)) {
      std::cout << CpuSeconds() << ' ' << ResidentMb() << ' ' << SocketBytes()
                << ' ' << node.Sync().View()->m_nodes.size() << std::endl;
    }
    pool.Stop();
  }
  return 0;
}

struct NodeUsage : ProcessUsage
{
  std::size_t m_knownNodes = 0;
};

class NodeProcess
{
public:
  NodeProcess(const std::string& aProgram,
              const std::vector<std::string>& aArguments)
  {
    int toChild[2];
    int fromChild[2];
    if (pipe2(toChild, O_CLOEXEC) != 0 || pipe2(fromChild, O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, toChild[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, fromChild[1], STDOUT_FILENO);
    std::vector<std::string> arguments{ aProgram, "--node" };
    arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
      raw.push_back(argument.data());
    }
    raw.push_back(nullptr);
    if (posix_spawn(
          &m_pid, aProgram.c_str(), &actions, nullptr, raw.data(), environ) !=
        0) {
      throw std::runtime_error("cannot start a node process");
    }
    posix_spawn_file_actions_destroy(&actions);
    close(toChild[0]);
    close(fromChild[1]);
    m_stdin = toChild[1];
    m_stdout = fdopen(fromChild[0], "r");
  }

  ~NodeProcess()
  {
    close(m_stdin);
    waitpid(m_pid, nullptr, 0);
    std::fclose(m_stdout);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  std::string ReadLine()
  {
    char line[256] = "";
    return std::fgets(line, sizeof(line), m_stdout) == nullptr
             ? std::string()
             : std::string(line).substr(0, std::string(line).find('\n'));
  }

  NodeUsage ReadUsage()
  {
    const char newline = '\n';
    if (write(m_stdin, &newline, 1) != 1) {
      return {};
    }
    NodeUsage usage;
    std::istringstream line(ReadLine());
    line >> usage.m_cpuSeconds >> usage.m_residentMb >> usage.m_bytes >>
      usage.m_knownNodes;
    return usage;
  }

private:
  pid_t m_pid = 0;
  int m_stdin = -1;
  std::FILE* m_stdout = nullptr;
};

struct Costs
{
  double m_coreShare = 0;
  double m_residentMb = 0;
  double m_bytesPerSecond = 0;
};

template<typename Usage>
Costs
Mean(const std::vector<Usage>& aBefore,
     const std::vector<Usage>& aAfter,
     double aSeconds)
{
  Costs costs;
  const auto count = static_cast<double>(aBefore.size());
  for (std::size_t i = 0; i < aBefore.size(); ++i) {
    costs.m_coreShare +=
      (aAfter[i].m_cpuSeconds - aBefore[i].m_cpuSeconds) / aSeconds / count;
    costs.m_residentMb += aAfter[i].m_residentMb / count;
    costs.m_bytesPerSecond +=
      (aAfter[i].m_bytes - aBefore[i].m_bytes) / aSeconds / count;
  }
  return costs;
}

void
Print(const std::string& aCase, const Costs& aCosts, bool aTargets)
{
  PrintRow("idle",
           aCase,
           "core_share",
           "1",
           aCosts.m_coreShare,
           "",
           aTargets ? "0.018" : "");
  PrintRow("idle",
           aCase,
           "resident_mb",
           "MB",
           aCosts.m_residentMb,
           "",
           aTargets ? "32" : "");
  PrintRow("idle",
           aCase,
           "control_bytes_per_second",
           "B/s",
           aCosts.m_bytesPerSecond,
           "",
           aTargets ? "5000" : "");
}

std::vector<NodeUsage>
ReadAllUsage(const std::vector<std::unique_ptr<NodeProcess>>& aChildren)
{
  std::vector<NodeUsage> usage;
  usage.reserve(aChildren.size());
  for (const auto& child : aChildren) {
    usage.push_back(child->ReadUsage());
  }
  return usage;
}

// Measures the mean costs of an entry and of an agent in a fleet of this size.
std::pair<Costs, Costs>
Measure(const std::string& aProgram, int aEntries, int aAgents, bool aTargets)
{
  const char* const places[] = { "kingston", "montego", "ocho-rios" };
  standin::PlatformStandIn platform({});
  platform.SetObject(kConfigKey, R"({"other_teams":{"burst":50}})");
  std::vector<std::unique_ptr<NodeProcess>> entries;
  std::vector<std::unique_ptr<NodeProcess>> agents;
  std::vector<std::string> entryAddresses;
  for (int i = 0; i < aEntries + aAgents; ++i) {
    const bool entry = i < aEntries;
    std::vector<std::string> arguments{ entry ? "entry" : "agent",
                                        (entry ? "entry-" : "agent-") +
                                          std::to_string(i),
                                        places[i % 3],
                                        platform.Url() };
    arguments.insert(
      arguments.end(), entryAddresses.begin(), entryAddresses.end());
    auto& children = entry ? entries : agents;
    children.push_back(std::make_unique<NodeProcess>(aProgram, arguments));
    const auto address = children.back()->ReadLine();
    if (entryAddresses.size() < kMaxEntryAddresses) {
      entryAddresses.push_back(address);
    }
  }
  std::this_thread::sleep_for(kNodeSettleTime);
  const auto entriesBefore = ReadAllUsage(entries);
  const auto agentsBefore = ReadAllUsage(agents);
  const auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kNodeWindow);
  const auto entriesAfter = ReadAllUsage(entries);
  const auto agentsAfter = ReadAllUsage(agents);
  const auto elapsed =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  const auto entry = Mean(entriesBefore, entriesAfter, elapsed);
  const auto agent = Mean(agentsBefore, agentsAfter, elapsed);
  const auto size = std::to_string(aEntries) + "_entries_" +
                    std::to_string(aAgents) + "_agents";
  Print("entry_of_" + size, entry, aTargets);
  Print("agent_of_" + size, agent, aTargets);
  PrintRow("idle",
           "entry_of_" + size,
           "processes_known",
           "1",
           static_cast<double>(entriesAfter.front().m_knownNodes),
           "",
           std::to_string(aEntries + aAgents));
  return { entry, agent };
}

void
MeasureRoles(int aEntries, int aAgents)
{
  const RoleFleet fleet(aEntries, aAgents);
  std::this_thread::sleep_for(kRoleSettleTime);
  const auto entriesBefore = fleet.Entries();
  const auto agentsBefore = fleet.Agents();
  const auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kRoleWindow);
  const auto entriesAfter = fleet.Entries();
  const auto agentsAfter = fleet.Agents();
  const auto elapsed =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  const auto size = std::to_string(aEntries) + "_entries_" +
                    std::to_string(aAgents) + "_agents";
  Print("siskindeal_entry_of_" + size,
        Mean(entriesBefore, entriesAfter, elapsed),
        true);
  Print("siskindeal_agent_of_" + size,
        Mean(agentsBefore, agentsAfter, elapsed),
        true);
}

// Returns the least-squares slope of the values over the sizes.
double
Slope(const std::vector<double>& aSizes, const std::vector<double>& aValues)
{
  const auto count = static_cast<double>(aSizes.size());
  const auto mean = [count](const std::vector<double>& aNumbers) {
    return std::accumulate(aNumbers.begin(), aNumbers.end(), 0.0) / count;
  };
  const double meanSize = mean(aSizes);
  const double meanValue = mean(aValues);
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < aSizes.size(); ++i) {
    covariance += (aSizes[i] - meanSize) * (aValues[i] - meanValue);
    variance += (aSizes[i] - meanSize) * (aSizes[i] - meanSize);
  }
  return covariance / variance;
}

void
PrintSlopes(const std::string& aRole,
            const std::vector<double>& aSizes,
            const std::vector<Costs>& aCosts)
{
  std::vector<double> cores;
  std::vector<double> memory;
  std::vector<double> bytes;
  for (const auto& costs : aCosts) {
    cores.push_back(costs.m_coreShare);
    memory.push_back(costs.m_residentMb);
    bytes.push_back(costs.m_bytesPerSecond);
  }
  const auto name = aRole + "_slope_over_processes";
  PrintRow(
    "idle", name, "core_share_per_process", "1", Slope(aSizes, cores), "", "");
  PrintRow("idle",
           name,
           "resident_mb_per_process",
           "MB",
           Slope(aSizes, memory),
           "",
           "");
  PrintRow("idle",
           name,
           "control_bytes_per_second_per_process",
           "B/s",
           Slope(aSizes, bytes),
           "",
           "");
}

void
RunAll(const std::string& aProgram)
{
  constexpr int kCurrentEntries = 9;
  constexpr int kCurrentAgents = 20;
  MeasureRoles(kCurrentEntries, kCurrentAgents);
  Measure(aProgram, kCurrentEntries, kCurrentAgents, false);
  std::vector<double> sizes;
  std::vector<Costs> entries;
  std::vector<Costs> agents;
  for (const int size : { 10, 20, 40, 80, 160 }) {
    const int entryCount = size * 3 / 10;
    const auto [entry, agent] =
      Measure(aProgram, entryCount, size - entryCount, false);
    sizes.push_back(size);
    entries.push_back(entry);
    agents.push_back(agent);
  }
  PrintSlopes("entry", sizes, entries);
  PrintSlopes("agent", sizes, agents);
}

} // namespace
} // namespace siskindeal::bench

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments(aArgv, aArgv + aArgc);
  if (arguments.size() > 1 && arguments[1] == "--node") {
    return siskindeal::bench::RunNode(arguments);
  }
  siskindeal::ConfigureLog("bench", "idle", siskindeal::LogLevel::Error);
  // Measures a single fleet size: --fleet ENTRIES AGENTS
  if (arguments.size() == 4 && arguments[1] == "--fleet") {
    siskindeal::bench::Measure(
      arguments[0], std::stoi(arguments[2]), std::stoi(arguments[3]), false);
    return 0;
  }
  siskindeal::bench::RunAll(arguments[0]);
  return 0;
}
