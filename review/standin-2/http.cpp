// The HTTP server and client of the stand-ins.

#include "box.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <set>
#include <stdexcept>
#include <thread>

namespace box {

namespace {

sockaddr_in
AddressOf(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

// Reads messages of one connection.
class Reader
{
public:
  explicit Reader(int aSocket)
    : m_socket(aSocket)
  {
  }

  // Returns false if the connection ends before a whole message.
  bool Read(Message& aMessage)
  {
    std::string head;
    if (!TakeUntil("\r\n\r\n", head)) {
      return false;
    }
    ParseHead(head, aMessage);
    if (Lower(aMessage.Field("transfer-encoding")) == "chunked") {
      return ReadChunks(aMessage.m_body);
    }
    const std::string length = aMessage.Field("content-length");
    return length.empty() || Take(std::stoul(length), aMessage.m_body);
  }

private:
  bool Fill()
  {
    std::array<char, 16384> bytes{};
    const ssize_t got = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      return false;
    }
    m_in.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
  }

  bool TakeUntil(const std::string& aEnd, std::string& aTo)
  {
    std::size_t at = 0;
    while ((at = m_in.find(aEnd)) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    aTo = m_in.substr(0, at);
    m_in.erase(0, at + aEnd.size());
    return true;
  }

  bool Take(std::size_t aBytes, std::string& aTo)
  {
    while (m_in.size() < aBytes) {
      if (!Fill()) {
        return false;
      }
    }
    aTo += m_in.substr(0, aBytes);
    m_in.erase(0, aBytes);
    return true;
  }

  bool ReadChunks(std::string& aBody)
  {
    while (true) {
      std::string line;
      if (!TakeUntil("\r\n", line)) {
        return false;
      }
      const std::size_t size = std::stoul(line, nullptr, 16);
      std::string end;
      if (!Take(size, aBody) || !TakeUntil("\r\n", end)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    const std::string line = aHead.substr(0, at);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    aMessage.m_method = line.substr(0, first);
    aMessage.m_target = line.substr(first + 1, second - first - 1);
    if (line.rfind("HTTP/", 0) == 0) {
      aMessage.m_status = std::stoi(aMessage.m_target);
    }
    while (at != std::string::npos) {
      const std::size_t next = aHead.find("\r\n", at + 2);
      const std::string field = aHead.substr(at + 2, next - at - 2);
      const std::size_t colon = field.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = field.find_first_not_of(' ', colon + 1);
        aMessage.m_fields[Lower(field.substr(0, colon))] =
          value == std::string::npos ? "" : field.substr(value);
      }
      at = next;
    }
  }

  int m_socket;
  std::string m_in;
};

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t more =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (more <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(more);
  }
  return true;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool
IsOpen(int aSocket)
{
  char next = 0;
  const ssize_t got = ::recv(aSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && errno == EAGAIN);
}

std::string
Encode(const Reply& aReply)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aReply.m_status) + " Answer\r\n";
  for (const auto& [name, value] : aReply.m_fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(aReply.m_body.size()) +
          "\r\n\r\n" + aReply.m_body;
  return text;
}

} // namespace

std::string
Message::Field(const std::string& aName) const
{
  const auto found = m_fields.find(aName);
  return found == m_fields.end() ? std::string() : found->second;
}

std::string
Message::Query(const std::string& aName) const
{
  const std::size_t query = m_target.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t next = m_target.find('&', at + 1);
    const std::string part = m_target.substr(at + 1, next - at - 1);
    if (part.rfind(aName + "=", 0) == 0) {
      return part.substr(aName.size() + 1);
    }
    at = next;
  }
  return {};
}

struct Server::State
{
  std::mutex m_mutex;
  int m_listener = -1;
  std::set<int> m_connections;
  bool m_crashed = false;
  Handler m_handler;

  // Returns false once the server has crashed.
  bool Add(int aSocket)
  {
    const std::lock_guard lock(m_mutex);
    if (m_crashed) {
      return false;
    }
    m_connections.insert(aSocket);
    return true;
  }

  void Serve(int aSocket)
  {
    Reader reader(aSocket);
    Message request;
    while (reader.Read(request)) {
      request.m_isOpen = [aSocket] { return IsOpen(aSocket); };
      const Reply reply = m_handler(request);
      if (reply.m_beforeWrite) {
        reply.m_beforeWrite();
      }
      if (!SendAll(aSocket, Encode(reply))) {
        break;
      }
      request = {};
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(aSocket);
    ::close(aSocket);
  }
};

Server::Server(const std::string& aHost, std::uint16_t aPort, Handler aHandler)
  : m_state(std::make_shared<State>())
{
  m_state->m_handler = std::move(aHandler);
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 512) != 0) {
    throw std::runtime_error("cannot listen on " + aHost);
  }
  m_state->m_listener = listener;
  std::thread([state = m_state, listener] {
    while (true) {
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      SetNoDelay(accepted);
      if (!state->Add(accepted)) {
        ::close(accepted);
        return;
      }
      std::thread([state, accepted] { state->Serve(accepted); }).detach();
    }
  }).detach();
}

Server::~Server()
{
  Crash();
}

void
Server::Crash()
{
  const std::lock_guard lock(m_state->m_mutex);
  if (std::exchange(m_state->m_crashed, true)) {
    return;
  }
  ::shutdown(m_state->m_listener, SHUT_RDWR);
  ::close(m_state->m_listener);
  for (const int connection : m_state->m_connections) {
    const linger reset{ 1, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(connection, SHUT_RDWR);
  }
}

Message
Call(const std::string& aHost,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::vector<std::pair<std::string, std::string>>& aFields,
     const std::string& aBody,
     Millis aTimeout)
{
  Message answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ aTimeout.count() / 1000,
                       (aTimeout.count() % 1000) * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = AddressOf(aHost, aPort);
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  SetNoDelay(socket);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 ||
      !SendAll(socket, text) || !Reader(socket).Read(answer)) {
    answer = {};
  }
  ::close(socket);
  return answer;
}

} // namespace box
