#include "support/endless_server.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <cerrno>
#include <chrono>

namespace siskindeal {

EndlessServer::EndlessServer(std::string aFirst, std::string aRepeated)
  : m_first(std::move(aFirst))
  , m_repeated(std::move(aRepeated))
  , m_server([this](RawSocket aSocket, int aHandle, std::uint64_t) {
    Serve(std::move(aSocket), aHandle);
  })
{
}

void
EndlessServer::Serve(RawSocket aSocket, int aHandle) const
{
  constexpr std::chrono::milliseconds kPoll{ 50 };
  // A peer that stops reading must not keep this thread.
  const timeval timeout{ 0, 200000 };
  setsockopt(aHandle, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  while (!m_server.IsStopping() && !aSocket.HasInput(kPoll)) {
  }
  if (m_server.IsStopping() || aSocket.ReadSome().empty() ||
      !SendAll(aHandle, m_first)) {
    return;
  }
  while (SendAll(aHandle, m_repeated)) {
  }
}

bool
EndlessServer::SendAll(int aHandle, std::string_view aBytes) const
{
  while (!aBytes.empty() && !m_server.IsStopping()) {
    const auto sent = send(aHandle, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      return false;
    }
  }
  return !m_server.IsStopping();
}

} // namespace siskindeal
