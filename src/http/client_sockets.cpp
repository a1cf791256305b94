#include "http/client_sockets_p.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>

namespace siskindeal {

namespace {

constexpr int kNoSocket = -1;

// Returns nothing while the socket isn't connected.
std::optional<ClientSockets::Ends>
EndsOf(int aSocket)
{
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t localSize = sizeof(local);
  socklen_t peerSize = sizeof(peer);
  if (::getsockname(aSocket, reinterpret_cast<sockaddr*>(&local), &localSize) !=
        0 ||
      ::getpeername(aSocket, reinterpret_cast<sockaddr*>(&peer), &peerSize) !=
        0 ||
      peer.sin_family != AF_INET) {
    return std::nullopt;
  }
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &peer.sin_addr, host, sizeof(host));
  return ClientSockets::Ends{ host,
                              ntohs(peer.sin_port),
                              ntohs(local.sin_port) };
}

} // namespace

void
ClientSockets::Attach(CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETFUNCTION, &Open);
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETFUNCTION, &Close);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t
ClientSockets::Open(void* aSelf, curlsocktype, curl_sockaddr* aAddress)
{
  const int socket = ::socket(
    aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
  if (socket == kNoSocket) {
    return CURL_SOCKET_BAD;
  }
  static_cast<ClientSockets*>(aSelf)->m_unknown.insert(socket);
  return socket;
}

int
ClientSockets::Close(void* aSelf, curl_socket_t aSocket)
{
  auto& self = *static_cast<ClientSockets*>(aSelf);
  self.m_unknown.erase(aSocket);
  std::erase_if(self.m_known,
                [&](const auto& aEntry) { return aEntry.second == aSocket; });
  return ::close(aSocket);
}

int
ClientSockets::Find(const Ends& aConnection)
{
  for (auto it = m_unknown.begin(); it != m_unknown.end();) {
    const auto ends = EndsOf(*it);
    if (!ends) {
      ++it;
      continue;
    }
    m_known[*ends] = *it;
    it = m_unknown.erase(it);
  }
  const auto found = m_known.find(aConnection);
  return found == m_known.end() ? kNoSocket : found->second;
}

bool
ClientSockets::HasUnreadInput(const Ends& aConnection)
{
  const int socket = Find(aConnection);
  if (socket == kNoSocket) {
    return false;
  }
  char byte = 0;
  const auto received =
    ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace siskindeal
