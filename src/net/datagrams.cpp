#include "net/datagrams_p.h"

#include "kernel/contain_p.h"
#include "siskindeal/metrics.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

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

std::string_view
ToString(DatagramKind aKind)
{
  switch (aKind) {
    case DatagramKind::Heartbeat:
      return "heartbeat";
    case DatagramKind::Load:
      return "load";
    case DatagramKind::Report:
      return "report";
    case DatagramKind::Relay:
      return "relay";
    case DatagramKind::Weights:
      return "weights";
  }
  return "unknown";
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
DatagramSocket::Send(const v1::Datagram& aDatagram,
                     const Address& aTo,
                     DatagramKind aKind)
{
  m_out.clear();
  if (!aDatagram.SerializeToString(&m_out)) {
    return;
  }
  NetError error;
  m_socket.send_to(boost::asio::buffer(m_out), UdpEndpoint(aTo), 0, error);
  DatagramTraffic& traffic = m_traffic[aKind];
  if (error) { // the data is sent again periodically
    ++traffic.m_dropped;
    return;
  }
  ++traffic.m_datagrams;
  traffic.m_bytes += m_out.size();
}

std::map<DatagramKind, DatagramTraffic>
DatagramSocket::TakeTraffic()
{
  for (const auto& [kind, traffic] : m_traffic) {
    const MetricLabels labels = { { "kind", std::string(ToString(kind)) } };
    CountMetric("siskindeal_datagrams_sent_total",
                labels,
                static_cast<double>(traffic.m_datagrams));
    CountMetric("siskindeal_datagram_bytes_total",
                labels,
                static_cast<double>(traffic.m_bytes));
    CountMetric("siskindeal_datagrams_dropped_total",
                labels,
                static_cast<double>(traffic.m_dropped));
  }
  return std::exchange(m_traffic, {});
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
      Contain("datagram", [&] {
        v1::Datagram datagram;
        if (!aError &&
            datagram.ParseFromArray(m_in.data(), static_cast<int>(aBytes))) {
          m_receiver(datagram, { m_from.address().to_string(), m_from.port() });
        }
      });
      Receive();
    });
}

} // namespace siskindeal
