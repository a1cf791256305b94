#pragma once
// Plain sockets for tests that send or answer what a library wouldn't.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace siskindeal {

// A connection to 127.0.0.1. Reads end after ten seconds, as a hang guard.
class RawSocket
{
public:
  // Connects; throws std::system_error.
  explicit RawSocket(std::uint16_t aPort);
  // Takes over an open socket.
  static RawSocket Adopt(int aSocket);
  ~RawSocket();
  RawSocket(RawSocket&& aOther) noexcept;
  RawSocket& operator=(RawSocket&&) = delete;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  void Send(std::string_view aBytes);
  // Reads until aMark was read, the peer closes or the guard ends it.
  std::string ReadUntil(std::string_view aMark);
  // Reads until the peer closes.
  std::string ReadAll();
  void Close();
  // Closes so that the peer gets a reset.
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
};

// Accepts connections on 127.0.0.1, one after another, each played by aPlay
// with its number, from 0. Stops when destroyed.
class RawServer
{
public:
  using Play = std::function<void(RawSocket&, int)>;

  explicit RawServer(Play aPlay);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t Port() const { return m_port; }

private:
  int m_listener = -1;
  std::uint16_t m_port = 0;
  Play m_play;
  std::thread m_thread;
};

// A port of 127.0.0.1 where nothing listens.
std::uint16_t
UnusedPort();

} // namespace siskindeal
