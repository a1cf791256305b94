#include "support/deployed_site.h"

#include <absl/strings/str_split.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::size_t kSeedNodes = 3;
constexpr std::size_t kFirstHost = 2; // the first reserves the network

// Names and values of the enclosing sections, the innermost last.
using Scopes = std::vector<json>;

struct Tag
{
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
  std::string m_text;
};

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<Tag>
NextTag(const std::string& aText, std::size_t aFrom)
{
  const auto begin = aText.find("{{", aFrom);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const auto end = aText.find("}}", begin);
  if (end == std::string::npos) {
    throw std::invalid_argument("tag isn't closed in a template");
  }
  return Tag{ begin, end + 2, aText.substr(begin + 2, end - begin - 2) };
}

const json*
Member(const json& aValue, const std::string& aName)
{
  if (aValue.is_object() && aValue.contains(aName)) {
    return &aValue.at(aName);
  }
  const bool isIndex =
    !aName.empty() && aName.find_first_not_of("0123456789") == aName.npos;
  if (!aValue.is_array() || !isIndex || std::stoul(aName) >= aValue.size()) {
    return nullptr;
  }
  return &aValue.at(std::stoul(aName));
}

json
Resolve(const std::string& aPath, const Scopes& aScopes)
{
  if (aPath == "." || aPath == "@" || aPath == ",") {
    return aScopes.back().value(aPath, json());
  }
  const std::vector<std::string> names = absl::StrSplit(aPath, '.');
  for (auto scope = aScopes.rbegin(); scope != aScopes.rend(); ++scope) {
    const json* value = scope->contains(".") ? &scope->at(".") : &*scope;
    for (const std::string& name : names) {
      value = value == nullptr ? nullptr : Member(*value, name);
    }
    if (value != nullptr) {
      return *value;
    }
  }
  return {};
}

std::string
ValueText(const json& aValue)
{
  if (aValue.is_null()) {
    return {};
  }
  if (!aValue.is_array()) {
    return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
  }
  std::string text;
  for (const json& entry : aValue) {
    text += (text.empty() ? "" : ",") + ValueText(entry);
  }
  return text;
}

bool
IsTrue(const json& aValue)
{
  return !aValue.is_null() && aValue != false;
}

Tag
ClosingTag(const std::string& aText, const Tag& aOpening)
{
  const std::string name = aOpening.m_text.substr(1);
  int depth = 1;
  for (auto tag = NextTag(aText, aOpening.m_end); tag;
       tag = NextTag(aText, tag->m_end)) {
    depth += tag->m_text == "#" + name || tag->m_text == "^" + name ? 1 : 0;
    depth -= tag->m_text == "/" + name ? 1 : 0;
    if (depth == 0) {
      return *tag;
    }
  }
  throw std::invalid_argument("section isn't closed in a template: " + name);
}

std::string
Render(const std::string& aText, Scopes& aScopes);

std::string
RenderSection(const std::string& aInner, const json& aValue, Scopes& aScopes)
{
  if (!aValue.is_structured()) {
    return IsTrue(aValue) ? Render(aInner, aScopes) : std::string();
  }
  std::string text;
  std::size_t index = 0;
  for (const auto& [key, entry] : aValue.items()) {
    const bool isLast = ++index == aValue.size();
    const json name = aValue.is_array() ? json(index - 1) : json(key);
    aScopes.push_back(
      { { ".", entry }, { "@", name }, { ",", isLast ? "" : "," } });
    text += Render(aInner, aScopes);
    aScopes.pop_back();
  }
  return text;
}

std::string
Render(const std::string& aText, Scopes& aScopes)
{
  std::string text;
  std::size_t at = 0;
  for (auto tag = NextTag(aText, 0); tag; tag = NextTag(aText, at)) {
    text += aText.substr(at, tag->m_begin - at);
    at = tag->m_end;
    const char kind = tag->m_text.empty() ? ' ' : tag->m_text.front();
    if (kind != '#' && kind != '^') {
      text += ValueText(Resolve(tag->m_text, aScopes));
      continue;
    }
    const Tag closing = ClosingTag(aText, *tag);
    const std::string inner = aText.substr(at, closing.m_begin - at);
    at = closing.m_end;
    const json value = Resolve(tag->m_text.substr(1), aScopes);
    if (kind == '#') {
      text += RenderSection(inner, value, aScopes);
    } else if (!IsTrue(value)) {
      text += Render(inner, aScopes);
    }
  }
  return text + aText.substr(at);
}

// Returns the first three numbers of the hosts of a network that no other test
// program is given while this one runs.
std::string
ReserveNetwork()
{
  constexpr std::uint16_t kReservationPort = 19999;
  static std::mt19937 sRandom(std::random_device{}());
  while (true) {
    const auto second =
      std::uniform_int_distribution<unsigned>(1, 254)(sRandom);
    const auto third = std::uniform_int_distribution<unsigned>(0, 255)(sRandom);
    const int reserved = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kReservationPort);
    address.sin_addr.s_addr =
      htonl((unsigned{ 127 } << 24) | (second << 16) | (third << 8) | 1);
    if (bind(reserved,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      return "127." + std::to_string(second) + "." + std::to_string(third) +
             ".";
    }
    close(reserved);
  }
}

std::string
BinaryPath()
{
  const char* other = std::getenv("SISKINDEAL_SOAK_BINARY");
  return other != nullptr ? other : SISKINDEAL_BINARY_DIR "/siskindeal";
}

json
Bounds(std::chrono::seconds aGrace)
{
  return { { "grace_s", aGrace.count() }, { "config_apply_ms", 2000 },
           { "revoke_ms", 5000 },         { "version_ms", 8000 },
           { "retry_budget_ratio", 0.2 }, { "budget_window_s", 10 },
           { "retry_budget_slack", 106 } };
}

// Whether the dynamic loader has finished. It maps its cache before the first
// library and unmaps it after the last relocation.
bool
IsLoaded(const std::string& aMaps)
{
  return aMaps.find("libc.so") != std::string::npos &&
         aMaps.find("ld.so.cache") == std::string::npos;
}

// The time that a process has had on a processor.
std::chrono::nanoseconds
ProcessorTime(const std::string& aProc)
{
  return std::chrono::nanoseconds(
    std::strtoull(ReadFile(aProc + "/schedstat").c_str(), nullptr, 10));
}

// Before that, no code of the program has run that could handle a signal. The
// loader's last step, after it has unmapped its cache, is short but may be
// preempted, so it is given processor time, not time.
void
AwaitLoaded(pid_t aProcess)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  constexpr std::chrono::milliseconds kLastStep{ 1 };
  const std::string proc = "/proc/" + std::to_string(aProcess);
  const auto own = std::filesystem::read_symlink("/proc/self/exe");
  const auto end = steady_clock::now() + kTimeout;
  std::optional<std::chrono::nanoseconds> loadedAt;
  while (steady_clock::now() < end) {
    std::error_code error;
    const auto executed = std::filesystem::read_symlink(proc + "/exe", error);
    if (error) {
      return; // it has ended
    }
    if (!loadedAt && executed != own && IsLoaded(ReadFile(proc + "/maps"))) {
      loadedAt = ProcessorTime(proc);
    }
    if (loadedAt && ProcessorTime(proc) - *loadedAt >= kLastStep) {
      return;
    }
    std::this_thread::yield();
  }
}

} // namespace

std::string
RenderTemplate(const std::string& aText, const json& aFields)
{
  Scopes scopes{ aFields };
  return Render(aText, scopes);
}

bool
DeployedProcess::HasStarted() const
{
  return ReadFile(m_logFile).find("\"start\"") != std::string::npos;
}

std::string
DeployedProcess::LastLogLine() const
{
  const std::string text = ReadFile(m_logFile);
  const auto end = text.find_last_not_of('\n');
  if (end == std::string::npos) {
    return {};
  }
  const auto before = text.find_last_of('\n', end);
  const auto begin = before == std::string::npos ? 0 : before + 1;
  return text.substr(begin, end + 1 - begin);
}

DeployedSite::DeployedSite(const DeployedSiteOptions& aOptions)
  : m_options(aOptions)
  , m_network(ReserveNetwork())
{
  json seeds = json::array();
  for (std::size_t i = 0; i < std::min(kSeedNodes, aOptions.m_gateways); ++i) {
    seeds.push_back(m_network + std::to_string(kFirstHost + i) + ":8000");
  }
  m_common = { { "seed_nodes", seeds },
               { "bounds", Bounds(aOptions.m_grace) },
               { "internal_ports", { 7700, 7715 } },
               { "limits", { { "link_mbps", 1000.0 } } },
               { "platform", { { "address", aOptions.m_store.ToString() } } },
               { "zone", "here" },
               { "zones", { { "here", "home" }, { "there", "away" } } } };
  if (aOptions.m_memoryMegabytes > 0) {
    m_common["limits"]["memory_mb"] = aOptions.m_memoryMegabytes;
  }
  for (std::size_t i = 0; i < aOptions.m_gateways; ++i) {
    AddVm("gateway", json::object());
  }
  for (const Address& runner : aOptions.m_stagedRunners) {
    AddVm("stager",
          { { "app", runner.ToString() },
            { "service", aOptions.m_stagedService } });
  }
}

void
DeployedSite::AddVm(const std::string& aRole, json aFields)
{
  DeployedVm vm;
  vm.m_role = aRole;
  vm.m_host = m_network + std::to_string(kFirstHost + m_vms.size());
  vm.m_name = aRole + "-" + std::to_string(m_vms.size());
  vm.m_settingsFile = m_options.m_directory + "/" + vm.m_name + ".toml";
  aFields.update(m_common);
  aFields["node_name"] = vm.m_name;
  aFields["bind_ip"] = vm.m_host;
  aFields["listen"] = {
    { "front", Address{ vm.m_host, kFrontPort }.ToString() },
    { "ready", Address{ vm.m_host, kReadyPort }.ToString() },
    { "control", vm.m_host + ":8000" },
    { "directory", vm.m_host + ":8009" }
  };
  vm.m_settings = RenderTemplate(
    ReadFile(SISKINDEAL_SOURCE_DIR "/deploy/" + aRole + ".toml"), aFields);
  m_vms.push_back(std::move(vm));
}

void
DeployedSite::PlaceSettings(std::size_t aVm) const
{
  const DeployedVm& vm = m_vms[aVm];
  const std::string written = vm.m_settingsFile + ".new";
  std::ofstream(written) << vm.m_settings;
  if (std::filesystem::is_directory(vm.m_settingsFile)) {
    std::filesystem::remove(vm.m_settingsFile);
  }
  std::filesystem::rename(written, vm.m_settingsFile);
}

std::string
DeployedSite::LogFile(std::size_t aVm) const
{
  const DeployedVm& vm = m_vms[aVm];
  return m_options.m_directory + "/" + vm.m_name + "." +
         std::to_string(vm.m_starts) + ".log";
}

std::shared_ptr<DeployedProcess>
DeployedSite::Start(std::size_t aVm)
{
  DeployedVm& vm = m_vms[aVm];
  PlaceSettings(aVm);
  ++vm.m_starts;
  auto started = std::make_shared<DeployedProcess>();
  started->m_logFile = LogFile(aVm);
  started->m_process = std::make_unique<Process>(
    std::vector<std::string>{
      BinaryPath(), vm.m_role, "--config", vm.m_settingsFile },
    started->m_logFile);
  AwaitLoaded(started->m_process->Id());
  started->m_startedAt = steady_clock::now();
  return started;
}

} // namespace siskindeal
