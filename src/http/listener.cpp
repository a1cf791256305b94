#include "http/listener_p.h"

#include "siskindeal/error.h"

#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <memory>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kBacklog = 1024;
// Pause after a failed accept, as when file descriptors have run out.
constexpr std::chrono::milliseconds kAcceptPause{ 10 };

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

} // namespace

Listener::Listener(const std::string& aHost, std::uint16_t aPort)
  : m_listener(Listen(aHost, aPort))
  , m_stop(eventfd(0, EFD_CLOEXEC))
  , m_port(BoundPort(m_listener))
{
}

Listener::~Listener()
{
  Stop();
  close(m_stop);
}

void
Listener::Start(std::function<void(const AcceptedSocket&)> aOnAccept)
{
  m_onAccept = std::move(aOnAccept);
  m_thread = std::thread([this] { Run(); });
}

void
Listener::Stop()
{
  if (m_thread.joinable()) {
    eventfd_write(m_stop, 1);
    m_thread.join();
  }
  if (m_listener >= 0) {
    close(std::exchange(m_listener, -1));
  }
}

void
Listener::Run()
{
  std::array<pollfd, 2> polled = { pollfd{ m_listener, POLLIN, 0 },
                                   pollfd{ m_stop, POLLIN, 0 } };
  while (true) {
    poll(polled.data(), polled.size(), -1);
    if (polled[1].revents != 0) {
      return;
    }
    AcceptedSocket accepted;
    accepted.m_peerLength = sizeof(accepted.m_peer);
    accepted.m_socket = accept4(m_listener,
                                reinterpret_cast<sockaddr*>(&accepted.m_peer),
                                &accepted.m_peerLength,
                                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted.m_socket >= 0) {
      m_onAccept(accepted);
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
      std::this_thread::sleep_for(kAcceptPause);
    }
  }
}

} // namespace siskindeal
