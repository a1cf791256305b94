#pragma once
// Detects runners that crashed while they executed requests.

#include "gateway/suspicion_exchange_p.h"
#include "net/loop_p.h"
#include "siskindeal/clock.h"

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
  static constexpr std::chrono::milliseconds kCrashWindow{ 2000 };
  // A runner that crashed is listed with its new start within this time.
  static constexpr std::chrono::milliseconds kRestartWindow{ 10000 };

  // Connections lost longer than aCrashWindow before a probe aren't linked to
  // the crash that it finds.
  CrashWatch(Loop& aLoop,
             SuspicionExchange& aSuspicions,
             std::chrono::milliseconds aCrashWindow = kCrashWindow)
    : m_loop(aLoop)
    , m_suspicions(aSuspicions)
    , m_crashWindow(aCrashWindow)
  {
  }

  // A connection was lost before its response was complete. The runner is
  // probed once for all connections lost together; it has crashed if it refuses
  // the probe's connection. A probe without an answer is repeated.
  void OnConnectionLost(const RunnerIncarnation& aRunner,
                        const Address& aAddress,
                        RequestTraits aRequest);
  // Whether this start of a runner refused a probe's connection.
  bool HasCrashed(const RunnerIncarnation& aRunner) const
  {
    return m_crashed.contains(aRunner);
  }
  struct ClosedResponse
  {
    int m_status = 0;
    MonotonicTime m_sentAt{}; // of the request
  };
  // A response ended with its connection, which is what a crash looks like too.
  // It counts as complete if the runner accepts the probe's connection.
  void OnResponseClosed(const RunnerIncarnation& aRunner,
                        const Address& aAddress,
                        RequestTraits aRequest,
                        const ClosedResponse& aResponse);

  // An attempt got no answer from a runner that had fallen silent, which is all
  // that a crash shows if the runner's VM goes down with it. Counts if the
  // runner proves to have restarted.
  void OnSilence(const RunnerIncarnation& aRunner, RequestTraits aRequest);
  // A later start of the runner is known. What was in flight in its silence was
  // so at a crash.
  void OnRestart(const RunnerIncarnation& aFormer);

private:
  struct SilentRequest
  {
    RunnerIncarnation m_runner;
    RequestTraits m_request;
    MonotonicTime m_at{};
  };
  struct LostConnection
  {
    RequestTraits m_request;
    MonotonicTime m_at{};
    std::optional<ClosedResponse> m_response; // that may be complete
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

  void AddLostConnection(const RunnerIncarnation& aRunner,
                         const Address& aAddress,
                         LostConnection aLost);
  void ScheduleProbe(const RunnerIncarnation& aRunner,
                     const std::shared_ptr<RunnerProbe>& aProbe);
  void StartProbe(const RunnerIncarnation& aRunner,
                  const std::shared_ptr<RunnerProbe>& aProbe);
  void OnProbed(const RunnerIncarnation& aRunner,
                const std::shared_ptr<RunnerProbe>& aProbe,
                const NetError& aResult);

  Loop& m_loop;
  SuspicionExchange& m_suspicions;
  std::chrono::milliseconds m_crashWindow;
  std::map<RunnerIncarnation, std::shared_ptr<RunnerProbe>> m_probes;
  std::deque<SilentRequest> m_silent; // by time
  // What is dropped counts as alive, which allows fewer attempts.
  std::map<RunnerIncarnation, MonotonicTime> m_crashed;
};

} // namespace siskindeal
