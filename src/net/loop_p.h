#pragma once
// Event loop, socket and timer helpers. Each loop runs on one thread.
// A gateway or stager runs a single loop, since it has a quarter of a core and
// a second thread would only add context switches. Each HTTP server of an entry
// or agent has its own loop.

#include "siskindeal/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace siskindeal {

using Loop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;
using Timer = boost::asio::steady_timer;
using NetError = boost::system::error_code;
using MonotonicClockPoint = std::chrono::steady_clock::time_point;

inline MonotonicClockPoint
LoopNow()
{
  return std::chrono::steady_clock::now();
}

// Throws std::invalid_argument for a host that is not an IP address.
Tcp::endpoint
EndpointOf(const Address& aAddress);

// Keeps the socket from being inherited by child processes, which a program
// that embeds this code, such as a test, may start.
void
SetCloseOnExec(int aSocket);

// Throws std::system_error with the code of aError and the address.
[[noreturn]] void
ThrowListenError(const boost::system::system_error& aError,
                 const Address& aAddress);

// Prepares a connected socket for AsyncRead and makes the kernel close it when
// sent data or keep-alive probes are unacknowledged for aSilenceTimeout.
void
PrepareSocket(Tcp::socket& aSocket, std::chrono::milliseconds aSilenceTimeout);

// Waits for input, appends it to aIn and calls aDone, with eof or another error
// when there is no more. A waiting connection holds no buffer. aDone is never
// called from within AsyncRead. aWaiting is true until input arrives; meanwhile
// further calls do nothing.
void
AsyncRead(Tcp::socket& aSocket,
          std::string& aIn,
          bool& aWaiting,
          std::function<void(const NetError&)> aDone);

// Runs aTask now and then every aInterval, until the timer is cancelled.
void
RunEvery(Timer& aTimer,
         std::chrono::milliseconds aInterval,
         const std::function<void()>& aTask);

// Returns CLOCK_BOOTTIME, which also counts while the machine is suspended. The
// steady clock does not, so it cannot measure the age of data.
std::chrono::milliseconds
BootTime();

} // namespace siskindeal
