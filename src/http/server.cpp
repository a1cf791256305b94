#include "http/response_p.h"
#include "http/session_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/http.h"
#include "siskindeal/metrics.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace siskindeal {

namespace {

// Connections over the limit that are accepted only to respond with 503.
constexpr std::size_t kMaxExcessConnections = 64;
constexpr int kServiceUnavailable = 503;

// Builds the response to a request that is malformed or exceeds a limit.
LocalReply
MakeLocalReply(int aStatus, std::string_view aReason)
{
  constexpr int kContentTooLarge = 413;
  constexpr int kHeaderFieldsTooLarge = 431;
  if (aStatus == kServiceUnavailable) {
    const Error error(aReason == kOutOfMessageMemory ? Reason::Overloaded
                                                     : Reason::Draining,
                      Verdict::NotRun,
                      std::string(aReason));
    ErrorResponse response = MakeErrorResponse(error, NewId());
    return { std::move(response.m_fields), std::move(response.m_body) };
  }
  const bool tooLarge =
    aStatus == kContentTooLarge || aStatus == kHeaderFieldsTooLarge;
  const Error error(tooLarge ? Reason::TooLarge : Reason::BadRequest,
                    Verdict::NotRun,
                    std::string(aReason));
  CountMetric("siskindeal_http_refused_total",
              { { "reason", std::string(ToString(error.GetReason())) } });
  ErrorResponse response = MakeErrorResponse(error, NewId());
  return { std::move(response.m_fields), std::move(response.m_body) };
}

std::unique_ptr<HttpListener>
Listen(const std::string& aHost,
       std::uint16_t aPort,
       const std::shared_ptr<HttpServerState>& aState)
{
  try {
    return std::make_unique<HttpListener>(
      aState->m_loop,
      Address{ aHost, aPort },
      [state = aState.get()](const auto& aConnection) {
        std::make_shared<HttpSession>(state->shared_from_this(), aConnection)
          ->Start();
      });
  } catch (const std::exception& failure) {
    throw Error(Reason::Unavailable,
                Verdict::NotRun,
                "can't listen on " + aHost + " port " + std::to_string(aPort) +
                  ": " + failure.what());
  }
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(const std::string& aHost,
       std::uint16_t aPort,
       const HttpServerLimits& aLimits,
       HttpHandler aHandler)
    : m_state(std::make_shared<HttpServerState>())
    , m_workGuard(m_state->m_loop.get_executor())
  {
    m_state->m_limits = aLimits;
    m_state->m_handler = std::move(aHandler);
    MemoryBudget::Of(m_state->m_loop).SetLimit(aLimits.m_messageBytes);
    m_state->m_listener = Listen(aHost, aPort, m_state);
    HttpListener& listener = *m_state->m_listener;
    listener.m_limits.m_headerBytes = aLimits.m_headerBytes;
    listener.m_limits.m_bodyBytes = aLimits.m_bodyBytes;
    listener.m_limits.m_headerTimeout = aLimits.m_idleTimeout;
    listener.m_limits.m_idleTimeout = aLimits.m_idleTimeout;
    listener.m_maxConnections = aLimits.m_connections + kMaxExcessConnections;
    listener.m_makeLocalReply = MakeLocalReply;
    m_thread = std::thread([this] { RunLoop(m_state->m_loop); });
  }

  ~Impl()
  {
    m_state->Post([state = m_state.get()] {
      state->m_listener->Stop();
      state->m_listener->CloseAll();
    });
    {
      const OrderedLock lock(m_state->m_mutex);
      m_state->m_stopped = true;
    }
    m_workGuard.reset();
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void StopListening()
  {
    if (m_state->m_loop.get_executor().running_in_this_thread()) {
      m_state->m_listener->Stop();
      return;
    }
    std::promise<void> stopped;
    boost::asio::post(m_state->m_loop, [&] {
      m_state->m_listener->Stop();
      stopped.set_value();
    });
    stopped.get_future().wait();
  }

  void EndUnfinished(std::string_view aReason)
  {
    m_state->Post([state = m_state.get(), reason = std::string(aReason)] {
      state->m_listener->RefuseIncomplete(kServiceUnavailable, reason);
      const Error error(Reason::Timeout, Verdict::MayHaveRun, reason);
      const std::set<HttpSession*> sessions = state->m_sessions;
      for (HttpSession* session : sessions) {
        session->End(error);
      }
    });
  }

  std::uint16_t Port() const { return m_state->m_listener->Port(); }
  std::size_t InFlight() const { return m_state->m_inFlight.load(); }

private:
  std::shared_ptr<HttpServerState> m_state;
  // Keeps the loop running while it has no work.
  boost::asio::executor_work_guard<Loop::executor_type> m_workGuard;
  std::thread m_thread;
};

HttpServer::HttpServer(const std::string& aHost,
                       std::uint16_t aPort,
                       const HttpServerLimits& aLimits,
                       HttpHandler aHandler)
  : m_impl(std::make_unique<Impl>(aHost, aPort, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

void
HttpServer::EndUnfinished(std::string_view aReason)
{
  m_impl->EndUnfinished(aReason);
}

std::uint16_t
HttpServer::Port() const
{
  return m_impl->Port();
}

void
HttpServer::StopListening()
{
  m_impl->StopListening();
}

std::size_t
HttpServer::InFlight() const
{
  return m_impl->InFlight();
}

} // namespace siskindeal
