#include "box.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <thread>

namespace box {

namespace {

const Time kStart = std::chrono::steady_clock::now();
std::mutex gMutex;
std::ofstream gRecord;
std::set<pid_t> gProcesses;

std::string
ReadState(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string id;
  std::string name;
  std::string state;
  file >> id >> name >> state;
  return state;
}

} // namespace

Time
Now()
{
  return std::chrono::steady_clock::now();
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void
OpenRecord(const std::string& aFile)
{
  gRecord.open(aFile);
}

void
Record(const std::string& aLine)
{
  const std::lock_guard lock(gMutex);
  const std::chrono::duration<double> elapsed = Now() - kStart;
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", elapsed.count());
  gRecord << time.data() << aLine << std::endl;
}

void
End(int aStatus, const std::string& aReason)
{
  Record("exit " + std::to_string(aStatus) + ": " + aReason);
  std::set<pid_t> processes;
  {
    const std::lock_guard lock(gMutex);
    processes = gProcesses;
  }
  for (const pid_t process : processes) {
    Kill(process);
  }
  std::_Exit(aStatus);
}

Sheet
FcbTee()
{
  return { "kin-a",      "kingston", "mbj-a", "montego", Millis(2000),
           Millis(8000), Millis(0),  106,     7.6 };
}

Sheet
Cuaem()
{
  return { "mvd-centro",  "montevideo", "paysandu", "litoral", Millis(3000),
           Millis(13400), Millis(5000), 214,        7.3 };
}

Site::Site(Sheet aSheet)
  : m_sheet(std::move(aSheet))
{
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> number(1, 250);
  m_network = "127." + std::to_string(number(random)) + "." +
              std::to_string(number(random)) + ".";
  const char* directory = std::getenv("CASE_DIRECTORY");
  m_directory = directory == nullptr ? "." : directory;
}

std::string
Site::Host(int aVm) const
{
  return m_network + std::to_string(aVm);
}

std::string
Site::Common(const std::string& aRole, int aVm) const
{
  const std::string host = Host(aVm);
  return "[node]\nvm = \"" + aRole + "-" + std::to_string(aVm) +
         "\"\nplace = \"" + m_sheet.m_place + "\"\nrpc = \"" + host +
         ":7700\"\n";
}

std::string
Site::Regions() const
{
  return "\"" + m_sheet.m_place + "\" = \"" + m_sheet.m_region + "\"\n\"" +
         m_sheet.m_otherPlace + "\" = \"" + m_sheet.m_otherRegion + "\"\n";
}

pid_t
Site::StartGateway(int aVm)
{
  const std::string host = Host(aVm);
  const std::string evacuate =
    m_sheet.m_evacuateWithin == Millis(0)
      ? ""
      : "evacuate_within = \"" +
          std::to_string(m_sheet.m_evacuateWithin.count()) + "ms\"\n";
  return Start("gateway",
               aVm,
               Common("gateway", aVm) + "http = \"" + host + ":" +
                 std::to_string(kFrontPort) + "\"\nentries = [\"" + Host(1) +
                 ":8000\", \"" + Host(2) +
                 ":8000\"]\nmemory_megabytes = 260\n[platform]\nurl = "
                 "\"http://" +
                 Host(100) + ":" + std::to_string(kStorePort) +
                 "\"\n[gateway]\nready = \"" + host + ":" +
                 std::to_string(kReadyPort) + "\"\ndirectory = \"" + host +
                 ":8009\"\n"
                 "config_within = \"" +
                 std::to_string(m_sheet.m_configWithin.count()) +
                 "ms\"\n"
                 "revoke_within = \"5000ms\"\n"
                 "version_within = \"" +
                 std::to_string(m_sheet.m_versionWithin.count()) + "ms\"\n" +
                 evacuate +
                 "grace_seconds = 8\n"
                 "retry_ratio = 0.2\n"
                 "retry_window_seconds = 10\n"
                 "retry_slack = " +
                 std::to_string(m_sheet.m_retrySlack) +
                 "\n[gateway.regions]\n" + Regions());
}

pid_t
Site::StartStager(int aVm, const std::string& aService)
{
  const std::string host = Host(aVm);
  return Start(
    "stager",
    aVm,
    Common("stager", aVm) + "http = \"" + host +
      ":7701\"\nmemory_megabytes = 128\n[platform]\nurl = "
      "\"http://" +
      Host(100) + ":" + std::to_string(kStorePort) +
      "\"\n[stager]\nrunner = \"" + host + ":" + std::to_string(kRunnerPort) +
      "\"\nservice = \"" + aService + "\"\nlink_megabits = " +
      std::to_string(m_sheet.m_sideMegabits) + "\nversion_within = \"" +
      std::to_string(m_sheet.m_versionWithin.count()) +
      "ms\"\n[stager.regions]\n" + Regions());
}

pid_t
Site::Start(const std::string& aRole, int aVm, const std::string& aSettings)
{
  const std::string name = m_directory + "/" + aRole + "-" +
                           std::to_string(aVm) + "." +
                           std::to_string(++m_starts);
  const std::string settings = name + ".toml";
  std::ofstream(settings) << aSettings;
  const std::string log = name + ".log";
  const pid_t process = ::fork();
  if (process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // whatever ends this program
    if (std::freopen(log.c_str(), "w", stdout) == nullptr ||
        ::dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
      std::_Exit(127);
    }
    ::execl("target/siskindeal",
            "target/siskindeal",
            aRole.c_str(),
            "--config",
            settings.c_str(),
            static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  const std::lock_guard lock(gMutex);
  gProcesses.insert(process);
  return process;
}

bool
Site::AwaitReady(int aVm, Millis aTimeout) const
{
  const Time end = Now() + aTimeout;
  while (Now() < end) {
    const Message answer = Call(Host(aVm),
                                kReadyPort,
                                "GET",
                                "/siskindeal/readyz",
                                { { "Host", "x" } },
                                {},
                                Millis(500));
    if (answer.m_status == 200) {
      return true;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  return false;
}

void
Kill(pid_t aProcess)
{
  ::kill(aProcess, SIGKILL);
  ::waitpid(aProcess, nullptr, 0);
  const std::lock_guard lock(gMutex);
  gProcesses.erase(aProcess);
}

void
Freeze(pid_t aProcess)
{
  ::kill(aProcess, SIGSTOP);
  while (ReadState(aProcess) != "T") {
    std::this_thread::sleep_for(Millis(1));
  }
}

void
Thaw(pid_t aProcess)
{
  ::kill(aProcess, SIGCONT);
}

std::vector<std::pair<std::string, std::string>>
RunFields(const Message& aRequest)
{
  return { { "X-Siskindeal-Attempt-Id",
             aRequest.Field("x-siskindeal-attempt-id") },
           { "X-Siskindeal-Runner-Signature", "3e1b.07" } };
}

std::uint64_t
UnixMillis()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace box
