#pragma once
// A loop is one thread and its sockets. A gateway or stager is one loop, since
// its machines have a quarter of a core each and a second thread would only add
// switches; each HTTP server of an entry or agent has one of its own.

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

// Throws std::invalid_argument for a host that isn't an IP number.
Tcp::endpoint
EndpointOf(const Address& aAddress);

// A program that this process is part of, such as a test, may start others;
// they don't inherit the socket.
void
KeepFromChildren(int aSocket);

// Makes a connected socket ready for AwaitBytes, and lets the kernel end it
// when its other side has gone silent: unanswered data or probes for aSilence
// do.
void
PrepareSocket(Tcp::socket& aSocket, std::chrono::milliseconds aSilence);

// Waits until the other side has sent something, appends it to aIn and calls
// aDone; with eof or another error when there is nothing more. Between calls a
// connection that waits holds no buffer. aDone is never called from inside.
// aWaiting is true meanwhile; while it is, further calls do nothing.
void
AwaitBytes(Tcp::socket& aSocket,
           std::string& aIn,
           bool& aWaiting,
           std::function<void(const NetError&)> aDone);

// Calls aWhat now and again after each aInterval, until the timer is cancelled.
void
RunEvery(Timer& aTimer,
         std::chrono::milliseconds aInterval,
         const std::function<void()>& aWhat);

// Time that also counts while the machine is suspended. The steady clock
// doesn't, so it can't tell how old a piece of knowledge is.
std::chrono::milliseconds
BootTime();

} // namespace siskindeal
