#pragma once
// Exchanges datagrams with a gateway as another process would.

#include "datagram.pb.h"
#include "net/loop_p.h"
#include "siskindeal/settings.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <optional>

namespace siskindeal {

// Another process that exchanges datagrams with the gateway.
class RemoteProcess
{
public:
  using Udp = boost::asio::ip::udp;

  RemoteProcess()
    : m_socket(m_loop, Udp::endpoint(Loopback(), 0))
  {
    m_socket.non_blocking(true);
  }

  static boost::asio::ip::address Loopback()
  {
    return boost::asio::ip::make_address("127.0.0.1");
  }

  Address LocalAddress() const
  {
    return { "127.0.0.1", m_socket.local_endpoint().port() };
  }

  void Send(const v1::Datagram& aDatagram, std::uint16_t aPort)
  {
    m_socket.send_to(boost::asio::buffer(aDatagram.SerializeAsString()),
                     { Loopback(), aPort });
  }

  // The next datagram received; none if the queue is empty.
  std::optional<v1::Datagram> TryReceive()
  {
    NetError error;
    const std::size_t got =
      m_socket.receive(boost::asio::buffer(m_in), 0, error);
    v1::Datagram datagram;
    if (error || !datagram.ParseFromArray(m_in.data(), static_cast<int>(got))) {
      return std::nullopt;
    }
    return datagram;
  }

private:
  Loop m_loop{ 1 };
  Udp::socket m_socket;
  std::array<char, 16 << 10> m_in{};
};

} // namespace siskindeal
