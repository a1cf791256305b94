#pragma once
// Accepts connections on 127.0.0.1 and handles each on a thread of its own.

#include "siskindeal/settings.h"
#include "support/raw_socket.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <thread>

namespace siskindeal {

class ThreadedServer
{
public:
  // Handles one connection, whose number counts from 0 and whose descriptor
  // stays the socket's. Returns soon once IsStopping.
  using ConnectionHandler =
    std::function<void(RawSocket aSocket, int aHandle, std::uint64_t aNumber)>;

  explicit ThreadedServer(ConnectionHandler aHandler);
  ~ThreadedServer();
  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;

  Address ListenAddress() const { return { "127.0.0.1", m_port }; }
  bool IsStopping() const { return m_stopping; }

private:
  void Accept();

  ConnectionHandler m_handler;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopping = false;
  std::list<std::thread> m_connections; // by the accepting thread
  std::thread m_thread;
};

} // namespace siskindeal
