#include "net/loop_p.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <stdexcept>
#include <system_error>

namespace siskindeal {

namespace {

constexpr std::size_t kReadBufferBytes = 32 << 10;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

Tcp::endpoint
EndpointOf(const Address& aAddress)
{
  NetError error;
  const auto host = boost::asio::ip::make_address(aAddress.m_host, error);
  if (error) {
    throw std::invalid_argument("expected an IP address, got \"" +
                                aAddress.m_host + "\"");
  }
  return { host, aAddress.m_port };
}

void
SetCloseOnExec(int aSocket)
{
  ::fcntl(aSocket, F_SETFD, FD_CLOEXEC);
}

void
ThrowListenError(const boost::system::system_error& aError,
                 const Address& aAddress)
{
  throw std::system_error(aError.code().value(),
                          std::system_category(),
                          "cannot listen on " + aAddress.ToString());
}

void
PrepareSocket(Tcp::socket& aSocket, std::chrono::milliseconds aSilenceTimeout)
{
  constexpr int kProbes = 2;
  const int seconds = std::max<int>(
    1, static_cast<int>(aSilenceTimeout.count()) / 1000 / (kProbes + 1));
  NetError ignored;
  aSocket.non_blocking(true, ignored);
  const int handle = aSocket.native_handle();
  SetCloseOnExec(handle);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(handle,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aSilenceTimeout.count()));
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
}

void
AsyncRead(Tcp::socket& aSocket,
          std::string& aIn,
          bool& aWaiting,
          std::function<void(const NetError&)> aDone)
{
  if (aWaiting) {
    return;
  }
  aWaiting = true;
  aSocket.async_wait(Tcp::socket::wait_read,
                     [&aSocket, &aIn, &aWaiting, done = std::move(aDone)](
                       const NetError& aError) {
                       aWaiting = false;
                       NetError error = aError;
                       if (!error) {
                         thread_local std::array<char, kReadBufferBytes>
                           sBytes; // one loop per thread
                         const std::size_t received = aSocket.read_some(
                           boost::asio::buffer(sBytes), error);
                         aIn.append(sBytes.data(), received);
                       }
                       const bool wouldBlock =
                         error == boost::asio::error::would_block;
                       done(wouldBlock ? NetError{} : error);
                     });
}

void
RunEvery(Timer& aTimer,
         std::chrono::milliseconds aInterval,
         const std::function<void()>& aTask)
{
  aTimer.expires_after(aInterval);
  aTimer.async_wait([&aTimer, aInterval, aTask](const NetError& aError) {
    if (!aError) {
      RunEvery(aTimer, aInterval, aTask);
    }
  });
  aTask();
}

std::chrono::milliseconds
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace siskindeal
