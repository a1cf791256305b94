#include "http/listener_p.h"
#include "http/session_p.h"
#include "siskindeal/http.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

// Connections over the limit that are still told so, a thread.
constexpr std::size_t kRefusableConnections = 64;
// The library parses headers, and sends, within this much memory a connection.
constexpr std::size_t kLeastConnectionMemory = 64 << 10;

constexpr std::chrono::seconds kLongestClose{ 5 };
constexpr std::chrono::milliseconds kClosePoll{ 1 };

using SessionHolder = std::shared_ptr<HttpSession>;

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
             MHD_Connection* aConnection,
             void**,
             MHD_ConnectionNotificationCode aCode)
{
  auto& state = *static_cast<std::shared_ptr<HttpServerState>*>(aState);
  const int socket =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
  const OrderedLock lock(state->m_mutex);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    state->m_sockets.insert(socket);
  } else {
    state->m_sockets.erase(socket);
  }
  state->m_connections = state->m_sockets.size();
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
    , m_listener(aHost, aPort)
  {
    m_state->m_limits = aLimits;
    m_state->m_handler = std::move(aHandler);
    StartDaemon();
    if (m_daemon == nullptr) {
      throw Error(Reason::Unavailable,
                  Verdict::NotRun,
                  "the HTTP library refused to start");
    }
    m_listener.Start([this](const AcceptedSocket& aAccepted) {
      MHD_add_connection(m_daemon,
                         aAccepted.m_socket,
                         reinterpret_cast<const sockaddr*>(&aAccepted.m_peer),
                         aAccepted.m_peerLength);
    });
  }

  ~Impl()
  {
    StopListening();
    m_state->m_stopping = true;
    for (const auto& session : Sessions()) {
      session->CloseForStop();
    }
    CloseConnections();
    MHD_stop_daemon(m_daemon);
    m_state->m_watcher.Stop();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void StopListening()
  {
    if (!m_state->m_draining.exchange(true)) {
      m_listener.Stop();
    }
  }

  std::uint16_t Port() const { return m_listener.Port(); }
  std::size_t InFlight() const { return m_state->m_inFlight.load(); }

private:
  void StartDaemon()
  {
    const auto& limits = m_state->m_limits;
    const auto threads =
      static_cast<unsigned>(std::max<std::size_t>(limits.m_threads, 1));
    const auto connections = static_cast<unsigned>(
      (limits.m_connections + kRefusableConnections) * threads);
    const auto memory =
      std::max(kLeastConnectionMemory, limits.m_headerBytes * 4);
    std::vector<MHD_OptionItem> options = {
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
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
                                  MHD_ALLOW_SUSPEND_RESUME |
                                  MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC,
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

  // A malformed request that arrives while the library stops makes it use a
  // response it doesn't have; so it is stopped without connections.
  void CloseConnections()
  {
    {
      const OrderedLock lock(m_state->m_mutex);
      for (const int socket : m_state->m_sockets) {
        shutdown(socket, SHUT_RDWR);
      }
    }
    const auto end = std::chrono::steady_clock::now() + kLongestClose;
    while (m_state->m_connections > 0 &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kClosePoll);
    }
  }

  std::shared_ptr<HttpServerState> m_state;
  MHD_Daemon* m_daemon = nullptr;
  // The library's own quiesce call races with its threads, which then abort; so
  // connections are accepted here and handed over.
  Listener m_listener;
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
