#include "lab.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr int kClientTimeoutMs = 8000;

std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

const std::int64_t gStart = SteadyMs();

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  for (const char separator : { '?', '&' }) {
    const std::size_t at = aTarget.find(separator + aName + "=");
    if (at != std::string::npos) {
      const std::size_t begin = at + aName.size() + 2;
      return aTarget.substr(begin, aTarget.find('&', begin) - begin);
    }
  }
  return {};
}

std::string
ObjectText(const std::string& aName, const StoredObject& aObject)
{
  return R"({"metadata":{"name":")" + aName + R"(","rev":)" +
         std::to_string(aObject.m_revision) + R"(,"created":)" +
         std::to_string(aObject.m_created) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + aObject.m_spec +
         R"(,"status":{}})";
}

} // namespace

std::int64_t
Now()
{
  return SteadyMs() - gStart;
}

void
SleepUntil(std::int64_t aTime)
{
  const std::int64_t left = aTime - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(left));
  }
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_file << Now() << " ms " << aLine << '\n' << std::flush;
}

Store::Store(const std::string& aHost, Record& aRecord)
  : m_record(aRecord)
  , m_server(aHost,
             0,
             [this](Connection& aConnection, const Message& aRequest) {
               return Answer(aConnection, aRequest);
             })
{
}

std::uint64_t
Store::Apply(const std::string& aKind,
             const std::string& aName,
             const std::string* aSpec)
{
  auto& objects = m_objects[aKind];
  const auto found = objects.find(aName);
  const bool same =
    aSpec == nullptr ? found == objects.end()
                     : found != objects.end() && found->second.m_spec == *aSpec;
  if (same) {
    return m_revision;
  }
  ++m_revision;
  StoredObject& object = objects[aName];
  object.m_revision = m_revision;
  if (object.m_created == 0) {
    object.m_created = m_revision;
  }
  if (aSpec != nullptr) {
    object.m_spec = *aSpec;
  }
  m_changes.push_back({ m_revision,
                        aKind,
                        R"({"object":)" + ObjectText(aName, object) +
                          R"(,"deleted":)" +
                          (aSpec == nullptr ? "true}" : "false}") });
  if (aSpec == nullptr) {
    objects.erase(aName);
  }
  m_changed.notify_all();
  return m_revision;
}

std::int64_t
Store::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
{
  std::uint64_t revision = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    revision = Apply(aKind, aName, &aSpec);
  }
  m_record.Add("store: " + aKind + "/" + aName + " written, revision " +
               std::to_string(revision));
  return Now();
}

std::int64_t
Store::Remove(const std::string& aKind, const std::string& aName)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Apply(aKind, aName, nullptr);
  }
  m_record.Add("store: " + aKind + "/" + aName + " removed");
  return Now();
}

std::uint64_t
Store::Revision()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_revision;
}

Store::Copy
Store::TakeCopy()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return { m_revision, m_changes.size(), m_objects };
}

void
Store::GoAway()
{
  m_server.Stop();
  m_record.Add("store: away, at revision " + std::to_string(Revision()));
}

void
Store::ComeBack(const Copy& aCopy)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_objects = aCopy.m_objects;
    m_changes.resize(aCopy.m_changes);
    m_revision = aCopy.m_revision;
    ++m_era;
  }
  m_record.Add("store: back from a copy, at revision " +
               std::to_string(Revision()));
  m_server.Start();
}

std::string
Store::List(const std::string& aKind)
{
  std::string items;
  for (const auto& [name, object] : m_objects[aKind]) {
    items += (items.empty() ? "" : ",") + ObjectText(name, object);
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
         std::to_string(m_revision) + "}";
}

std::string
Store::Watch(const std::string& aKind,
             std::uint64_t aSince,
             std::int64_t aWaitMs,
             int& aStatus)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::uint64_t era = m_era;
  m_record.Add("store: watch of " + aKind + " from " + std::to_string(aSince) +
               " at revision " + std::to_string(m_revision));
  if (aSince > m_revision) {
    aStatus = 410;
    return "{}";
  }
  std::string events;
  const auto find = [&] {
    events.clear();
    for (const Change& change : m_changes) {
      if (change.m_kind == aKind && change.m_revision > aSince) {
        events += (events.empty() ? "" : ",") + change.m_event;
      }
    }
    return !events.empty() || m_era != era;
  };
  m_changed.wait_for(lock, std::chrono::milliseconds(aWaitMs), find);
  return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) +
         "}";
}

std::string
Store::Write(const Message& aRequest,
             const std::string& aKind,
             const std::string& aName,
             int& aStatus)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  const std::lock_guard<std::mutex> lock(m_mutex);
  auto& objects = m_objects[aKind];
  if (aRequest.Method() == "DELETE") {
    Apply(aKind, aName, nullptr);
    return "{}";
  }
  if (body.is_discarded() || !body.contains("spec")) {
    aStatus = 400;
    return "{}";
  }
  const bool creates = aRequest.Method() == "POST";
  const std::string name =
    creates ? body.at("metadata").at("name").get<std::string>() : aName;
  if (creates == objects.contains(name)) {
    aStatus = creates ? 409 : 404;
    return creates ? ObjectText(name, objects[name]) : "{}";
  }
  const std::string spec = body.at("spec").dump();
  Apply(aKind, name, &spec);
  return ObjectText(name, objects[name]);
}

bool
Store::Answer(Connection& aConnection, const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/siskindeal/objects/";
  int status = 200;
  std::string body = "{}";
  if (path.rfind(prefix, 0) != 0) {
    status = 404;
  } else {
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string since = QueryValue(target, "watch");
    if (aRequest.Method() != "GET") {
      body = Write(aRequest, kind, name, status);
    } else if (!since.empty()) {
      body = Watch(kind,
                   std::strtoull(since.c_str(), nullptr, 10),
                   std::atoll(QueryValue(target, "wait_ms").c_str()),
                   status);
    } else {
      const std::lock_guard<std::mutex> lock(m_mutex);
      body = List(kind);
    }
  }
  std::uint64_t era = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    era = m_era;
  }
  return aConnection.Send(Response(status,
                                   { { "Content-Type", "application/json" },
                                     { "Store-Era", std::to_string(era) } },
                                   body));
}

void
Arrivals::Add(const Arrival& aArrival)
{
  m_record.Add("runner " + aArrival.m_runner + ": " +
               (aArrival.m_run ? "runs " : "rejects ") + aArrival.m_attempt +
               " of " + aArrival.m_tenant + " " + aArrival.m_path);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_all.push_back(aArrival);
}

std::vector<Arrival>
Arrivals::All()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_all;
}

Runner::Runner(std::string aId,
               std::string aService,
               const std::string& aHost,
               std::string aZone,
               Arrivals& aArrivals,
               Play aPlay)
  : m_id(std::move(aId))
  , m_service(std::move(aService))
  , m_zone(std::move(aZone))
  , m_born(UnixMs())
  , m_arrivals(aArrivals)
  , m_play(std::move(aPlay))
  , m_server(aHost,
             0,
             [this](Connection& aConnection, const Message& aRequest) {
               return Answer(aConnection, aRequest);
             })
{
}

void
Runner::Start()
{
  m_born = UnixMs();
  m_server.Start();
}

std::string
Runner::Entry(const std::string& aState, int aColdMs) const
{
  return json{
    { "service", m_service },
    { "address", m_server.Address() },
    { "zone", m_zone },
    { "version", "1" },
    { "slots", kSlots },
    { "state", aState },
    { "cold_remaining_ms", aColdMs },
    { "born", m_born.load() }
  }.dump();
}

std::vector<std::pair<std::string, std::string>>
Runner::Fields(const Message& aRequest)
{
  const std::string attempt = aRequest.Field("x-siskindeal-attempt-id");
  std::vector<std::pair<std::string, std::string>> fields = {
    { "X-Siskindeal-Attempt-Id", attempt },
    { "X-Siskindeal-Runner-Signature", m_id + "." + attempt },
    { "X-Siskindeal-Runner-Load",
      std::to_string(m_active) + ",0," + std::to_string(kSlots) }
  };
  if (m_leaving) {
    fields.emplace_back("Server-Leaving", "1");
  }
  return fields;
}

bool
Runner::Answer(Connection& aConnection, const Message& aRequest)
{
  const std::string expected = aRequest.Field("x-siskindeal-expect-instance");
  const std::string attempt = aRequest.Field("x-siskindeal-attempt-id");
  const bool run = expected.empty() || expected == m_id;
  if (aRequest.Target() == "/healthz") {
    return aConnection.Send(
      Response(200, { { "X-Siskindeal-Runner-Id", m_id } }, "ok"));
  }
  m_arrivals.Add({ Now(),
                   m_id,
                   attempt,
                   aRequest.Field("x-siskindeal-tenant"),
                   aRequest.Target(),
                   run });
  if (!run) {
    return aConnection.Send(Response(421,
                                     { { "X-Siskindeal-Attempt-Id", attempt },
                                       { "X-Siskindeal-Runner-Id", m_id } },
                                     ""));
  }
  if (m_play) {
    return m_play(*this, aConnection, aRequest);
  }
  ++m_active;
  std::this_thread::sleep_for(std::chrono::milliseconds(kWorkMs));
  --m_active;
  return aConnection.Send(Response(200, Fields(aRequest), "done " + attempt));
}

Process::Process(std::vector<std::string> aCommand, const std::string& aLog)
  : m_id(fork())
{
  if (m_id != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case's program
  const int log =
    open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (std::string& word : aCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

bool
Process::Running()
{
  int status = 0;
  if (m_id > 0 && waitpid(m_id, &status, WNOHANG) == m_id) {
    m_id = -1;
    m_end = WIFSIGNALED(status)
              ? "signal " + std::to_string(WTERMSIG(status))
              : "exit status " + std::to_string(WEXITSTATUS(status));
  }
  return m_id > 0;
}

std::int64_t
Process::MemoryKb() const
{
  std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
  const std::string key = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(key, 0) == 0) {
      return std::atoll(line.c_str() + key.size());
    }
  }
  return 0;
}

Process::~Process()
{
  if (Running()) {
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
}

Gateways::Gateways(std::string aBinary,
                   std::string aFolder,
                   const std::string& aStore,
                   int aCount)
  : m_binary(std::move(aBinary))
  , m_folder(std::move(aFolder))
  , m_processes(static_cast<std::size_t>(aCount))
  , m_ends(static_cast<std::size_t>(aCount))
{
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    hosts.push_back(Host(i));
  }
  constexpr int kPorts = 4;
  m_port = FreePorts(hosts, kPorts);
  std::string entries;
  std::string regions;
  for (int i = 0; i < aCount; ++i) {
    const std::string number = std::to_string(i + 1);
    entries +=
      (i == 0 ? "\"" : ", \"") + Host(i) + ":" + std::to_string(m_port) + "\"";
    regions.append("\"zone-" + number).append("\" = \"region-" + number);
    regions += "\"\n";
  }
  const auto address = [&](int aGateway, int aOffset) {
    return "\"" + Host(aGateway) + ":" + std::to_string(m_port + aOffset) +
           "\"\n";
  };
  for (int i = 0; i < aCount; ++i) {
    const std::string number = std::to_string(i + 1);
    const std::string file = m_folder + "/gateway-" + number + ".toml";
    // deploy/gateway.toml with the bounds of the deployment's sheet.
    std::ofstream(file) << "[node]\nvm = \"edge-" << number << "\"\nplace = "
                        << "\"zone-" << number << "\"\nrpc = " << address(i, 0)
                        << "http = " << address(i, 1) << "entries = ["
                        << entries << "]\n\n[platform]\nurl = \"http://"
                        << aStore
                        << "\"\n\n[gateway]\nready = " << address(i, 2)
                        << "directory = " << address(i, 3)
                        << "config_within = \"2000ms\"\n"
                        << "revoke_within = \"5000ms\"\n"
                        << "version_within = \"8000ms\"\n"
                        << "grace_seconds = 8\nretry_ratio = 0.2\n"
                        << "retry_window_seconds = 10\nretry_slack = 106\n\n"
                        << "[gateway.regions]\n"
                        << regions;
    Start(i);
  }
}

void
Gateways::Start(int aGateway)
{
  const std::string name =
    m_folder + "/gateway-" + std::to_string(aGateway + 1);
  m_processes[aGateway] = std::make_unique<Process>(
    std::vector<std::string>{ m_binary, "gateway", "--config", name + ".toml" },
    name + ".log");
}

void
Gateways::RestartEnded(Record& aRecord)
{
  for (int i = 0; i < Count(); ++i) {
    if (!m_processes[i]->Running()) {
      ++m_ends[i];
      aRecord.Add("gateway " + std::to_string(i + 1) + ": ended by itself, " +
                  m_processes[i]->End());
      Start(i);
    }
  }
}

void
Gateways::KillAll()
{
  for (auto& process : m_processes) {
    process.reset();
  }
}

void
Gateways::StartAll()
{
  for (int i = 0; i < Count(); ++i) {
    Start(i);
  }
}

int
Gateways::Ends(int aGateway) const
{
  return m_ends[aGateway];
}

std::string
Gateways::Host(int aGateway) const
{
  constexpr int kFirstHost = 11;
  return "127.0.0." + std::to_string(kFirstHost + aGateway);
}

std::uint16_t
Gateways::Front() const
{
  return static_cast<std::uint16_t>(m_port + 1);
}

bool
Gateways::AllRunning()
{
  bool all = true;
  for (const auto& process : m_processes) {
    all = process->Running() && all;
  }
  return all;
}

bool
Gateways::AwaitReady()
{
  constexpr std::int64_t kLongest = 15000;
  const std::int64_t end = Now() + kLongest;
  int ready = 0;
  while (ready < Count() && Now() < end) {
    const auto connection =
      Connection::Open(Host(ready), static_cast<std::uint16_t>(m_port + 2));
    if (connection && connection->Send(
                        "GET /siskindeal/readyz HTTP/1.1\r\nHost: a\r\n\r\n")) {
      const auto answer = connection->Read(1000);
      if (answer && answer->Status() == 200) {
        ++ready;
        continue;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return ready == Count();
}

std::string
Clients::Send(const ClientRequest& aRequest, int aGateway)
{
  Outcome outcome;
  outcome.m_attempt = "a" + std::to_string(++m_next);
  outcome.m_gateway = aGateway;
  outcome.m_sentAt = Now();
  ++m_running;
  std::thread([this, aRequest, outcome] {
    Run(aRequest, outcome);
    --m_running;
  }).detach();
  return outcome.m_attempt;
}

void
Clients::Run(const ClientRequest& aRequest, Outcome aOutcome)
{
  std::string text =
    aRequest.m_method + " " + aRequest.m_path + " HTTP/1.1\r\nHost: " + m_host +
    "\r\nX-Siskindeal-Attempt-Id: " + aOutcome.m_attempt +
    "\r\nX-Siskindeal-Deadline-Ms: " + std::to_string(aRequest.m_deadlineMs) +
    "\r\nAuthorization: Bearer " + aRequest.m_key + "\r\n";
  for (const auto& [name, value] : aRequest.m_fields) {
    AppendField(text, name, value);
  }
  text += "Content-Length: " + std::to_string(aRequest.m_body.size()) +
          "\r\n\r\n" + aRequest.m_body;
  m_record.Add("client: sends " + aOutcome.m_attempt + " " + aRequest.m_path +
               " with key " + aRequest.m_key + " to gateway " +
               std::to_string(aOutcome.m_gateway + 1));
  const auto connection =
    Connection::Open(m_gateways.Host(aOutcome.m_gateway), m_gateways.Front());
  std::string body;
  if (connection && connection->Send(text)) {
    const auto answer = connection->Read(kClientTimeoutMs);
    if (answer && answer->m_complete) {
      aOutcome.m_status = answer->Status();
      body = answer->m_body.substr(0, 120);
    }
  }
  m_record.Add("client: " + aOutcome.m_attempt + " gets " +
               (aOutcome.m_status == 0 ? "no complete answer"
                                       : std::to_string(aOutcome.m_status)) +
               " " + body);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_outcomes.push_back(aOutcome);
}

void
Clients::Wait()
{
  while (m_running > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

std::vector<Outcome>
Clients::All()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_outcomes;
}

std::string
PlainConfig(std::uint64_t aVersion,
            const std::string& aService,
            const std::vector<Tenant>& aTenants)
{
  json tenants = json::array();
  for (const Tenant& tenant : aTenants) {
    tenants.push_back(
      { { "name", tenant.m_name }, { "api_keys", tenant.m_keys } });
  }
  const auto route =
    [&](const std::string& aName, const std::string& aKind, int aAttempts) {
      return json{ { "name", "r-" + aName },
                   { "host", "tee.example" },
                   { "path_prefix", "/" + aName + "/" },
                   { "kind", aKind },
                   { "timeout_ms", 1200 },
                   { "target_latency_ms", 150 },
                   { "max_attempts", aAttempts },
                   { "priority", 2 },
                   { "service", aService } };
    };
  return json{
    { "version", aVersion },
    { "routes",
      { route("book", "non_idempotent", 1), route("look", "idempotent", 2) } },
    { "services", { { { "name", aService }, { "health_path", "/healthz" } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 5000 },
        { "idle_timeout_ms", 30000 } } },
    { "tenants", tenants }
  }.dump();
}

Options
ReadOptions(int aCount, char** aArguments)
{
  if (aCount != 4) {
    throw std::invalid_argument("usage: CASE BINARY FOLDER TEMPORARY");
  }
  const char* trouble = std::getenv("TROUBLE");
  return { aArguments[1],
           aArguments[2],
           aArguments[3],
           trouble == nullptr || std::string(trouble) != "0" };
}

} // namespace review
