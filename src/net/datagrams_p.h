#pragma once
// UDP datagrams between siskindeal processes. Each is self-contained and may be
// lost; senders repeat their state periodically.

#include "datagram.pb.h"
#include "dispatch/named_versions_p.h"
#include "net/loop_p.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

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

// What a datagram is sent for.
enum class DatagramKind
{
  Heartbeat, // between gateways of a region
  Load,      // changed loads of runners, between them
  Report,    // of a region, to another region
  Relay,     // of another region's report, within a region
  Weights,   // between stagers, and between them and gateways
};

std::string_view
ToString(DatagramKind aKind);

// What was sent since the last call of TakeTraffic.
struct DatagramTraffic
{
  std::uint64_t m_datagrams = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_dropped = 0; // datagrams that the system didn't take
};

class DatagramSocket
{
public:
  using Receiver = std::function<void(const v1::Datagram&, const Address&)>;

  // Binds aAddress and passes received datagrams to aReceiver. Throws
  // std::system_error if binding fails.
  DatagramSocket(Loop& aLoop, const Address& aAddress, Receiver aReceiver);

  std::uint16_t Port() const { return m_socket.local_endpoint().port(); }

  // Sends without blocking; drops the datagram if it cannot be sent now.
  void Send(const v1::Datagram& aDatagram,
            const Address& aTo,
            DatagramKind aKind);

  // Returns what was sent since the last call, and adds it to the metrics.
  std::map<DatagramKind, DatagramTraffic> TakeTraffic();

private:
  static constexpr std::size_t kMaxDatagramBytes = 16 << 10;

  void Receive();

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, kMaxDatagramBytes> m_in;
  std::string m_out;
  std::map<DatagramKind, DatagramTraffic> m_traffic;
  Receiver m_receiver;
};

} // namespace siskindeal
