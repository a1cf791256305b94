#pragma once
// A server that refuses a request and writes that refusal again later.

#include "support/raw_socket.h"
#include "support/threaded_server.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace siskindeal {

// Refuses its first request and answers all others. On each connection, from
// the second request on, it writes aCopied bytes of the refusal between a
// request and its answer.
class CopyingServer
{
public:
  static constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-from: i-1\r\n\r\n";
  static constexpr std::string_view kAnswerBody = "booked";

  explicit CopyingServer(std::size_t aCopied)
    : m_copied(aCopied)
    , m_server([this](RawSocket aSocket, int, std::uint64_t aNumber) {
      Serve(aSocket, aNumber);
    })
  {
  }

  Address ListenAddress() const { return m_server.ListenAddress(); }

  // Returns the number of connections that have carried a request.
  std::size_t Connections()
  {
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
  }

private:
  void Serve(RawSocket& aSocket, std::uint64_t aNumber)
  {
    constexpr std::string_view kAnswer =
      "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked";
    bool isFirst = true;
    while (!aSocket.ReadUntil("\r\n\r\n").empty()) {
      const bool refuses = Count(aNumber);
      std::string bytes(kRefusal.substr(0, isFirst ? 0 : m_copied));
      aSocket.Send(bytes.append(refuses ? kRefusal : kAnswer));
      isFirst = false;
    }
  }

  // Returns whether the request is the server's first.
  bool Count(std::uint64_t aConnection)
  {
    const std::lock_guard lock(m_mutex);
    m_connections.insert(aConnection);
    return ++m_requests == 1;
  }

  const std::size_t m_copied;
  std::mutex m_mutex;
  std::size_t m_requests = 0;
  std::set<std::uint64_t> m_connections;
  ThreadedServer m_server;
};

} // namespace siskindeal
