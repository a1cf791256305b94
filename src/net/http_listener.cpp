// The listener of the HTTP server: accepts, counts and closes connections.

#include "net/http_server_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptRetryDelay{ 50 }; // if out of descriptors

} // namespace

HttpListener::HttpListener(Loop& aLoop,
                           const Address& aAddress,
                           Handler aHandler)
  : m_loop(aLoop)
  , m_acceptor(aLoop)
  , m_acceptTimer(aLoop)
  , m_handler(std::move(aHandler))
{
  constexpr int kBacklog = 1024;
  const Tcp::endpoint endpoint = EndpointOf(aAddress);
  try {
    m_acceptor.open(endpoint.protocol());
    SetCloseOnExec(m_acceptor.native_handle());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(kBacklog);
    m_port = m_acceptor.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    ThrowListenError(error, aAddress);
  }
  Accept();
}

void
HttpListener::Accept()
{
  m_acceptor.async_accept([this](const NetError& aError, Tcp::socket aSocket) {
    if (!m_acceptor.is_open()) {
      return;
    }
    if (aError) {
      m_acceptTimer.expires_after(kAcceptRetryDelay);
      m_acceptTimer.async_wait([this](const NetError& aCancelled) {
        if (!aCancelled) {
          Accept();
        }
      });
      return;
    }
    if (m_connections.size() < m_maxConnections) {
      std::make_shared<ServerConnection>(m_loop, std::move(aSocket), *this)
        ->Start();
    } else {
      RecordEnd(ConnectionEnd::TooManyConnections, "connection");
    }
    Accept();
  });
}

void
HttpListener::LogRefusal(int aStatus, std::string_view aReason)
{
  constexpr std::chrono::seconds kLogInterval{ 1 };
  ++m_refusals;
  if (LoopNow() - m_refusalLoggedAt < kLogInterval) {
    return;
  }
  Log(LogLevel::Info,
      "request refused",
      { { "status", aStatus },
        { "reason", aReason },
        { "refused", std::exchange(m_refusals, 0) } });
  m_refusalLoggedAt = LoopNow();
}

void
HttpListener::Stop()
{
  NetError ignored;
  m_acceptor.close(ignored);
  m_announceClose = true;
}

void
HttpListener::ForEach(const std::function<void(ServerConnection&)>& aAction)
{
  const std::set<ServerConnection*> connections = m_connections;
  for (ServerConnection* connection : connections) {
    if (m_connections.count(connection) > 0) {
      aAction(*connection);
    }
  }
}

void
HttpListener::RefuseIncomplete(int aStatus, std::string_view aReason)
{
  ForEach([&](ServerConnection& aConnection) {
    aConnection.RefuseIncomplete(aStatus, aReason);
  });
}

void
HttpListener::CloseAll()
{
  ForEach([](ServerConnection& aConnection) { aConnection.Disconnect(); });
}

void
HttpListener::CloseIdle()
{
  m_announceClose = true;
  ForEach([](ServerConnection& aConnection) { aConnection.CloseIfIdle(); });
}

} // namespace siskindeal
