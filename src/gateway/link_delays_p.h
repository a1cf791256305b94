#pragma once
// Measures for how long datagrams between this gateway's region and others are
// queued on the way, in each direction, from the times at which region reports
// were sent and arrived. Does no I/O; the caller passes the time.
//
// Clocks needn't agree: a report is compared with the fastest one of the same
// sender. All times are of a clock that runs on while a machine is suspended.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

// A gateway's measurement of a link in one direction.
struct LinkMeasurement
{
  std::chrono::milliseconds m_queued{ 0 };
  std::chrono::milliseconds m_measuredFor{ 0 }; // by the same sender's reports
};

class LinkDelays
{
public:
  using Milliseconds = std::chrono::milliseconds;

  // One start of a gateway.
  struct Sender
  {
    std::string m_vm;
    std::uint64_t m_incarnation = 0;
  };

  // Records a report that arrived from another region. aSentAt is by its
  // sender's clock.
  void RecordReport(const std::string& aRegion,
                    const Sender& aSender,
                    Milliseconds aSentAt,
                    Milliseconds aNow);
  // Records what another gateway of this region measured of reports from a
  // region.
  void RecordRelayed(const std::string& aRegion,
                     const LinkMeasurement& aMeasured,
                     Milliseconds aNow);
  // Records what a gateway of another region measured of reports from this one.
  void RecordOutbound(const std::string& aRegion,
                      const LinkMeasurement& aMeasured,
                      Milliseconds aNow);
  // Drops what is known of a region, whose reports state no time any more.
  void Forget(const std::string& aRegion);

  // Time in the queue from and to a region; 0 if nothing recent is known. While
  // no report arrives, the time from a region grows, since reports may be
  // queued.
  Milliseconds Inbound(const std::string& aRegion, Milliseconds aNow) const;
  Milliseconds Outbound(const std::string& aRegion, Milliseconds aNow) const;
  // What this gateway itself measured lately, by region.
  std::map<std::string, LinkMeasurement> Measurements(Milliseconds aNow) const;
  // The time to and from each region that reported.
  std::map<std::string, Milliseconds> RoundTrips(Milliseconds aNow) const;

private:
  // The least differences between arrival and sending, in the present period
  // and the one before it. They include the difference of the clocks.
  struct Baseline
  {
    std::uint64_t m_incarnation = 0;
    Milliseconds m_firstAt{ 0 };
    Milliseconds m_lastAt{ 0 };
    Milliseconds m_periodStart{ 0 };
    Milliseconds m_least{ 0 };
    Milliseconds m_formerLeast{ 0 };
  };

  static constexpr Milliseconds kNever = std::chrono::hours(-24);

  struct Delay
  {
    Milliseconds m_queued{ 0 };
    Milliseconds m_at{ kNever };
    // Of the longest measurement that is heard.
    Milliseconds m_since{ 0 };
    Milliseconds m_rankedAt{ kNever };
  };

  struct Region
  {
    std::map<std::string, Baseline> m_baselines; // by VM of the sender
    Delay m_measured;                            // inbound, by this gateway
    Delay m_relayed;                             // inbound, by another one
    Delay m_outbound;
  };

  // Returns for how long the report was queued.
  static Milliseconds Measure(Baseline& aBaseline,
                              std::uint64_t aIncarnation,
                              Milliseconds aDifference,
                              Milliseconds aNow);
  static void Take(Delay& aDelay,
                   const LinkMeasurement& aLatest,
                   Milliseconds aNow);
  static const Delay& InboundDelay(const Region& aRegion, Milliseconds aNow);
  // Grows while no report arrives; 0 if nothing recent is known.
  static Milliseconds WithSilence(const Delay& aDelay, Milliseconds aNow);
  static Milliseconds Inbound(const Region& aRegion, Milliseconds aNow);
  static Milliseconds Outbound(const Region& aRegion, Milliseconds aNow);

  std::map<std::string, Region> m_regions;
};

} // namespace siskindeal
