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
  // Records what a gateway of this region measured.
  void RecordRelayed(const std::string& aRegion,
                     Milliseconds aQueued,
                     Milliseconds aNow);
  // Records what a region measured of datagrams from this one.
  void RecordOutbound(const std::string& aRegion,
                      Milliseconds aQueued,
                      Milliseconds aNow);

  // Time in the queue from and to a region; 0 if nothing recent is known. While
  // no report arrives, the time from a region grows, since reports may be
  // queued.
  Milliseconds Inbound(const std::string& aRegion, Milliseconds aNow) const;
  Milliseconds Outbound(const std::string& aRegion, Milliseconds aNow) const;
  // The time from each region that reported.
  std::map<std::string, Milliseconds> AllInbound(Milliseconds aNow) const;
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

  struct Region
  {
    std::map<std::string, Baseline> m_baselines; // by VM of the sender
    std::string m_reference; // VM of the sender; empty: none
    Milliseconds m_referenceAt{ 0 };
    Milliseconds m_inbound{ 0 };
    Milliseconds m_inboundAt{ kNever };
    Milliseconds m_outbound{ 0 };
    Milliseconds m_outboundAt{ kNever };
  };

  static constexpr Milliseconds kNever = std::chrono::hours(-24);

  // Returns for how long the report was queued.
  static Milliseconds Measure(Baseline& aBaseline,
                              std::uint64_t aIncarnation,
                              Milliseconds aDifference,
                              Milliseconds aNow);
  static Milliseconds Inbound(const Region& aRegion, Milliseconds aNow);
  static Milliseconds Outbound(const Region& aRegion, Milliseconds aNow);

  std::map<std::string, Region> m_regions;
};

} // namespace siskindeal
