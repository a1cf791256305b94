#pragma once
// State machine of one lease: when to acquire, renew and release it, and
// whether it is held. Does no I/O; the caller passes the time and makes the
// calls.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"
#include "siskindeal/platform.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace siskindeal {

// The JSON value of a lease object. Holders never delete the object.
struct LeaseValue
{
  std::string m_holder;      // empty if the lease is free
  std::uint64_t m_token = 0; // 0 in the write that acquires the lease
  std::chrono::milliseconds m_duration{ 0 };
};

std::string
ToJson(const LeaseValue& aValue);
// Returns a free lease if the text is malformed.
LeaseValue
ParseLease(const std::string& aJson);

// The fencing token is the object version of the write that acquired the lease.
// It increases with each holder, even if the object was deleted in between.
//
// A holder counts the duration from before it sent the write. Another process
// may take the lease over after it has seen the same version for the full
// duration on its own clock. Each side keeps a margin of kClockDriftFraction of
// the duration, so that clock rates may differ by less than that.
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

  // aHolder must be unique to this run of the process.
  LeaseHolder(std::string aKey,
              std::string aHolder,
              std::chrono::milliseconds aDuration,
              std::uint64_t aSeed);

  // The call to make now, if any; none while a call is in flight. aRank is the
  // rank of this process for the lease, 0 being the most preferred;
  // std::nullopt if it must not hold the lease.
  Call Tick(MonotonicTime aNow, std::optional<std::size_t> aRank);

  // Handle the reply to a call. Each call gets exactly one reply.
  void OnReadReply(const PlatformReply& aReply, MonotonicTime aNow);
  void OnWriteReply(const PlatformReply& aReply, MonotonicTime aNow);

  // Stops holding at once; Tick then returns the write that frees the lease.
  // The lease is not acquired again.
  void Release() { m_releasing = true; }
  // Whether no lease is held and no call is in flight.
  bool IsReleased() const;

  // The fencing token if the lease is held.
  std::optional<std::uint64_t> Token(MonotonicTime aNow) const;

private:
  enum class Purpose
  {
    Acquire,
    Renew,
    Release,
  };

  struct PendingWrite
  {
    Purpose m_purpose = Purpose::Acquire;
    std::string m_changeId;
    std::uint64_t m_expectedVersion = 0;
    MonotonicTime m_sentAt;
  };

  struct ObservedState
  {
    std::uint64_t m_version = 0;
    LeaseValue m_value;
    MonotonicTime m_firstSeenAt; // of the first reply with this version
  };

  struct Held
  {
    std::uint64_t m_token = 0;
    MonotonicTime m_expiresAt;
    MonotonicTime m_renewAt;
  };

  Call TickHeld(MonotonicTime aNow, std::size_t aRank);
  Call TickNotHeld(MonotonicTime aNow, std::size_t aRank);
  Call Write(MonotonicTime aNow, Purpose aPurpose);
  Call Read();
  bool CanAcquire(MonotonicTime aNow, std::size_t aRank) const;
  void Observe(const PlatformObject& aObject, MonotonicTime aNow);
  void OnOwnWriteApplied(const PendingWrite& aWrite,
                         const PlatformObject& aObject,
                         MonotonicTime aNow);
  LeaseValue MissingLeaseValue() const;
  void ClearHeld();

  std::string m_key;
  std::string m_holder;
  std::chrono::milliseconds m_duration;
  Random m_random;
  Backoff m_backoff;
  bool m_callInFlight = false;
  bool m_releasing = false;
  std::uint64_t m_lastToken = 0;
  std::uint64_t m_writeCount = 0;
  std::optional<Held> m_held;
  std::optional<ObservedState> m_observed;
  std::optional<PendingWrite> m_pendingWrite;    // in flight
  std::optional<PendingWrite> m_unresolvedWrite; // reply lost, to be read back
  std::optional<MonotonicTime> m_outrankedSince;
  std::optional<MonotonicTime> m_releasedAt;
  MonotonicTime m_nextReadAt;
  MonotonicTime m_retryAt;
};

} // namespace siskindeal
