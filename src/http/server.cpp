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

// Connections over the limit that are still told so.
constexpr std::size_t kRefusableConnections = 64;

// The answer to a request that isn't HTTP, or over a limit.
OwnAnswer
AnswerMalformed(int aStatus, std::string_view aReason)
{
  const bool tooLarge = aStatus == 413 || aStatus == 431;
  const Error error(tooLarge ? Reason::TooLarge : Reason::BadRequest,
                    Verdict::NotRun,
                    std::string(aReason));
  CountMetric("siskindeal_http_refused_total",
              { { "reason", std::string(ToString(error.GetReason())) } });
  Refusal refusal = MakeRefusal(error, NewId());
  return { std::move(refusal.m_fields), std::move(refusal.m_body) };
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
    , m_work(m_state->m_loop.get_executor())
  {
    m_state->m_limits = aLimits;
    m_state->m_handler = std::move(aHandler);
    m_state->m_listener = Listen(aHost, aPort, m_state);
    HttpListener& listener = *m_state->m_listener;
    listener.m_limits.m_headerBytes = aLimits.m_headerBytes;
    listener.m_limits.m_bodyBytes = aLimits.m_bodyBytes;
    listener.m_limits.m_headerTimeout = aLimits.m_idle;
    listener.m_limits.m_idleTimeout = aLimits.m_idle;
    listener.m_mostConnections = aLimits.m_connections + kRefusableConnections;
    listener.m_ownAnswer = AnswerMalformed;
    m_thread = std::thread([this] { m_state->m_loop.run(); });
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
    m_work.reset();
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

  std::uint16_t Port() const { return m_state->m_listener->Port(); }
  std::size_t InFlight() const { return m_state->m_inFlight.load(); }

private:
  std::shared_ptr<HttpServerState> m_state;
  // Keeps the loop running while there is nothing to do.
  boost::asio::executor_work_guard<Loop::executor_type> m_work;
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
