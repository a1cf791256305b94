#include "http/session_p.h"

#include "http/response_p.h"
#include "http/uri_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <absl/strings/ascii.h>
#include <boost/asio/post.hpp>

#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kOverloadRetryAfter{ 1000 };

// The handle that is passed to handlers. Sends a 500 if it is released without
// a response.
class Responder final : public HttpResponder
{
public:
  explicit Responder(std::shared_ptr<HttpSession> aSession)
    : m_session(std::move(aSession))
  {
  }
  ~Responder() override { m_session->OnDropped(); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    m_session->Respond(aStatus, aHeaders, std::move(aBody));
  }
  void BeginStream(int aStatus, HttpHeaders aHeaders) override
  {
    m_session->BeginStream(aStatus, aHeaders);
  }
  bool Write(std::string_view aBytes) override
  {
    return m_session->Write(aBytes);
  }
  void EndStream() override { m_session->EndStream(); }
  void Abort() override { m_session->Abort(); }
  void OnDisconnect(std::function<void()> aTask) override
  {
    m_session->OnDisconnect(std::move(aTask));
  }

private:
  const std::shared_ptr<HttpSession> m_session;
};

[[noreturn]] void
ThrowBadRequest(const std::string& aWhat)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, aWhat);
}

// Returns headers with lower-case names. Values of repeated names are joined.
HttpHeaders
ParseHeaders(const HttpFields& aFields)
{
  HttpHeaders headers;
  int hostCount = 0;
  for (const auto& [field, value] : aFields.All()) {
    const auto name = absl::AsciiStrToLower(field);
    if (!IsToken(name)) {
      ThrowBadRequest("header name: invalid character");
    }
    if (HasControlCharacter(value)) {
      ThrowBadRequest(name + ": control character");
    }
    if (name == "host" && ++hostCount > 1) {
      ThrowBadRequest("host: duplicate header");
    }
    const auto [existing, added] = headers.emplace(name, value);
    if (!added) {
      existing->second += (name == "cookie" ? "; " : ", ") + value;
    }
  }
  return headers;
}

std::string
GetRequestId(const HttpHeaders& aHeaders)
{
  const auto id = aHeaders.find(std::string(kRequestIdHeader));
  return id == aHeaders.end() ? NewId() : id->second;
}

} // namespace

void
HttpServerState::Post(std::function<void()> aTask)
{
  const OrderedLock lock(m_mutex);
  if (!m_stopped) {
    boost::asio::post(m_loop, std::move(aTask));
  }
}

HttpSession::HttpSession(std::shared_ptr<HttpServerState> aState,
                         std::shared_ptr<ServerConnection> aConnection)
  : m_state(std::move(aState))
  , m_connection(std::move(aConnection))
{
}

void
HttpSession::Start()
{
  const IncomingRequest& incoming = m_connection->Request();
  HttpRequest request;
  request.m_method = incoming.m_method;
  request.m_body = incoming.m_body;
  try {
    request.m_headers = ParseHeaders(incoming.m_fields);
    auto target = ParseRequestTarget(incoming.m_target);
    request.m_path = std::move(target.m_path);
    request.m_query = std::move(target.m_query);
    if (m_state->m_listener->Connections() > m_state->m_limits.m_connections) {
      throw Error(Reason::Overloaded,
                  Verdict::NotRun,
                  "too many connections",
                  kOverloadRetryAfter);
    }
  } catch (const Error& refusal) {
    const ErrorResponse response =
      MakeErrorResponse(refusal, GetRequestId(request.m_headers));
    const auto connection = std::exchange(m_connection, nullptr);
    CountMetric("siskindeal_http_refused_total",
                { { "reason", std::string(ToString(refusal.GetReason())) } });
    connection->CloseAfterResponse();
    connection->SendResponse(
      HttpStatus(refusal.GetReason()), {}, response.m_fields, response.m_body);
    return;
  }
  Dispatch(std::move(request));
}

void
HttpSession::Dispatch(HttpRequest aRequest)
{
  ++m_state->m_inFlight;
  m_state->m_sessions.insert(this);
  m_connection->m_onDisconnect = [self = shared_from_this()] {
    self->OnDisconnected();
  };
  m_connection->m_onSent = [self = shared_from_this()] { self->OnSent(); };
  const auto responder = std::make_shared<Responder>(shared_from_this());
  const std::string id = GetRequestId(aRequest.m_headers);
  try {
    m_state->m_handler(std::move(aRequest), responder);
  } catch (const Error& failure) {
    RespondError(failure, id);
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "handler_failed", { { "what", failure.what() } });
    RespondError(Error(Reason::Internal, Verdict::MayHaveRun, "internal error"),
                 id);
  }
}

void
HttpSession::OnDisconnected()
{
  std::vector<std::function<void()>> tasks;
  {
    const OrderedLock lock(m_mutex);
    m_disconnected = true;
    tasks.swap(m_disconnectTasks);
  }
  for (const auto& task : tasks) {
    task();
  }
}

void
HttpSession::OnSent()
{
  m_state->m_sessions.erase(this);
  --m_state->m_inFlight;
  m_connection.reset();
  const OrderedLock lock(m_mutex);
  m_sent = true;
  m_disconnectTasks.clear();
}

void
HttpSession::Post(Step aStep)
{
  m_state->Post([self = shared_from_this(), step = std::move(aStep)] {
    if (const auto connection = self->m_connection) {
      step(*connection);
    }
  });
}

void
HttpSession::Advance(Stage aFrom, Stage aTo, Step aStep)
{
  const OrderedLock lock(m_mutex);
  if (m_stage == aFrom) {
    m_stage = aTo;
    Post(std::move(aStep));
  }
}

void
HttpSession::Respond(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string aBody)
{
  Advance(Stage::Waiting,
          Stage::Ended,
          [aStatus, fields = MakeFields(aHeaders), body = std::move(aBody)](
            ServerConnection& aConnection) {
            aConnection.SendResponse(aStatus, {}, fields, body);
          });
}

void
HttpSession::RespondError(const Error& aError, const std::string& aRequestId)
{
  Advance(
    Stage::Waiting,
    Stage::Ended,
    [status = HttpStatus(aError.GetReason()),
     response =
       MakeErrorResponse(aError, aRequestId)](ServerConnection& aConnection) {
      aConnection.SendResponse(status, {}, response.m_fields, response.m_body);
    });
}

void
HttpSession::BeginStream(int aStatus, const HttpHeaders& aHeaders)
{
  Advance(
    Stage::Waiting,
    Stage::Streaming,
    [aStatus, fields = MakeFields(aHeaders)](ServerConnection& aConnection) {
      aConnection.SendHead(aStatus, {}, fields, std::nullopt);
    });
}

bool
HttpSession::Write(std::string_view aBytes)
{
  const OrderedLock lock(m_mutex);
  if (m_disconnected || m_sent || m_stage != Stage::Streaming) {
    return false;
  }
  Post([bytes = std::string(aBytes)](ServerConnection& aConnection) {
    aConnection.SendPart(bytes);
  });
  return true;
}

void
HttpSession::EndStream()
{
  Advance(Stage::Streaming, Stage::Ended, [](ServerConnection& aConnection) {
    aConnection.SendEnd();
  });
}

void
HttpSession::Abort()
{
  const OrderedLock lock(m_mutex);
  if (m_stage != Stage::Ended) {
    m_stage = Stage::Ended;
    Post([](ServerConnection& aConnection) { aConnection.AbortResponse(); });
  }
}

void
HttpSession::End(const Error& aError)
{
  RespondError(aError, NewId());
  Abort();
}

void
HttpSession::OnDisconnect(std::function<void()> aTask)
{
  {
    const OrderedLock lock(m_mutex);
    if (!m_disconnected) {
      if (!m_sent) {
        m_disconnectTasks.push_back(std::move(aTask));
      }
      return;
    }
  }
  aTask();
}

void
HttpSession::OnDropped()
{
  Stage stage;
  {
    const OrderedLock lock(m_mutex);
    stage = m_sent || m_disconnected ? Stage::Ended : m_stage;
  }
  if (stage == Stage::Waiting) {
    Log(LogLevel::Error, "request_dropped_unanswered");
    RespondError(Error(Reason::Internal, Verdict::MayHaveRun, "internal error"),
                 NewId());
  } else if (stage == Stage::Streaming) {
    Abort();
  }
}

} // namespace siskindeal
