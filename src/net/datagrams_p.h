#pragma once
// Datagrams between siskindeal's own processes. Each stands alone and may be
// lost; what they carry is told again and again.

#include "datagram.pb.h"
#include "dispatch/named_versions_p.h"
#include "net/loop_p.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace siskindeal {

// Adds the newest version named for each model, and how long ago it was.
void
TellNamed(const NamedVersions& aNamed,
          std::chrono::milliseconds aBootTime,
          google::protobuf::RepeatedPtrField<v1::NamedAge>& aTo);

class DatagramSocket
{
public:
  using Receiver = std::function<void(const v1::Datagram&, const Address&)>;

  // Binds aAddress and hands on what arrives. Throws std::system_error when it
  // can't.
  DatagramSocket(Loop& aLoop, const Address& aAddress, Receiver aReceiver);

  std::uint16_t Port() const { return m_socket.local_endpoint().port(); }

  // Sends without waiting; what can't leave now is dropped.
  void Send(const v1::Datagram& aDatagram, const Address& aTo);

private:
  void Receive();

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, 16 << 10> m_in;
  std::string m_out;
  Receiver m_receiver;
};

} // namespace siskindeal
