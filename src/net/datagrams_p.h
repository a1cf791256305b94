#pragma once
// UDP datagrams between siskindeal processes. Each is self-contained and may be
// lost; senders repeat their state periodically.

#include "datagram.pb.h"
#include "dispatch/named_versions_p.h"
#include "net/loop_p.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace siskindeal {

// Adds the versions named for each model that still decide something, with
// their ages.
void
AppendNamedAges(const NamedVersions& aNamed,
                std::chrono::milliseconds aBootTime,
                google::protobuf::RepeatedPtrField<v1::NamedAge>& aTo);

// Records one version that another process reported. Returns true if it is
// newer than all known.
bool
RecordNamedAge(NamedVersions& aNamed,
               const v1::NamedAge& aAge,
               std::chrono::milliseconds aBootTime);

class DatagramSocket
{
public:
  using Receiver = std::function<void(const v1::Datagram&, const Address&)>;

  // Binds aAddress and passes received datagrams to aReceiver. Throws
  // std::system_error if binding fails.
  DatagramSocket(Loop& aLoop, const Address& aAddress, Receiver aReceiver);

  std::uint16_t Port() const { return m_socket.local_endpoint().port(); }

  // Sends without blocking; drops the datagram if it cannot be sent now.
  void Send(const v1::Datagram& aDatagram, const Address& aTo);

private:
  static constexpr std::size_t kMaxDatagramBytes = 16 << 10;

  void Receive();

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, kMaxDatagramBytes> m_in;
  std::string m_out;
  Receiver m_receiver;
};

} // namespace siskindeal
