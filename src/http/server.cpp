#include "http/session_p.h"
#include "siskindeal/http.h"

#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

constexpr int kBacklog = 1024;
// Connections over the limit that are still told so, a thread.
constexpr std::size_t kRefusableConnections = 64;
// The library parses headers, and sends, within this much memory a connection.
constexpr std::size_t kLeastConnectionMemory = 64 << 10;

using SessionHolder = std::shared_ptr<HttpSession>;

struct SocketCloser
{
  int m_socket = -1;
  ~SocketCloser()
  {
    if (m_socket >= 0) {
      close(m_socket);
    }
  }
};

[[noreturn]] void
RefuseAddress(const std::string& aHost, std::uint16_t aPort, const char* aWhy)
{
  throw Error(Reason::Unavailable,
              Verdict::NotRun,
              "can't listen on " + aHost + " port " + std::to_string(aPort) +
                ": " + aWhy);
}

int
Listen(const std::string& aHost, std::uint16_t aPort)
{
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_PASSIVE;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  const auto port = std::to_string(aPort);
  const int failure = getaddrinfo(aHost.c_str(), port.c_str(), &hints, &found);
  if (failure != 0) {
    RefuseAddress(aHost, aPort, gai_strerror(failure));
  }
  const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> address(
    found, &freeaddrinfo);
  SocketCloser closer{ socket(
    address->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0) };
  const int on = 1;
  setsockopt(closer.m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(closer.m_socket, address->ai_addr, address->ai_addrlen) != 0 ||
      listen(closer.m_socket, kBacklog) != 0) {
    RefuseAddress(aHost, aPort, std::strerror(errno));
  }
  return std::exchange(closer.m_socket, -1);
}

std::uint16_t
BoundPort(int aSocket)
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.ss_family == AF_INET6
                 ? reinterpret_cast<sockaddr_in6*>(&address)->sin6_port
                 : reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

void*
OnTarget(void* aState, const char* aTarget, MHD_Connection*)
{
  auto& state = *static_cast<std::shared_ptr<HttpServerState>*>(aState);
  return new SessionHolder(std::make_shared<HttpSession>(state, aTarget));
}

MHD_Result
OnAccess(void*,
         MHD_Connection* aConnection,
         const char*,
         const char* aMethod,
         const char* aVersion,
         const char* aUpload,
         std::size_t* aUploadSize,
         void** aHolder)
{
  return (*static_cast<SessionHolder*>(*aHolder))
    ->OnAccess(aConnection, aMethod, aVersion, aUpload, aUploadSize);
}

void
OnCompleted(void*,
            MHD_Connection*,
            void** aHolder,
            MHD_RequestTerminationCode aCode)
{
  auto* const holder =
    static_cast<SessionHolder*>(std::exchange(*aHolder, nullptr));
  if (holder != nullptr) {
    (*holder)->OnCompleted(aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    delete holder;
  }
}

void
OnConnection(void* aState,
             MHD_Connection*,
             void**,
             MHD_ConnectionNotificationCode aCode)
{
  auto& state = *static_cast<std::shared_ptr<HttpServerState>*>(aState);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    ++state->m_connections;
  } else {
    --state->m_connections;
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
  {
    m_state->m_limits = aLimits;
    m_state->m_handler = std::move(aHandler);
    SocketCloser closer{ Listen(aHost, aPort) };
    m_port = BoundPort(closer.m_socket);
    Start(closer.m_socket);
    if (m_daemon == nullptr) {
      RefuseAddress(aHost, aPort, "the HTTP library refused to start");
    }
    closer.m_socket = -1;
  }

  ~Impl()
  {
    StopListening();
    m_state->m_stopping = true;
    for (const auto& session : Sessions()) {
      session->CloseForStop();
    }
    MHD_stop_daemon(m_daemon);
    m_state->m_watcher.Stop();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void StopListening()
  {
    if (m_state->m_draining.exchange(true)) {
      return;
    }
    const int listener = MHD_quiesce_daemon(m_daemon);
    if (listener >= 0) {
      close(listener);
    }
  }

  std::uint16_t Port() const { return m_port; }
  std::size_t InFlight() const { return m_state->m_inFlight.load(); }

private:
  void Start(int aListener)
  {
    const auto& limits = m_state->m_limits;
    const auto threads =
      static_cast<unsigned>(std::max<std::size_t>(limits.m_threads, 1));
    const auto connections = static_cast<unsigned>(
      (limits.m_connections + kRefusableConnections) * threads);
    const auto memory =
      std::max(kLeastConnectionMemory, limits.m_headerBytes * 4);
    std::vector<MHD_OptionItem> options = {
      { MHD_OPTION_LISTEN_SOCKET, aListener, nullptr },
      { MHD_OPTION_CONNECTION_LIMIT, connections, nullptr },
      { MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        static_cast<std::intptr_t>(memory),
        nullptr },
      { MHD_OPTION_CONNECTION_TIMEOUT, limits.m_idle.count(), nullptr },
      { MHD_OPTION_NOTIFY_COMPLETED,
        reinterpret_cast<std::intptr_t>(&OnCompleted),
        &m_state },
      { MHD_OPTION_NOTIFY_CONNECTION,
        reinterpret_cast<std::intptr_t>(&OnConnection),
        &m_state },
      { MHD_OPTION_URI_LOG_CALLBACK,
        reinterpret_cast<std::intptr_t>(&OnTarget),
        &m_state },
    };
    if (threads > 1) {
      options.push_back({ MHD_OPTION_THREAD_POOL_SIZE, threads, nullptr });
    }
    options.push_back({ MHD_OPTION_END, 0, nullptr });
    m_daemon =
      MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                       0,
                       nullptr,
                       nullptr,
                       &OnAccess,
                       nullptr,
                       MHD_OPTION_ARRAY,
                       options.data(),
                       MHD_OPTION_END);
  }

  std::vector<std::shared_ptr<HttpSession>> Sessions()
  {
    const OrderedLock lock(m_state->m_mutex);
    return { m_state->m_sessions.begin(), m_state->m_sessions.end() };
  }

  std::shared_ptr<HttpServerState> m_state;
  MHD_Daemon* m_daemon = nullptr;
  std::uint16_t m_port = 0;
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
