#pragma once
// Detects runners that crashed while they executed requests, and requests that
// crash the runners that execute them. Gateways share their suspicions.

#include "net/loop_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/quarantine.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

class CrashWatch
{
public:
  explicit CrashWatch(Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  // A connection was lost before its response was complete. The runner is
  // probed once for all connections lost together; it has crashed if it refuses
  // the probe's connection.
  void OnConnectionLost(const std::string& aRunner,
                        const Address& aAddress,
                        std::uint64_t aFingerprint);
  // aStatus is that of the runner's complete response.
  void OnRequestCompleted(std::uint64_t aFingerprint, int aStatus);

  // Whether a request has crashed its runners and must not be sent again.
  bool IsQuarantined(std::uint64_t aFingerprint) const;

  // Suspicions to send to other gateways, those with most crashes first;
  // bounded.
  std::vector<wire::Suspicion> SuspicionsToAdvertise(MonotonicTime aNow);
  void Merge(const wire::Suspicion& aSuspicion);

  // Returns nullopt for a request that was in flight at no known crash.
  std::optional<SuspicionListing> ListingOf(std::uint64_t aFingerprint) const
  {
    return m_table.ListingOf(aFingerprint);
  }
  std::vector<SuspicionListing> List() const { return m_table.List(); }

private:
  struct LostConnection
  {
    std::uint64_t m_fingerprint = 0;
    MonotonicTime m_at{};
  };
  // A runner that recently lost connections.
  struct RunnerProbe
  {
    explicit RunnerProbe(Loop& aLoop)
      : m_timer(aLoop)
      , m_socket(aLoop)
    {
    }

    Address m_address;
    std::vector<LostConnection> m_lostConnections;
    MonotonicTime m_probedAt{};
    bool m_pending = false;
    Timer m_timer;
    Tcp::socket m_socket;
  };

  void StartProbe(const std::string& aRunner,
                  const std::shared_ptr<RunnerProbe>& aProbe);
  void OnProbed(const std::string& aRunner,
                RunnerProbe& aProbe,
                const NetError& aResult);
  void LogQuarantined() const;

  Loop& m_loop;
  SuspicionTable m_table;
  std::map<std::string, std::shared_ptr<RunnerProbe>> m_probes; // by runner
  // Change numbers of the table at recent times; each change is advertised for
  // kAdvertisePeriod.
  std::deque<std::pair<MonotonicTime, std::uint64_t>> m_changeNumbers;
};

} // namespace siskindeal
