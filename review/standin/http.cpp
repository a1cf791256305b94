#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <random>
#include <stdexcept>
#include <system_error>

namespace review {

namespace {

constexpr int kBacklog = 128;

sockaddr_in
SocketAddress(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aHost.c_str(), &address.sin_addr) != 1) {
    throw std::invalid_argument("no IP address: " + aHost);
  }
  return address;
}

// Returns a bound socket, or -1 if the address is in use.
int
Bind(const std::string& aHost, std::uint16_t aPort)
{
  const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(aHost, aPort);
  if (bind(bound,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    close(bound);
    return -1;
  }
  return bound;
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return aText;
}

std::string
Word(const std::string& aText, int aIndex)
{
  std::size_t begin = 0;
  for (int i = 0; i < aIndex; ++i) {
    begin = aText.find(' ', begin);
    if (begin == std::string::npos) {
      return {};
    }
    ++begin;
  }
  return aText.substr(begin, aText.find(' ', begin) - begin);
}

Message
ParseHead(const std::string& aHead)
{
  Message message;
  std::size_t begin = aHead.find("\r\n");
  message.m_first = aHead.substr(0, begin);
  while (begin != std::string::npos && begin + 2 < aHead.size()) {
    begin += 2;
    const std::size_t end = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.m_fields.emplace_back(Lower(line.substr(0, colon)),
                                    line.substr(value));
    }
    begin = end;
  }
  return message;
}

} // namespace

std::string
Message::Field(const std::string& aName) const
{
  for (const auto& [name, value] : m_fields) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::string
Message::Method() const
{
  return Word(m_first, 0);
}

std::string
Message::Target() const
{
  return Word(m_first, 1);
}

int
Message::Status() const
{
  return std::atoi(Word(m_first, 1).c_str());
}

Connection::~Connection()
{
  close(m_socket);
}

std::unique_ptr<Connection>
Connection::Open(const std::string& aHost, std::uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(aHost, aPort);
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    return nullptr;
  }
  return std::make_unique<Connection>(handle);
}

bool
Connection::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool
Connection::Fill(int aTimeoutMs)
{
  pollfd ready{ m_socket, POLLIN, 0 };
  if (poll(&ready, 1, aTimeoutMs == 0 ? -1 : aTimeoutMs) <= 0) {
    return false;
  }
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  m_in.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<Message>
Connection::Read(int aTimeoutMs)
{
  std::size_t end = 0;
  while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(aTimeoutMs)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(m_in.substr(0, end));
  m_in.erase(0, end + 4);
  message.m_complete = ReadBody(message, aTimeoutMs);
  return message;
}

bool
Connection::ReadBody(Message& aMessage, int aTimeoutMs)
{
  if (Lower(aMessage.Field("transfer-encoding")) == "chunked") {
    return ReadChunks(aMessage, aTimeoutMs);
  }
  const std::size_t length = static_cast<std::size_t>(
    std::atoll(aMessage.Field("content-length").c_str()));
  while (m_in.size() < length) {
    if (!Fill(aTimeoutMs)) {
      return false;
    }
  }
  aMessage.m_body = m_in.substr(0, length);
  m_in.erase(0, length);
  return true;
}

bool
Connection::ReadChunks(Message& aMessage, int aTimeoutMs)
{
  for (;;) {
    std::size_t end = 0;
    while ((end = m_in.find("\r\n")) == std::string::npos) {
      if (!Fill(aTimeoutMs)) {
        return false;
      }
    }
    const std::size_t size = std::strtoul(m_in.c_str(), nullptr, 16);
    while (m_in.size() < end + 2 + size + 2) {
      if (!Fill(aTimeoutMs)) {
        return false;
      }
    }
    aMessage.m_body += m_in.substr(end + 2, size);
    m_in.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

void
Connection::Shutdown()
{
  shutdown(m_socket, SHUT_RDWR);
}

void
Connection::ResetOnClose()
{
  const linger reset{ 1, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

Server::Server(std::string aHost, std::uint16_t aPort, Handler aHandler)
  : m_host(std::move(aHost))
  , m_port(aPort)
  , m_handler(std::move(aHandler))
{
  Start();
}

Server::~Server()
{
  Stop();
  while (m_running > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::string
Server::Address() const
{
  return m_host + ":" + std::to_string(m_port);
}

void
Server::Start()
{
  const int listener = Bind(m_host, m_port);
  if (listener < 0 || listen(listener, kBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), "listen");
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_listener = listener;
  m_acceptor = std::thread([this] { Accept(); });
}

void
Server::Stop()
{
  const int listener = m_listener.exchange(-1);
  if (listener >= 0) {
    shutdown(listener, SHUT_RDWR);
    m_acceptor.join();
    close(listener);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& connection : m_connections) {
    connection->ResetOnClose();
    connection->Shutdown();
  }
}

void
Server::Accept()
{
  const int listener = m_listener;
  for (;;) {
    const int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0) {
      if (m_listener != listener) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(handle);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_connections.insert(connection);
    }
    ++m_running;
    std::thread([this, connection] {
      Serve(connection);
      --m_running;
    }).detach();
  }
}

void
Server::Serve(const std::shared_ptr<Connection>& aConnection)
{
  for (;;) {
    const auto request = aConnection->Read();
    if (!request || !request->m_complete || m_listener < 0 ||
        !m_handler(*aConnection, *request)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.erase(aConnection);
}

std::uint16_t
FreePorts(const std::vector<std::string>& aHosts, int aCount)
{
  std::mt19937 random(std::random_device{}());
  constexpr int kFirst = 20000;
  constexpr int kLast = 29000;
  constexpr int kTries = 500;
  for (int i = 0; i < kTries; ++i) {
    const int first = std::uniform_int_distribution<int>(kFirst, kLast)(random);
    bool free = true;
    for (const std::string& host : aHosts) {
      for (int port = first; free && port < first + aCount; ++port) {
        const int bound = Bind(host, static_cast<std::uint16_t>(port));
        free = bound >= 0;
        if (free) {
          close(bound);
        }
      }
    }
    if (free) {
      return static_cast<std::uint16_t>(first);
    }
  }
  throw std::runtime_error("no free ports");
}

void
AppendField(std::string& aHead,
            const std::string& aName,
            const std::string& aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

std::string
Response(int aStatus,
         const std::vector<std::pair<std::string, std::string>>& aFields,
         const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aFields) {
    AppendField(text, name, value);
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

} // namespace review
