#pragma once
// When to take, renew and give up one lease object of the platform, and whether
// it is held now. No I/O.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"
#include "siskindeal/platform.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace siskindeal {

// The JSON value of a lease object. It is never deleted by a holder.
struct LeaseValue
{
  std::string m_holder;      // empty: free
  std::uint64_t m_token = 0; // 0 in the write that takes the lease
  std::chrono::milliseconds m_duration{ 0 };
};

std::string
ToJson(const LeaseValue& aValue);
// A malformed text is a free lease.
LeaseValue
ParseLease(const std::string& aJson);

// A lease's fencing token is the platform's version of the write that took it:
// it grows with each holder, also when the object was deleted in between.
//
// A holder dates its lease from before it sent the write. Another takes it over
// once it has seen one version for the whole duration by its own clock. Each
// keeps kClockDrift of the duration in reserve, so that clocks whose rates
// differ by less are no harm.
class LeaseHolder
{
public:
  struct Call
  {
    enum class Kind
    {
      None,
      Read,
      Write,
    };
    Kind m_kind = Kind::None;
    PlatformWrite m_write;
  };

  // aHolder is unique to this start of the process.
  LeaseHolder(std::string aKey,
              std::string aHolder,
              std::chrono::milliseconds aDuration,
              std::uint64_t aSeed);

  // The call to make now, if any; none while one is out. aRank is the place of
  // this process in the lease's order of preference, 0 the first; nothing if it
  // isn't to hold it at all.
  Call Tick(MonotonicTime aNow, std::optional<std::size_t> aRank);

  // The answers to the call. Each call gets exactly one.
  void OnRead(const PlatformReply& aReply, MonotonicTime aNow);
  void OnWritten(const PlatformReply& aReply, MonotonicTime aNow);

  // Stops holding at once and gives the lease up as soon as it can; Tick makes
  // the write. A lease that is released isn't taken again.
  void Release() { m_releasing = true; }
  // Whether there is nothing left to give up.
  bool Released() const;

  // The fencing token while the lease is held.
  std::optional<std::uint64_t> Token(MonotonicTime aNow) const;

private:
  enum class Purpose
  {
    Take,
    Renew,
    GiveUp,
  };

  struct Sent
  {
    Purpose m_purpose = Purpose::Take;
    std::string m_changeId;
    std::uint64_t m_expectedVersion = 0;
    MonotonicTime m_at;
  };

  struct Seen
  {
    std::uint64_t m_version = 0;
    LeaseValue m_value;
    MonotonicTime m_since; // of the first answer that showed it
  };

  struct Held
  {
    std::uint64_t m_token = 0;
    MonotonicTime m_until;
    MonotonicTime m_renewAt;
  };

  Call TickHeld(MonotonicTime aNow, std::size_t aRank);
  Call TickFree(MonotonicTime aNow, std::size_t aRank);
  Call Write(MonotonicTime aNow, Purpose aPurpose);
  Call Read();
  bool MayTake(MonotonicTime aNow, std::size_t aRank) const;
  void Observe(const PlatformObject& aObject, MonotonicTime aNow);
  void Took(const Sent& aSent,
            const PlatformObject& aObject,
            MonotonicTime aNow);
  LeaseValue Missing() const;
  void Drop();

  std::string m_key;
  std::string m_holder;
  std::chrono::milliseconds m_duration;
  Random m_random;
  Backoff m_backoff;
  bool m_out = false;
  bool m_releasing = false;
  std::uint64_t m_lastToken = 0;
  std::uint64_t m_calls = 0;
  std::optional<Held> m_held;
  std::optional<Seen> m_seen;
  std::optional<Sent> m_sent;    // a write that is out
  std::optional<Sent> m_unknown; // a write whose answer was lost
  std::optional<MonotonicTime> m_outranked;
  std::optional<MonotonicTime> m_gaveUpAt;
  MonotonicTime m_readAt;
  MonotonicTime m_notBefore;
};

} // namespace siskindeal
