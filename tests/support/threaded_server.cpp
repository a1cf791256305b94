#include "support/threaded_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace siskindeal {

ThreadedServer::ThreadedServer(ConnectionHandler aHandler)
  : m_handler(std::move(aHandler))
{
  constexpr int kBacklog = 512;
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_listener, generic, size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, generic, &size) != 0) {
    throw std::system_error(errno, std::system_category(), "listen");
  }
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([this] { Accept(); });
}

ThreadedServer::~ThreadedServer()
{
  m_stopping = true;
  shutdown(m_listener, SHUT_RDWR); // ends the accept
  m_thread.join();
  close(m_listener);
  for (std::thread& connection : m_connections) {
    connection.join();
  }
}

void
ThreadedServer::Accept()
{
  for (std::uint64_t number = 0; !m_stopping; ++number) {
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    m_connections.emplace_back([this, accepted, number] {
      m_handler(RawSocket::Adopt(accepted), accepted, number);
    });
  }
}

} // namespace siskindeal
