#pragma once
// Limits on the requests a second that runners name in their responses, for all
// gateways together, and this gateway's share of them. Does no I/O; the caller
// passes the time.

#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace siskindeal {

// What a runner said last about its limit.
struct RunnerLimit
{
  std::optional<double> m_perSecond; // unset: it has no limit any more
  MonotonicTime m_namedAt{};         // when a gateway received that response
  MonotonicTime m_since{};           // when it first named any limit
};

enum class LimitReason
{
  Stated, // by the runner
  Cold,   // it started or returned lately
};

// A limit is divided among a few gateways, its holders; the others send the
// runner nothing. Every gateway is a holder where the limit is large.
class RunnerLimits
{
public:
  RunnerLimits() = default;
  explicit RunnerLimits(LimitReason aReason)
    : m_reason(aReason)
  {
  }

  // This gateway's position among those that serve callers, in an order that
  // all gateways agree on for one runner.
  struct Position
  {
    std::size_t m_rank = 0;
    std::size_t m_gateways = 1;
  };
  using PositionOf = std::function<Position(const RunnerIncarnation&)>;

  // Records what a runner's response to a request sent at aSentAt said. A
  // response to a request that was sent before the limit was named doesn't end
  // the limit. A limit that isn't positive and finite becomes kTrialRate.
  void RecordResponse(const RunnerIncarnation& aRunner,
                      std::optional<double> aPerSecond,
                      MonotonicTime aSentAt,
                      MonotonicTime aNow);
  // Applies what another gateway knows. The newer knowledge wins.
  void Merge(const RunnerIncarnation& aRunner,
             const RunnerLimit& aLimit,
             MonotonicTime aNow);
  // Updates which limits this gateway holds. Limits of runners for which
  // aIsKnown is false are kept for kMemory, since a runner that lives may be
  // missing from the list for a while; those of cold runners are forgotten.
  void Update(const PositionOf& aPositionOf,
              const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
              MonotonicTime aNow);

  // Whether the runner may get a request from this gateway now.
  bool Allows(const RunnerIncarnation& aRunner, MonotonicTime aNow) const;
  // Records that a request is sent. Call it for each attempt.
  void RecordSend(const RunnerIncarnation& aRunner, MonotonicTime aNow);
  // The time until some gateway may send one of these runners a request.
  std::chrono::milliseconds RetryAfter(
    const std::vector<RunnerIncarnation>& aRunners) const;

  // Returns nullopt for a runner without a limit.
  std::optional<double> LimitOf(const RunnerIncarnation& aRunner) const;
  // Limits of known runners to tell other gateways: those in force, and those
  // that ended lately. Bounded; successive calls take turns.
  std::vector<std::pair<RunnerIncarnation, RunnerLimit>> Advertise(
    MonotonicTime aNow);

  // Requests a second to a runner whose limit is zero or unreadable, to learn
  // when that changes.
  static constexpr double kTrialRate = 0.2;
  static constexpr std::chrono::minutes kMemory{ 10 };
  static constexpr std::size_t kMaxLimits = 4096;

private:
  // This gateway's part of one limit: a token bucket that holds one request.
  struct Share
  {
    double m_perSecond = 0;
    double m_tokens = 0;
    MonotonicTime m_updatedAt{};
    std::optional<MonotonicTime> m_heldFrom; // unset: not a holder
  };
  struct Known
  {
    RunnerLimit m_limit;
    MonotonicTime m_advertiseUntil{}; // applies to limits that ended
    MonotonicTime m_lastKnown{};      // that the runner was
    bool m_isKnown = true;
  };

  void Set(const RunnerIncarnation& aRunner,
           const RunnerLimit& aLimit,
           MonotonicTime aNow);
  void Forget(const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
              MonotonicTime aNow);
  static Share BeginShare(const RunnerLimit& aLimit, MonotonicTime aNow);
  static double TokensAt(const Share& aShare, MonotonicTime aNow);

  LimitReason m_reason = LimitReason::Stated;
  std::map<RunnerIncarnation, Known> m_limits;
  std::map<RunnerIncarnation, Share> m_shares;
  std::optional<RunnerIncarnation> m_lastAdvertised;
};

} // namespace siskindeal
