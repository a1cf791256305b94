#pragma once
// Accepts connections on one address on its own thread.

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <sys/socket.h>

namespace siskindeal {

// A connection just accepted: non-blocking, owned by whoever receives it.
struct AcceptedSocket
{
  int m_socket = -1;
  sockaddr_storage m_peer{};
  socklen_t m_peerLength = 0;
};

class Listener
{
public:
  // Binds at once. Throws Error (Unavailable) when the address can't be bound.
  Listener(const std::string& aHost, std::uint16_t aPort);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t Port() const { return m_port; }

  // Starts accepting; aOnAccept runs on the listener's thread.
  void Start(std::function<void(const AcceptedSocket&)> aOnAccept);

  // Closes the address. No connection is handed over afterwards.
  void Stop();

private:
  void Run();

  int m_listener = -1;
  int m_stop = -1;
  std::uint16_t m_port = 0;
  std::function<void(const AcceptedSocket&)> m_onAccept;
  std::thread m_thread;
};

} // namespace siskindeal
