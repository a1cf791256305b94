#include "node/listen_p.h"

#include "net/loop_p.h"
#include "node/signals_p.h"
#include "siskindeal/log.h"

#include <boost/asio/ip/udp.hpp>

#include <list>
#include <optional>
#include <string>
#include <system_error>
#include <thread>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryInterval{ 20 };
constexpr std::chrono::seconds kLogInterval{ 1 };

// Whether the address may become usable: another process has it, or the network
// interface isn't configured yet.
bool
IsTransient(const std::error_code& aError)
{
  return aError == std::errc::address_in_use ||
         aError == std::errc::address_not_available;
}

// Binds addresses without accepting callers.
class Reservation
{
public:
  std::error_code Add(const ListenAddress& aAddress)
  {
    const Tcp::endpoint endpoint = EndpointOf(aAddress.m_address);
    NetError error;
    if (aAddress.m_datagrams) {
      using Udp = boost::asio::ip::udp;
      auto& socket = m_datagrams.emplace_back(m_loop);
      Open(socket, Udp::endpoint(endpoint.address(), endpoint.port()), error);
    } else {
      Open(m_streams.emplace_back(m_loop), endpoint, error);
    }
    return { error.value(), std::system_category() };
  }

private:
  template<typename Socket, typename Endpoint>
  static void Open(Socket& aSocket, const Endpoint& aEndpoint, NetError& aError)
  {
    aSocket.open(aEndpoint.protocol(), aError);
    if (aError) {
      return;
    }
    SetCloseOnExec(aSocket.native_handle());
    if constexpr (std::is_same_v<Socket, Tcp::acceptor>) {
      // As of listeners: connections of the former process may remain.
      aSocket.set_option(Tcp::acceptor::reuse_address(true), aError);
    }
    aSocket.bind(aEndpoint, aError);
  }

  Loop m_loop;
  std::list<Tcp::acceptor> m_streams;
  std::list<boost::asio::ip::udp::socket> m_datagrams;
};

struct BindFailure
{
  const ListenAddress* m_address;
  std::error_code m_error;
};

// Returns the first address that can't be bound beside the others, if any.
std::optional<BindFailure>
TryToBind(const std::vector<ListenAddress>& aAddresses)
{
  Reservation reservation;
  for (const ListenAddress& address : aAddresses) {
    if (address.m_address.m_port == 0) {
      continue;
    }
    if (const std::error_code error = reservation.Add(address)) {
      return BindFailure{ &address, error };
    }
  }
  return std::nullopt;
}

// Logs what a start waits for.
class WaitLog
{
public:
  explicit WaitLog(milliseconds aLimit)
    : m_limit(aLimit)
  {
  }

  milliseconds Waited() const
  {
    return std::chrono::duration_cast<milliseconds>(LoopNow() - m_begin);
  }

  void Record(const BindFailure& aFailure)
  {
    const bool isNew = m_latest != aFailure.m_address;
    if (!isNew && LoopNow() - m_loggedAt < kLogInterval) {
      return;
    }
    m_latest = aFailure.m_address;
    m_loggedAt = LoopNow();
    Write(LogLevel::Warning, "address in use", aFailure.m_error.message());
  }

  void RecordFree() const
  {
    if (m_latest != nullptr) {
      Write(LogLevel::Info, "address free", "");
    }
  }

private:
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             const std::string& aReason) const
  {
    Log(aLevel,
        aEvent,
        { { "setting", m_latest->m_setting },
          { "address", m_latest->m_address.ToString() },
          { "protocol", m_latest->m_datagrams ? "udp" : "tcp" },
          { "reason", aReason },
          { "waited_ms", Waited().count() },
          { "limit_ms", m_limit.count() } });
  }

  const milliseconds m_limit;
  const MonotonicClockPoint m_begin = LoopNow();
  const ListenAddress* m_latest = nullptr;
  MonotonicClockPoint m_loggedAt;
};

// Waits until all addresses can be bound at the same time.
void
AwaitFree(const std::vector<ListenAddress>& aAddresses,
          milliseconds aLimit,
          WaitLog& aLog)
{
  while (true) {
    ThrowIfStopped();
    const auto failure = TryToBind(aAddresses);
    if (!failure) {
      aLog.RecordFree();
      return;
    }
    const bool mayRetry = IsTransient(failure->m_error);
    if (!mayRetry || aLog.Waited() >= aLimit) {
      throw std::system_error(
        failure->m_error,
        "cannot listen on " + failure->m_address->m_address.ToString() + " (" +
          std::string(failure->m_address->m_setting) + "), tried for " +
          std::to_string(aLog.Waited().count()) + " ms");
    }
    aLog.Record(*failure);
    std::this_thread::sleep_for(kRetryInterval);
  }
}

} // namespace

void
ListenWhenFree(const std::vector<ListenAddress>& aAddresses,
               milliseconds aLimit,
               const std::function<void()>& aListen)
{
  WaitLog log(aLimit);
  while (true) {
    AwaitFree(aAddresses, aLimit, log);
    try {
      aListen();
      return;
    } catch (const std::system_error& error) {
      // Another process that was starting too may have been first.
      if (!IsTransient(error.code()) || log.Waited() >= aLimit) {
        throw;
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

} // namespace siskindeal
