#include "net/datagrams_p.h"

#include <boost/asio/buffer.hpp>

namespace siskindeal {

namespace {

using Udp = boost::asio::ip::udp;

Udp::endpoint
UdpEndpoint(const Address& aAddress)
{
  const Tcp::endpoint endpoint = EndpointOf(aAddress);
  return { endpoint.address(), endpoint.port() };
}

} // namespace

void
AppendNamedAges(const NamedVersions& aNamed,
                std::chrono::milliseconds aBootTime,
                google::protobuf::RepeatedPtrField<v1::NamedAge>& aTo)
{
  for (const auto& [model, times] : aNamed.All()) {
    const auto& [version, at] = *times.rbegin();
    v1::NamedAge& named = *aTo.Add();
    named.set_model(model);
    named.set_version(version);
    named.set_age_ms(static_cast<std::uint32_t>((aBootTime - at).count()));
  }
}

DatagramSocket::DatagramSocket(Loop& aLoop,
                               const Address& aAddress,
                               Receiver aReceiver)
  : m_socket(aLoop, UdpEndpoint(aAddress))
  , m_in{}
  , m_receiver(std::move(aReceiver))
{
  m_socket.non_blocking(true);
  Receive();
}

void
DatagramSocket::Send(const v1::Datagram& aDatagram, const Address& aTo)
{
  m_out.clear();
  if (!aDatagram.SerializeToString(&m_out)) {
    return;
  }
  NetError ignored; // the data is sent again periodically
  m_socket.send_to(boost::asio::buffer(m_out), UdpEndpoint(aTo), 0, ignored);
}

void
DatagramSocket::Receive()
{
  m_socket.async_receive_from(
    boost::asio::buffer(m_in),
    m_from,
    [this](const NetError& aError, std::size_t aBytes) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      v1::Datagram datagram;
      if (!aError &&
          datagram.ParseFromArray(m_in.data(), static_cast<int>(aBytes))) {
        m_receiver(datagram, { m_from.address().to_string(), m_from.port() });
      }
      Receive();
    });
}

} // namespace siskindeal
