// The listening side: which connections there are, and when they end.

#include "net/http_server_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptPause{ 50 }; // once descriptors have run out

} // namespace

HttpListener::HttpListener(Loop& aLoop,
                           const Address& aAddress,
                           Handler aHandler)
  : m_loop(aLoop)
  , m_acceptor(aLoop)
  , m_pause(aLoop)
  , m_handler(std::move(aHandler))
{
  constexpr int kBacklog = 1024;
  const Tcp::endpoint endpoint = EndpointOf(aAddress);
  m_acceptor.open(endpoint.protocol());
  KeepFromChildren(m_acceptor.native_handle());
  m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen(kBacklog);
  m_port = m_acceptor.local_endpoint().port();
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
      m_pause.expires_after(kAcceptPause);
      m_pause.async_wait([this](const NetError& aCancelled) {
        if (!aCancelled) {
          Accept();
        }
      });
      return;
    }
    if (m_connections.size() < m_mostConnections) {
      std::make_shared<ServerConnection>(m_loop, std::move(aSocket), *this)
        ->Start();
    }
    Accept();
  });
}

void
HttpListener::LogRefusal(int aStatus, std::string_view aReason)
{
  constexpr std::chrono::seconds kEvery{ 1 };
  ++m_refusals;
  if (LoopNow() - m_refusalLoggedAt < kEvery) {
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
  m_sayClose = true;
}

void
HttpListener::ForEach(const std::function<void(ServerConnection&)>& aWhat)
{
  const std::set<ServerConnection*> connections = m_connections;
  for (ServerConnection* connection : connections) {
    if (m_connections.count(connection) > 0) {
      aWhat(*connection);
    }
  }
}

void
HttpListener::CloseAll()
{
  ForEach([](ServerConnection& aConnection) { aConnection.Gone(); });
}

void
HttpListener::CloseIdle()
{
  ForEach([](ServerConnection& aConnection) { aConnection.CloseWhenIdle(); });
}

} // namespace siskindeal
