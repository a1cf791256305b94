#include "support/fleet.h"

#include "cli/client_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/random.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace siskindeal {

namespace {

constexpr std::chrono::seconds kStartTimeout{ 30 };
constexpr const char* kBinary = SISKINDEAL_BINARY_DIR "/siskindeal";
constexpr const char* kFleetConfig = R"({
  "services": { "caddie-llm": { "kind": "model" },
                "teesheet": { "kind": "plain" } },
  "classes": { "booking chat": { "service": "caddie-llm", "priority": 10 } },
  "teams": { "pro-shops": { "weight": 2, "requests_per_second": 1000,
                            "burst": 1000 },
             "starters": { "requests_per_second": )";
constexpr const char* kAuth = R"(
[auth]
active_key = "test"

[auth.keys]
test = "a-secret-of-the-tests-only"
)";

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

} // namespace

Fleet::Fleet(int aEntries, int aEngines, int aServices, FleetOptions aOptions)
  : m_options(std::move(aOptions))
  , m_directory(MakeDirectory())
{
  standin::PlatformOptions platform;
  platform.m_vmLag = m_options.m_vmLag;
  m_platform = std::make_unique<standin::PlatformStandIn>(platform);
  m_store = std::make_unique<standin::StoreStandIn>(standin::StoreOptions());
  for (int i = 1; i <= aEntries; ++i) {
    AddVm("entry-" + std::to_string(i), "", "");
  }
  for (int i = 1; i <= aEngines; ++i) {
    m_engines.push_back(
      std::make_unique<standin::EngineStandIn>(m_options.m_engine));
    AddVm("caddie-" + std::to_string(i), "caddie-llm", m_engines.back()->Url());
  }
  for (int i = 1; i <= aServices; ++i) {
    m_services.push_back(
      std::make_unique<standin::ServiceStandIn>(m_options.m_service));
    AddVm(
      "teesheet-" + std::to_string(i), "teesheet", m_services.back()->Url());
  }
  WriteClientConfig();
  for (const auto& [name, vm] : m_vms) {
    WriteSettings(vm);
    StartVm(name);
  }
  for (const auto& [name, vm] : m_vms) {
    AwaitOk(Url(name, "/healthz"));
  }
  if (SetConfig(1, 0) != 0) {
    throw std::runtime_error("could not set the configuration\n" + Logs());
  }
  for (const auto& [name, vm] : m_vms) {
    if (vm.m_service != "caddie-llm") {
      AwaitOk(Url(name, "/readyz"));
    }
    // An entry may be ready before it has discovered an agent.
    if (vm.m_service.empty() && aServices > 0) {
      AwaitOk(Url(name, "/v1/services/teesheet/start"));
    }
  }
}

Fleet::~Fleet()
{
  m_vms.clear();
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

void
Fleet::AddVm(const std::string& aName,
             const std::string& aService,
             const std::string& aUpstreamUrl)
{
  Vm vm;
  vm.m_name = aName;
  vm.m_place = m_vms.size() % 2 == 0 ? "kingston" : "montego";
  vm.m_service = aService;
  vm.m_upstreamUrl = aUpstreamUrl;
  vm.m_platformUrl = m_platform->OpenFor(aName);
  const auto port = FreePort();
  vm.m_listen = Loopback(port);
  vm.m_rpc = vm.m_listen;
  if (m_options.m_network != nullptr) {
    vm.m_rpc = Loopback(m_options.m_network->Open(port, vm.m_place));
    const auto scheme = vm.m_platformUrl.find("://") + 3;
    const auto platform = ParseAddress(vm.m_platformUrl.substr(scheme));
    vm.m_platformUrl =
      "http://" +
      Loopback(m_options.m_network->Open(platform.m_port, kPlatformPlace));
  }
  vm.m_http = Loopback(FreePort());
  m_platform->SetVm({ aName, vm.m_place, aService, vm.m_rpc }, true);
  m_vms.emplace(aName, std::move(vm));
}

std::string
Fleet::EntryList(bool aHttp) const
{
  std::string list;
  for (const auto& [name, vm] : m_vms) {
    if (vm.m_service.empty()) {
      list += list.empty() ? "" : ", ";
      list += "\"" + (aHttp ? vm.m_http : vm.m_rpc) + "\"";
    }
  }
  return "entries = [" + list + "]\n";
}

std::vector<std::string>
Fleet::EntryNames() const
{
  std::vector<std::string> names;
  names.reserve(m_vms.size());
  for (const auto& [name, vm] : m_vms) {
    if (vm.m_service.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

void
Fleet::WriteSettings(const Vm& aVm) const
{
  std::ofstream file(File(aVm.m_name + ".toml"));
  file << "[node]\nvm = \"" << aVm.m_name << "\"\nplace = \"" << aVm.m_place
       << "\"\nrpc = \"" << aVm.m_listen << "\"\nadvertise = \"" << aVm.m_rpc
       << "\"\nhttp = \"" << aVm.m_http << "\"\n"
       << EntryList(false) << kAuth << "\n[platform]\nurl = \""
       << aVm.m_platformUrl << "\"\n";
  if (m_options.m_shortIntervals) {
    file << "[membership]\nheartbeat = \"200ms\"\n"
         << "unreachable_after = \"1s\"\n";
  }
  if (aVm.m_service.empty()) {
    if (m_options.m_shortIntervals) {
      file << "[routing]\nanswer_lifetime = \"500ms\"\n"
           << "[lease]\nduration = \"2s\"\n";
    }
    file << "[rollout]\nstore_url = \"" << m_store->Url() << "\"\n";
    if (!m_options.m_entryDrain.empty()) {
      file << "[drain]\nlongest = \"" << m_options.m_entryDrain << "\"\n";
    }
    return;
  }
  const bool model = aVm.m_service == "caddie-llm";
  file << "[upstream]\nservice = \"" << aVm.m_service << "\"\nurl = \""
       << aVm.m_upstreamUrl << "\"\nkind = \"" << (model ? "model" : "plain")
       << "\"\n";
  if (model) {
    file << "checks_orders = true\n[weights]\nstore_url = \"" << m_store->Url()
         << "\"\n";
  }
}

void
Fleet::WriteClientConfig() const
{
  std::ofstream(File("client.toml")) << "[client]\n"
                                     << EntryList(true) << kAuth;
}

void
Fleet::StartVm(const std::string& aName)
{
  auto& vm = m_vms.at(aName);
  vm.m_process = std::make_unique<Process>(
    std::vector<std::string>{ kBinary,
                              vm.m_service.empty() ? "entry" : "agent",
                              "--config",
                              File(aName + ".toml") },
    File(aName + ".log"));
  if (m_options.m_network != nullptr) {
    m_options.m_network->SetPlace(vm.m_process->Id(), vm.m_place);
  }
}

void
Fleet::DisconnectFromPlatform(const std::string& aName)
{
  standin::Fault fault;
  fault.m_client = aName;
  m_platform->GetFaults().Set("outage", fault);
}

void
Fleet::ReconnectToPlatform()
{
  m_platform->GetFaults().Clear("outage");
}

int
Fleet::SetConfig(int aRequestsPerSecond, std::uint64_t aVersion)
{
  std::ofstream(File("fleet.json"))
    << kFleetConfig << aRequestsPerSecond << " } } }";
  return Operator({ "config",
                    "set",
                    File("fleet.json"),
                    "--version",
                    std::to_string(aVersion) });
}

int
Fleet::Operator(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> command = { kBinary };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  command.insert(command.end(), { "--client", File("client.toml") });
  return RunCommand(command, File("operator.log"));
}

std::string
Fleet::RollOut(const std::string& aRelease,
               std::size_t aBytes,
               int aVms,
               std::uint64_t aChunkBytes)
{
  Random random(StableHash(aRelease));
  std::string bytes(aBytes, '\0');
  for (auto& byte : bytes) {
    byte = static_cast<char>(random.Below(256));
  }
  auto content = Sha256Hex(bytes);
  m_store->PublishBytes(
    aRelease, aRelease + ".bin", std::move(bytes), aChunkBytes);
  m_platform->SetObject("catalogue/booking chat",
                        R"({"release":")" + aRelease + R"(","adapter":false})");
  const auto vms = std::to_string(aVms);
  const int created = Operator(
    { "target", "create", "demo", "--class", "booking chat", "--vms", vms });
  const int met =
    Operator({ "target", "status", "demo", "--watch", "--timeout", "90s" });
  if (met != 0) {
    throw std::runtime_error("target create exited with " +
                             std::to_string(created) + ", status with " +
                             std::to_string(met) + "\n" + Logs());
  }
  return content;
}

std::string
Fleet::Url(const std::string& aVm, const std::string& aPath) const
{
  return "http://" + m_vms.at(aVm).m_http + aPath;
}

void
Fleet::AwaitOk(const std::string& aUrl)
{
  constexpr int kOk = 200;
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (m_http.Fetch({ "GET", aUrl }).m_status != kOk) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error(aUrl + " did not return 200 in time\n" +
                               States() + Logs());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

nlohmann::json
Fleet::State(const std::string& aVm) const
{
  OperatorClient client(ReadClientSettings(File("client.toml")));
  return client.State(ParseAddress(m_vms.at(aVm).m_http));
}

std::string
Fleet::States() const
{
  std::string text;
  for (const auto& [name, vm] : m_vms) {
    try {
      text += name + " " + State(name)["sync"].dump() + "\n";
    } catch (const std::exception& error) {
      text += name + " " + error.what() + "\n";
    }
  }
  return text;
}

std::string
Fleet::Logs() const
{
  constexpr std::streamsize kTailBytes = 2000;
  std::ostringstream logs;
  for (const auto& file : std::filesystem::directory_iterator(m_directory)) {
    if (file.path().extension() != ".log") {
      continue;
    }
    std::ifstream log(file.path());
    log.seekg(0, std::ios::end);
    const std::streamsize size = log.tellg();
    log.seekg(std::max<std::streamsize>(0, size - kTailBytes));
    logs << "== " << file.path().filename() << "\n" << log.rdbuf() << "\n";
  }
  return logs.str();
}

std::string
Fleet::File(const std::string& aName) const
{
  return m_directory + "/" + aName;
}

} // namespace siskindeal
