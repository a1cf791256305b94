#include "support/network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace siskindeal {

namespace {

constexpr int kBacklog = 64;
constexpr int kMaxLookups = 100;
constexpr std::chrono::milliseconds kLookupInterval{ 10 };

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
ConnectTo(std::uint16_t aPort)
{
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(aPort);
  if (connect(client,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return client;
  }
  close(client);
  return -1;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::uint16_t
PortOf(sockaddr_in aAddress)
{
  return ntohs(aAddress.sin_port);
}

// Returns the socket of a connection between two ports of 127.0.0.1 as
// /proc/PID/fd names it, or an empty string if there is none.
std::string
FindSocketInTable(const std::string& aTable,
                  std::uint16_t aPort,
                  std::uint16_t aRemotePort)
{
  constexpr int kFieldsBeforeInode = 6; // in /proc/net/tcp
  const auto hasPort = [](const std::string& aAddress,
                          std::uint16_t aExpectedPort) {
    const auto colon = aAddress.rfind(':');
    return colon != std::string::npos &&
           std::stoul(aAddress.substr(colon + 1), nullptr, 16) == aExpectedPort;
  };
  std::ifstream table(aTable);
  std::string row;
  std::getline(table, row); // the header
  while (std::getline(table, row)) {
    std::istringstream fields(row);
    std::string number;
    std::string local;
    std::string remote;
    fields >> number >> local >> remote;
    if (!hasPort(local, aPort) || !hasPort(remote, aRemotePort)) {
      continue;
    }
    std::string skipped;
    for (int i = 0; i < kFieldsBeforeInode; ++i) {
      fields >> skipped;
    }
    std::string inode;
    fields >> inode;
    return "socket:[" + inode + "]";
  }
  return {};
}

// A client may also reach 127.0.0.1 through an IPv6 socket.
std::string
FindSocket(std::uint16_t aPort, std::uint16_t aRemotePort)
{
  const auto found = FindSocketInTable("/proc/net/tcp", aPort, aRemotePort);
  return found.empty() ? FindSocketInTable("/proc/net/tcp6", aPort, aRemotePort)
                       : found;
}

bool
HasOpenFile(pid_t aProcess, const std::string& aSocket)
{
  const auto directory = "/proc/" + std::to_string(aProcess) + "/fd";
  std::error_code ignored;
  for (std::filesystem::directory_iterator file(directory, ignored), end;
       file != end;
       file.increment(ignored)) {
    if (std::filesystem::read_symlink(file->path(), ignored) == aSocket) {
      return true;
    }
  }
  return false;
}

bool
SendAll(int aTo, const char* aBytes, std::size_t aCount)
{
  while (aCount > 0) {
    const auto sent = send(aTo, aBytes, aCount, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes += sent;
    aCount -= static_cast<std::size_t>(sent);
  }
  return true;
}

} // namespace

Network::Connection::~Connection()
{
  close(m_client);
  close(m_server);
}

Network::~Network()
{
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (auto& listener : m_listeners) {
    shutdown(listener.m_socket, SHUT_RDWR);
    listener.m_thread.join();
    close(listener.m_socket);
  }
  std::vector<std::thread> threads;
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) {
        shutdown(connection->m_client, SHUT_RDWR);
        shutdown(connection->m_server, SHUT_RDWR);
      }
    }
    threads = std::move(m_relayThreads);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

std::uint16_t
Network::Open(std::uint16_t aPort, const std::string& aPlace)
{
  auto& listener = m_listeners.emplace_back();
  listener.m_target = aPort;
  listener.m_place = aPlace;
  listener.m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(0);
  socklen_t length = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener.m_socket, raw, length) != 0 ||
      listen(listener.m_socket, kBacklog) != 0 ||
      getsockname(listener.m_socket, raw, &length) != 0) {
    throw std::system_error(errno, std::generic_category(), "relay");
  }
  listener.m_port = PortOf(address);
  listener.m_thread = std::thread([this, &listener] { Accept(listener); });
  return listener.m_port;
}

void
Network::SetPlace(pid_t aProcess, const std::string& aPlace)
{
  const absl::MutexLock lock(&m_mutex);
  m_placeByProcess[aProcess] = aPlace;
}

void
Network::Cut(const std::string& aFrom, const std::string& aTo, bool aCut)
{
  const absl::MutexLock lock(&m_mutex);
  if (aCut) {
    m_cuts.emplace(aFrom, aTo);
  } else {
    m_cuts.erase({ aFrom, aTo });
  }
}

std::uint64_t
Network::ConnectionCount(const std::string& aFrom, const std::string& aTo)
{
  const absl::MutexLock lock(&m_mutex);
  return m_connectionCounts[{ aFrom, aTo }];
}

void
Network::Accept(const Listener& aListener)
{
  while (true) {
    const int client =
      accept4(aListener.m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      StartRelay(aListener, client);
      continue;
    }
    if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

void
Network::StartRelay(const Listener& aListener, int aClient)
{
  sockaddr_in peer{};
  socklen_t length = sizeof(peer);
  getpeername(aClient, reinterpret_cast<sockaddr*>(&peer), &length);
  const auto connection = std::make_shared<Connection>();
  connection->m_client = aClient;
  const auto from = PlaceOf(PortOf(peer), aListener.m_port);
  connection->m_places = { from, aListener.m_place };
  connection->m_server = from.empty() ? -1 : ConnectTo(aListener.m_target);
  if (connection->m_server < 0) {
    return;
  }
  SetNoDelay(connection->m_client);
  SetNoDelay(connection->m_server);
  const absl::MutexLock lock(&m_mutex);
  if (m_stopping) {
    return;
  }
  ++m_connectionCounts[connection->m_places];
  m_connections.push_back(connection);
  m_relayThreads.emplace_back([this, connection] {
    Pump(connection, connection->m_client, connection->m_server);
  });
  m_relayThreads.emplace_back([this, connection] {
    Pump(connection, connection->m_server, connection->m_client);
  });
}

// Returns an empty string if the client is not a process of the test or has
// closed the connection.
std::string
Network::PlaceOf(std::uint16_t aPort, std::uint16_t aRelay)
{
  for (int i = 0; i < kMaxLookups; ++i) {
    const auto socket = FindSocket(aPort, aRelay);
    if (socket.empty()) {
      return {};
    }
    std::map<pid_t, std::string> places;
    {
      const absl::MutexLock lock(&m_mutex);
      places = m_placeByProcess;
    }
    for (const auto& [process, place] : places) {
      if (HasOpenFile(process, socket)) {
        return place;
      }
    }
    // A process that was just started may not be registered yet.
    std::this_thread::sleep_for(kLookupInterval);
  }
  return {};
}

bool
Network::WaitWhileCut(const Connection& aConnection)
{
  const absl::MutexLock lock(&m_mutex);
  const auto open = [&] {
    m_mutex.AssertHeld();
    return m_stopping || m_cuts.count(aConnection.m_places) == 0;
  };
  m_mutex.Await(absl::Condition(&open));
  return !m_stopping;
}

void
Network::Pump(const std::shared_ptr<Connection>& aConnection,
              int aFrom,
              int aTo)
{
  std::array<char, 1 << 16> bytes{};
  while (true) {
    const auto count = recv(aFrom, bytes.data(), bytes.size(), 0);
    if (!WaitWhileCut(*aConnection) || count <= 0 ||
        !SendAll(aTo, bytes.data(), static_cast<std::size_t>(count))) {
      break;
    }
  }
  shutdown(aConnection->m_client, SHUT_RDWR);
  shutdown(aConnection->m_server, SHUT_RDWR);
}

} // namespace siskindeal
