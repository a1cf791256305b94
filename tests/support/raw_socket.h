#pragma once
// Plain sockets for tests that need malformed or partial HTTP messages.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace siskindeal {

// A connection to an address of loopback. Reads time out after ten seconds.
class RawSocket
{
public:
  // Connects to a port of 127.0.0.1; throws std::system_error.
  explicit RawSocket(std::uint16_t aPort);
  // Connects; throws std::system_error.
  RawSocket(const std::string& aHost, std::uint16_t aPort);
  // Takes ownership of an open socket.
  static RawSocket Adopt(int aSocket);
  ~RawSocket();
  RawSocket(RawSocket&& aOther) noexcept;
  RawSocket& operator=(RawSocket&&) = delete;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  // Returns false if the connection fails before all bytes are sent.
  bool Send(std::string_view aBytes);
  // Waits until the peer's kernel has received all bytes that were sent.
  void AwaitAcknowledged();
  // Reads until aDelimiter is received, the peer closes or the read times out.
  std::string ReadUntil(std::string_view aDelimiter);
  // Reads until the peer closes.
  std::string ReadAll();
  // Reads what arrives next; empty if the peer closes or the read times out.
  std::string ReadSome();
  // Returns whether bytes or the peer's close arrive within aTimeout.
  bool HasInput(std::chrono::milliseconds aTimeout);
  // Whether the last read ended with a reset of the connection by the peer.
  bool WasReset() const { return m_wasReset; }
  void Close();
  // Closes the connection with a TCP reset.
  void Reset();

private:
  struct Adopted
  {
    int m_socket;
  };
  explicit RawSocket(Adopted aSocket)
    : m_socket(aSocket.m_socket)
  {
  }

  int m_socket = -1;
  bool m_wasReset = false;
};

// Accepts connections on 127.0.0.1 and handles one at a time. The handler gets
// the connection's number, starting at 0. Stops when destroyed.
class RawServer
{
public:
  using ConnectionHandler = std::function<void(RawSocket&, int)>;

  static constexpr int kDefaultBacklog = 16;

  // Linux keeps one connection more than aBacklog waiting to be accepted, and
  // ignores further attempts to connect.
  explicit RawServer(ConnectionHandler aHandler,
                     int aBacklog = kDefaultBacklog);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t Port() const { return m_port; }

private:
  int m_listener = -1;
  std::uint16_t m_port = 0;
  ConnectionHandler m_handler;
  std::thread m_thread;
};

// Returns a port of 127.0.0.1 on which no process listens.
std::uint16_t
UnusedPort();

} // namespace siskindeal
