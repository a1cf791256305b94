#include "net/datagrams_p.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

// Of one model.
constexpr std::size_t kMaxAdvertisedVersions = 16;

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
  const auto append = [&](const std::string& aModel,
                          const NamedVersions::Entry& aEntry,
                          bool aAssumed) {
    v1::NamedAge& named = *aTo.Add();
    named.set_model(aModel);
    named.set_version(aEntry.m_version);
    named.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      (aBootTime - aEntry.m_namedAt).count(), 0, UINT32_MAX)));
    named.set_assumed(aAssumed);
  };
  for (const std::string& model : aNamed.Models()) {
    for (const NamedVersions::Entry& entry :
         aNamed.Summary(model, kMaxAdvertisedVersions)) {
      append(model, entry, false);
    }
    for (const NamedVersions::Entry& entry : aNamed.Assumed(model)) {
      append(model, entry, true);
    }
  }
}

bool
RecordNamedAge(NamedVersions& aNamed,
               const v1::NamedAge& aAge,
               std::chrono::milliseconds aBootTime)
{
  const std::chrono::milliseconds at =
    aBootTime - std::chrono::milliseconds(aAge.age_ms());
  return aAge.assumed() ? aNamed.RecordAssumed(aAge.model(), aAge.version(), at)
                        : aNamed.Record(aAge.model(), aAge.version(), at);
}

DatagramSocket::DatagramSocket(Loop& aLoop,
                               const Address& aAddress,
                               Receiver aReceiver)
  : m_socket(aLoop)
  , m_in{}
  , m_receiver(std::move(aReceiver))
{
  const Udp::endpoint endpoint = UdpEndpoint(aAddress);
  try {
    m_socket.open(endpoint.protocol());
    m_socket.bind(endpoint);
    m_socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    ThrowListenError(error, aAddress);
  }
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
