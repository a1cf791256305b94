#include "standin/stand_in.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace siskindeal::standin {

namespace {

constexpr std::size_t kMaxBodyBytes = 64 << 20;
constexpr std::size_t kMaxConnections = 4096;
constexpr int kCrashExitStatus = 70;
constexpr const char* kClientHeader = "x-standin-client";
constexpr std::chrono::milliseconds kRetryAfter{ 200 };

std::chrono::milliseconds
ParseMillis(const std::string& aText)
{
  std::int64_t millis = 0;
  return std::chrono::milliseconds(absl::SimpleAtoi(aText, &millis) ? millis
                                                                    : 0);
}

// Drops, truncates or delays a response.
class FaultyResponder final : public HttpResponder
{
public:
  enum class Kind
  {
    Lost,
    Truncated,
    Late,
  };

  FaultyResponder(Responder aInner,
                  Kind aKind,
                  std::chrono::milliseconds aDelay,
                  Scheduler& aScheduler)
    : m_inner(std::move(aInner))
    , m_kind(aKind)
    , m_delay(aDelay)
    , m_scheduler(aScheduler)
  {
  }

  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    switch (m_kind) {
      case Kind::Lost:
        m_inner->Abort();
        return;
      case Kind::Truncated:
        m_inner->BeginStream(aStatus, std::move(aHeaders));
        m_inner->Write(aBody.substr(0, aBody.size() / 2));
        AbortAfterFlush();
        return;
      case Kind::Late:
        m_scheduler.After(m_delay,
                          [inner = m_inner,
                           aStatus,
                           headers = std::move(aHeaders),
                           body = std::move(aBody)]() mutable {
                            inner->Respond(
                              aStatus, std::move(headers), std::move(body));
                          });
        return;
    }
  }

  void BeginStream(int aStatus, HttpHeaders aHeaders) override
  {
    if (m_kind == Kind::Lost) {
      m_inner->Abort();
      return;
    }
    m_inner->BeginStream(aStatus, std::move(aHeaders));
  }

  bool Write(std::string_view aBytes) override
  {
    constexpr int kWritesBeforeAbort = 3;
    if (m_kind == Kind::Truncated && ++m_writes > kWritesBeforeAbort) {
      AbortAfterFlush();
      return true;
    }
    return m_inner->Write(aBytes);
  }

  void EndStream() override
  {
    if (m_kind == Kind::Truncated) {
      AbortAfterFlush();
    } else {
      m_inner->EndStream();
    }
  }

  void Abort() override { m_inner->Abort(); }
  void OnDisconnect(std::function<void()> aTask) override
  {
    m_inner->OnDisconnect(std::move(aTask));
  }

private:
  // The delay lets written bytes reach the client first.
  void AbortAfterFlush()
  {
    constexpr std::chrono::milliseconds kFlushDelay{ 30 };
    m_scheduler.After(kFlushDelay, [inner = m_inner] { inner->Abort(); });
  }

  const Responder m_inner;
  const Kind m_kind;
  const std::chrono::milliseconds m_delay;
  Scheduler& m_scheduler;
  int m_writes = 0;
};

} // namespace

void
Faults::Set(const std::string& aName, Fault aFault)
{
  const absl::MutexLock lock(&m_mutex);
  m_faults[aName] = std::move(aFault);
}

void
Faults::Clear(const std::string& aName)
{
  const absl::MutexLock lock(&m_mutex);
  m_faults.erase(aName);
}

Fault*
Faults::Find(const std::string& aName, const HttpRequest& aRequest)
{
  const auto found = m_faults.find(aName);
  if (found == m_faults.end() || found->second.m_times == 0) {
    return nullptr;
  }
  auto& fault = found->second;
  const bool otherClient =
    !fault.m_client.empty() &&
    GetString(aRequest.m_headers, kClientHeader) != fault.m_client;
  const bool otherPath = aRequest.m_path.rfind(fault.m_pathPrefix, 0) != 0;
  return otherClient || otherPath ? nullptr : &fault;
}

std::optional<std::string>
Faults::Take(const std::string& aName, const HttpRequest& aRequest)
{
  const absl::MutexLock lock(&m_mutex);
  auto* const fault = Find(aName, aRequest);
  if (fault == nullptr) {
    return std::nullopt;
  }
  if (fault->m_times > 0) {
    --fault->m_times;
  }
  return fault->m_value;
}

bool
Faults::TakeIfInBody(const std::string& aName, const HttpRequest& aRequest)
{
  const absl::MutexLock lock(&m_mutex);
  auto* const fault = Find(aName, aRequest);
  if (fault == nullptr ||
      aRequest.m_body.find(fault->m_value) == std::string::npos) {
    return false;
  }
  if (fault->m_times > 0) {
    --fault->m_times;
  }
  return true;
}

std::optional<std::string>
Faults::Take(const std::string& aName)
{
  return Take(aName, HttpRequest());
}

StandIn::StandIn(StandInOptions aOptions)
  : m_options(std::move(aOptions))
  , m_startId(NewId())
{
}

StandIn::~StandIn() = default;

void
StandIn::Start()
{
  m_server = Listen(m_options.m_port, "");
  m_port = m_server->Port();
}

std::unique_ptr<HttpServer>
StandIn::Listen(std::uint16_t aPort, const std::string& aClient)
{
  HttpServerLimits limits;
  limits.m_bodyBytes = kMaxBodyBytes;
  limits.m_connections = kMaxConnections;
  return std::make_unique<HttpServer>(
    m_options.m_host,
    aPort,
    limits,
    [this, aClient](HttpRequest aRequest, Responder aResponder) {
      aRequest.m_headers[kClientHeader] = aClient;
      OnRequest(std::move(aRequest), std::move(aResponder));
    });
}

std::string
StandIn::OpenFor(const std::string& aClient)
{
  m_clientServers.push_back(Listen(0, aClient));
  return "http://" + m_options.m_host + ":" +
         std::to_string(m_clientServers.back()->Port());
}

void
StandIn::Stop()
{
  m_scheduler.Stop();
  m_server.reset();
  m_clientServers.clear();
  const absl::MutexLock lock(&m_mutex);
  m_frozen.clear();
}

std::uint16_t
StandIn::Port() const
{
  return m_port;
}

std::string
StandIn::Instance() const
{
  return m_startId + "." + std::to_string(m_crashes);
}

std::string
StandIn::Url() const
{
  return "http://" + m_options.m_host + ":" + std::to_string(Port());
}

void
StandIn::Unfreeze()
{
  m_faults.Clear("freeze");
  std::vector<std::pair<HttpRequest, Responder>> frozen;
  {
    const absl::MutexLock lock(&m_mutex);
    frozen.swap(m_frozen);
  }
  for (auto& [request, responder] : frozen) {
    OnRequest(std::move(request), std::move(responder));
  }
}

std::size_t
StandIn::Frozen()
{
  const absl::MutexLock lock(&m_mutex);
  return m_frozen.size();
}

void
StandIn::OnRequest(HttpRequest aRequest, Responder aResponder)
{
  if (aRequest.m_path == "/standin/faults") {
    OnFaultRequest(aRequest, aResponder);
    return;
  }
  if (StripPrefix(aRequest.m_path, "/standin/").has_value()) {
    Handle(std::move(aRequest), aResponder);
    return;
  }
  if (m_faults.Take("freeze", aRequest)) {
    const absl::MutexLock lock(&m_mutex);
    m_frozen.emplace_back(std::move(aRequest), std::move(aResponder));
    return;
  }
  if (m_faults.Take("outage", aRequest)) {
    AnswerRetryAfter(aResponder, 503, kRetryAfter);
  } else if (m_faults.Take("refuse", aRequest)) {
    AnswerRetryAfter(aResponder, 429, kRetryAfter);
  } else if (m_faults.Take("reset", aRequest)) {
    aResponder->Abort();
  } else if (const auto delay = m_faults.Take("slow", aRequest)) {
    m_scheduler.After(
      ParseMillis(*delay),
      [this, request = std::move(aRequest), responder = aResponder] {
        HandleWithFaults(request, responder);
      });
  } else {
    HandleWithFaults(std::move(aRequest), aResponder);
  }
}

void
StandIn::HandleWithFaults(HttpRequest aRequest, const Responder& aResponder)
{
  if (m_faults.TakeIfInBody("crash_on_body", aRequest)) {
    Crash(aResponder);
    return;
  }
  using Kind = FaultyResponder::Kind;
  Responder responder = aResponder;
  const auto wrap = [&](const char* aName, Kind aKind) {
    if (const auto value = m_faults.Take(aName, aRequest)) {
      responder = std::make_shared<FaultyResponder>(
        responder, aKind, ParseMillis(*value), m_scheduler);
    }
  };
  wrap("late", Kind::Late);
  wrap("truncate", Kind::Truncated);
  wrap("lose_answer", Kind::Lost);
  try {
    Handle(std::move(aRequest), responder);
  } catch (const Error& refusal) {
    AnswerError(
      responder, HttpStatus(refusal.GetReason()), std::string(refusal.what()));
  } catch (const nlohmann::json::exception& malformed) {
    AnswerError(responder, 400, malformed.what());
  }
}

void
StandIn::Crash(const Responder& aResponder)
{
  if (m_options.m_exitOnCrash) {
    std::_Exit(kCrashExitStatus);
  }
  ++m_crashes;
  OnCrash();
  if (m_options.m_restart.count() == 0) {
    aResponder->Abort();
    return;
  }
  // The server can't be destroyed on its own thread, which its destructor
  // joins. The task holds the responder because destroying it would send a
  // response.
  m_scheduler.After(std::chrono::milliseconds(0),
                    [this, aResponder] { m_server.reset(); });
  m_scheduler.After(m_options.m_restart,
                    [this] { m_server = Listen(m_port, ""); });
}

void
StandIn::OnFaultRequest(const HttpRequest& aRequest,
                        const Responder& aResponder)
{
  const auto body = nlohmann::json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("name")) {
    AnswerError(aResponder, 400, "expected {\"name\",\"value\",\"times\"}");
    return;
  }
  const auto name = body.at("name").get<std::string>();
  if (body.value("clear", false)) {
    m_faults.Clear(name);
    if (name == "freeze") {
      Unfreeze();
    }
  } else {
    Fault fault;
    const auto value = body.value("value", nlohmann::json(""));
    fault.m_value = value.is_string() ? value.get<std::string>() : value.dump();
    fault.m_times = body.value("times", -1);
    fault.m_client = body.value("client", "");
    fault.m_pathPrefix = body.value("path", "");
    m_faults.Set(name, fault);
  }
  Answer(aResponder, 200, { { "ok", true } });
}

void
Answer(const Responder& aResponder, int aStatus, const nlohmann::json& aBody)
{
  aResponder->Respond(
    aStatus, { { "content-type", "application/json" } }, aBody.dump());
}

void
AnswerWithInstance(const StandIn& aStandIn,
                   const Responder& aResponder,
                   const nlohmann::json& aBody)
{
  aResponder->Respond(200,
                      { { "content-type", "application/json" },
                        { "x-upstream-instance", aStandIn.Instance() } },
                      aBody.dump());
}

void
AnswerError(const Responder& aResponder,
            int aStatus,
            const std::string& aReason)
{
  Answer(aResponder, aStatus, { { "error", { { "reason", aReason } } } });
}

void
AnswerRetryAfter(const Responder& aResponder,
                 int aStatus,
                 std::chrono::milliseconds aAfter)
{
  aResponder->Respond(aStatus,
                      { { "content-type", "application/json" },
                        { "retry-after-ms", std::to_string(aAfter.count()) } },
                      R"({"error":{"reason":"unavailable"}})");
}

std::optional<std::string>
StripPrefix(const std::string& aPath, const std::string& aPrefix)
{
  if (aPath.rfind(aPrefix, 0) != 0) {
    return std::nullopt;
  }
  return aPath.substr(aPrefix.size());
}

std::uint64_t
GetNumber(const HttpHeaders& aFields,
          const std::string& aName,
          std::uint64_t aDefault)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(GetString(aFields, aName), &number) ? number
                                                              : aDefault;
}

std::string
GetString(const HttpHeaders& aFields, const std::string& aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? std::string() : found->second;
}

} // namespace siskindeal::standin
