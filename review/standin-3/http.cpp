#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <stdexcept>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

sockaddr_in
AddressOf(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (inet_pton(AF_INET, aHost.c_str(), &address.sin_addr) != 1) {
    throw std::invalid_argument("no address: " + aHost);
  }
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

std::string
Trim(const std::string& aText)
{
  const auto begin = aText.find_first_not_of(" \t\r\n");
  const auto end = aText.find_last_not_of(" \t\r\n");
  return begin == std::string::npos ? std::string()
                                    : aText.substr(begin, end + 1 - begin);
}

// Reads a socket into a buffer until a deadline.
class Reader
{
public:
  Reader(int aSocket, steady_clock::time_point aEnd)
    : m_socket(aSocket)
    , m_end(aEnd)
  {
  }

  // Returns false at the connection's end, at an error or at the deadline.
  bool Fill()
  {
    const auto left =
      std::chrono::duration_cast<milliseconds>(m_end - steady_clock::now());
    pollfd watched{ m_socket, POLLIN, 0 };
    if (left.count() <= 0 ||
        poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[8192];
    const auto received = recv(m_socket, bytes, sizeof(bytes), 0);
    if (received <= 0) {
      return false;
    }
    m_bytes.append(bytes, static_cast<std::size_t>(received));
    return true;
  }

  std::optional<std::string> TakeUntil(const std::string& aEnd)
  {
    std::size_t at = 0;
    while ((at = m_bytes.find(aEnd)) == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    return Take(at + aEnd.size());
  }

  // Appends up to aCount bytes; returns whether all came.
  bool TakeInto(std::string& aTo, std::size_t aCount)
  {
    while (m_bytes.size() < aCount) {
      if (!Fill()) {
        aTo += Take(m_bytes.size());
        return false;
      }
    }
    aTo += Take(aCount);
    return true;
  }

  std::string TakeAll()
  {
    while (Fill()) {
    }
    return Take(m_bytes.size());
  }

private:
  std::string Take(std::size_t aCount)
  {
    std::string taken = m_bytes.substr(0, aCount);
    m_bytes.erase(0, aCount);
    return taken;
  }

  int m_socket;
  steady_clock::time_point m_end;
  std::string m_bytes;
};

Fields
ParseFields(const std::string& aHead)
{
  Fields fields;
  std::size_t at = aHead.find("\r\n");
  while (at != std::string::npos) {
    const auto end = aHead.find("\r\n", at + 2);
    const std::string line = aHead.substr(at + 2, end - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      fields[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
    }
    at = end;
  }
  return fields;
}

bool
ReadChunks(Reader& aReader, std::string& aBody)
{
  while (const auto line = aReader.TakeUntil("\r\n")) {
    const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    std::string ignored;
    if (size == 0) {
      return aReader.TakeInto(ignored, 2);
    }
    if (!aReader.TakeInto(aBody, size) || !aReader.TakeInto(ignored, 2)) {
      return false;
    }
  }
  return false;
}

// Reads a body with a length or in chunks; returns whether it is whole.
bool
ReadBody(Reader& aReader, const Fields& aFields, std::string& aBody)
{
  const auto encoding = aFields.find("transfer-encoding");
  if (encoding != aFields.end()) {
    return ReadChunks(aReader, aBody);
  }
  const auto length = aFields.find("content-length");
  return length == aFields.end() ||
         aReader.TakeInto(aBody, std::stoul(length->second));
}

std::string
Decode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(std::stoi(aText.substr(i + 1, 2), {}, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

Request
ParseRequest(const std::string& aHead)
{
  Request request;
  const auto line = aHead.substr(0, aHead.find("\r\n"));
  const auto first = line.find(' ');
  const auto second = line.find(' ', first + 1);
  request.m_method = line.substr(0, first);
  const std::string target = line.substr(first + 1, second - first - 1);
  const auto mark = target.find('?');
  request.m_path = Decode(target.substr(0, mark));
  std::size_t at = mark;
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      request.m_query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    }
    at = end;
  }
  request.m_fields = ParseFields(aHead);
  return request;
}

} // namespace

std::string
Request::Field(const std::string& aName) const
{
  const auto found = m_fields.find(aName);
  return found == m_fields.end() ? std::string() : found->second;
}

std::string
Request::Query(const std::string& aName) const
{
  const auto found = m_query.find(aName);
  return found == m_query.end() ? std::string() : found->second;
}

bool
Peer::Send(std::string_view aBytes)
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

bool
Peer::Answer(int aStatus, const Fields& aFields, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "content-length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return Send(text + aBody);
}

bool
Peer::HasLeft() const
{
  char byte = 0;
  return recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Server::Server(const std::string& aHost, int aPort, Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int yes = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (bind(m_listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, 256) != 0) {
    throw std::runtime_error("cannot listen on " + aHost);
  }
  std::thread([this] {
    while (true) {
      const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        std::thread([this, accepted] { Serve(accepted); }).detach();
      }
    }
  }).detach();
}

void
Server::Serve(int aSocket) const
{
  constexpr std::chrono::minutes kIdle{ 2 };
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  Reader reader(aSocket, steady_clock::now() + kIdle);
  Peer peer(aSocket);
  while (!peer.Closes()) {
    const auto head = reader.TakeUntil("\r\n\r\n");
    if (!head) {
      break;
    }
    Request request = ParseRequest(*head);
    if (!ReadBody(reader, request.m_fields, request.m_body)) {
      break;
    }
    m_handler(request, peer);
  }
  close(aSocket);
}

Response
Call(const std::string& aHost,
     int aPort,
     const std::string& aHead,
     const std::string& aBody,
     milliseconds aTimeout)
{
  Response response;
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (connect(connection,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return response;
  }
  Peer peer(connection);
  Reader reader(connection, steady_clock::now() + aTimeout);
  const auto head =
    peer.Send(aHead + aBody) ? reader.TakeUntil("\r\n\r\n") : std::nullopt;
  if (head && head->size() > 12) {
    response.m_status = std::stoi(head->substr(9, 3));
    response.m_fields = ParseFields(*head);
    const bool isFramed = response.m_fields.count("transfer-encoding") > 0 ||
                          response.m_fields.count("content-length") > 0;
    if (isFramed) {
      response.m_isComplete =
        ReadBody(reader, response.m_fields, response.m_body);
    } else {
      response.m_body = reader.TakeAll();
      response.m_isComplete = true;
    }
  }
  close(connection);
  return response;
}

} // namespace review
