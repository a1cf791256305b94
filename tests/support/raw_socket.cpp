#include "support/raw_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

namespace siskindeal {

namespace {

constexpr timeval kReadTimeout{ 10, 0 };

void
ThrowUnless(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    throw std::system_error(errno, std::generic_category(), aWhat);
  }
}

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
CreateBoundSocket()
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(0);
  ThrowUnless(bind(listener,
                   reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0,
              "bind");
  return listener;
}

std::uint16_t
BoundPort(int aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

} // namespace

RawSocket::RawSocket(std::uint16_t aPort)
  : RawSocket("127.0.0.1", aPort)
{
}

RawSocket::RawSocket(const std::string& aHost, std::uint16_t aPort)
  : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  auto address = Loopback(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  if (connect(m_socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    const int error = errno;
    Close();
    throw std::system_error(error, std::generic_category(), "connect");
  }
}

RawSocket
RawSocket::Adopt(int aSocket)
{
  return RawSocket(Adopted{ aSocket });
}

RawSocket::~RawSocket()
{
  Close();
}

RawSocket::RawSocket(RawSocket&& aOther) noexcept
  : m_socket(std::exchange(aOther.m_socket, -1))
{
}

bool
RawSocket::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto sent =
      send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void
RawSocket::AwaitAcknowledged()
{
  int unacknowledged = 0;
  while (ioctl(m_socket, SIOCOUTQ, &unacknowledged) == 0 &&
         unacknowledged > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

std::string
RawSocket::ReadSome()
{
  setsockopt(
    m_socket, SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof(kReadTimeout));
  std::array<char, 4096> bytes{};
  const auto size = recv(m_socket, bytes.data(), bytes.size(), 0);
  m_wasReset = size < 0 && errno == ECONNRESET;
  return size <= 0 ? std::string()
                   : std::string(bytes.data(), static_cast<std::size_t>(size));
}

bool
RawSocket::HasInput(std::chrono::milliseconds aTimeout)
{
  pollfd poll{ m_socket, POLLIN, 0 };
  return ::poll(&poll, 1, static_cast<int>(aTimeout.count())) > 0;
}

std::string
RawSocket::ReadUntil(std::string_view aDelimiter)
{
  std::string text;
  while (aDelimiter.empty() || text.find(aDelimiter) == std::string::npos) {
    const std::string more = ReadSome();
    if (more.empty()) {
      break;
    }
    text += more;
  }
  return text;
}

std::string
RawSocket::ReadAll()
{
  return ReadUntil("");
}

void
RawSocket::Close()
{
  if (m_socket >= 0) {
    close(std::exchange(m_socket, -1));
  }
}

void
RawSocket::Reset()
{
  const linger abortOnClose{ 1, 0 };
  setsockopt(
    m_socket, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof(abortOnClose));
  Close();
}

RawServer::RawServer(ConnectionHandler aHandler, int aBacklog)
  : m_listener(CreateBoundSocket())
  , m_port(BoundPort(m_listener))
  , m_handler(std::move(aHandler))
{
  ThrowUnless(listen(m_listener, aBacklog) == 0, "listen");
  m_thread = std::thread([this] {
    for (int number = 0;; ++number) {
      const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      auto connection = RawSocket::Adopt(accepted);
      m_handler(connection, number);
    }
  });
}

RawServer::~RawServer()
{
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
}

std::uint16_t
UnusedPort()
{
  const int listener = CreateBoundSocket();
  const auto port = BoundPort(listener);
  close(listener);
  return port;
}

} // namespace siskindeal
