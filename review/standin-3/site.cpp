#include "site.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iterator>
#include <random>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kStorePort = 8007;
constexpr int kReadyPort = 8002;
constexpr int kFirstRunnerHost = 20;
// The bounds of the small site files.
const char* const kGatewaySettings = R"([node]
vm = "NAME"
place = "here"
rpc = "HOST:7700"
http = "HOST:8005"
entries = ["NETWORK.2:8000","NETWORK.3:8000"]
memory_megabytes = 260

[platform]
url = "http://STORE"

[gateway]
ready = "HOST:8002"
directory = "HOST:8009"
config_within = "2000ms"
revoke_within = "5000ms"
version_within = "8000ms"
grace_seconds = 8
retry_ratio = 0.2
retry_window_seconds = 10
retry_slack = 106

[gateway.regions]
"here" = "home"
)";

void
ReplaceAll(std::string& aText, const std::string& aWhat, const std::string& aBy)
{
  for (auto at = aText.find(aWhat); at != std::string::npos;
       at = aText.find(aWhat, at + aBy.size())) {
    aText.replace(at, aWhat.size(), aBy);
  }
}

// A network of loopback whose first host has a free port for the store.
std::string
ChooseNetwork()
{
  std::random_device random;
  const auto second = 64 + random() % 128;
  return "127." + std::to_string(second) + "." + std::to_string(random() % 250);
}

} // namespace

std::int64_t
UnixMillis()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

milliseconds
Record::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  m_begin);
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  m_file << Elapsed().count() << " ms  " << aLine << std::endl;
}

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aLog)
{
  std::vector<char*> words;
  words.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  const int log =
    open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  m_id = fork();
  if (m_id == 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(words[0], words.data());
    _exit(127);
  }
  close(log);
}

Process::~Process()
{
  End(SIGKILL);
}

void
Process::Signal(int aSignal) const
{
  if (m_id > 0) {
    kill(m_id, aSignal);
  }
}

bool
Process::HasEnded()
{
  if (m_id > 0 && waitpid(m_id, nullptr, WNOHANG) == m_id) {
    m_id = -1;
  }
  return m_id < 0;
}

bool
Process::TakeStopped()
{
  int status = 0;
  return m_id > 0 && waitpid(m_id, &status, WNOHANG | WUNTRACED) == m_id &&
         WIFSTOPPED(status);
}

void
Process::End(int aSignal)
{
  constexpr std::chrono::seconds kPatience{ 12 };
  Signal(aSignal);
  const auto end = steady_clock::now() + kPatience;
  while (!HasEnded() && steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (m_id > 0) {
    Signal(SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = -1;
  }
}

Site::Site(const std::string& aSelf, Record& aRecord)
  : m_self(aSelf)
  , m_record(aRecord)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  m_folder = folder;
  constexpr int kTries = 20;
  for (int i = 0; !m_store && i < kTries; ++i) {
    m_network = ChooseNetwork();
    try {
      m_store = std::make_unique<Store>(Host(1), kStorePort);
    } catch (const std::runtime_error&) {
      continue; // taken
    }
  }
  if (!m_store) {
    throw std::runtime_error("no free network");
  }
}

Site::~Site()
{
  for (auto& [number, gateway] : m_gateways) {
    gateway->End(SIGKILL);
  }
  for (auto& [number, runner] : m_runners) {
    runner->End(SIGKILL);
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string
Site::Host(int aNumber) const
{
  return m_network + "." + std::to_string(aNumber);
}

void
Site::StartGateway(int aNumber)
{
  const std::string name = "gateway-" + std::to_string(aNumber);
  std::string settings = kGatewaySettings;
  ReplaceAll(settings, "NAME", name);
  ReplaceAll(settings, "HOST", Host(1 + aNumber));
  ReplaceAll(settings, "NETWORK", m_network);
  ReplaceAll(settings, "STORE", Host(1) + ":" + std::to_string(kStorePort));
  const std::string file = m_folder + "/" + name + ".toml";
  std::ofstream(file) << settings;
  m_gateways[aNumber] = std::make_unique<Process>(
    std::vector<std::string>{
      "target/siskindeal", "gateway", "--config", file },
    m_folder + "/" + name + ".log");
  m_record.Write("starts " + name);
}

bool
Site::AwaitReady(std::chrono::seconds aTimeout) const
{
  const auto end = steady_clock::now() + aTimeout;
  while (steady_clock::now() < end) {
    const bool isReady = std::all_of(
      m_gateways.begin(), m_gateways.end(), [&](const auto& aGateway) {
        const std::string host = Host(1 + aGateway.first);
        return Call(host,
                    kReadyPort,
                    "GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
                    {},
                    milliseconds(500))
                 .m_status == 200;
      });
    if (isReady) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

std::string
Site::RunnerId(int aNumber, int aStart)
{
  const std::string id = "i-runner" + std::to_string(aNumber);
  return aStart == 0 ? id : id + "-" + std::to_string(aStart);
}

void
Site::StartRunner(int aNumber,
                  const std::string& aService,
                  const std::string& aMode,
                  int aStart)
{
  const std::string host = Host(kFirstRunnerHost + aNumber);
  const std::string id = RunnerId(aNumber, aStart);
  const std::string files = m_folder + "/" + RunnerId(aNumber);
  m_runners[aNumber] = std::make_unique<Process>(
    std::vector<std::string>{
      m_self, "runner", aMode, host, id, files + ".runs" },
    files + ".log");
  m_record.Write("starts runner " + id);
  m_store->Put("servers",
               id,
               { { "service", aService },
                 { "address", host + ":" + std::to_string(kRunnerPort) },
                 { "zone", "here" },
                 { "version", "v1" },
                 { "slots", 16 },
                 { "state", "ready" },
                 { "cold_remaining_ms", 0 },
                 { "born", UnixMillis() },
                 { "sequence", 1 } });
}

void
Site::KillRunner(int aNumber)
{
  m_record.Write("kills runner " + RunnerId(aNumber));
  m_runners.at(aNumber)->End(SIGKILL);
}

bool
Site::RunnerHasEnded(int aNumber)
{
  return m_runners.at(aNumber)->HasEnded();
}

bool
Site::TakeRunnerStopped(int aNumber)
{
  return m_runners.at(aNumber)->TakeStopped();
}

void
Site::RemoveEntry(int aNumber, int aStart)
{
  const std::string id = RunnerId(aNumber, aStart);
  m_record.Write("the store removes the entry of " + id);
  m_store->Remove("servers", id);
}

std::string
Site::RunnerLog(int aNumber) const
{
  std::ifstream file(m_folder + "/" + RunnerId(aNumber) + ".runs");
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace review
