#pragma once
// Splits a streamed response into events, so that another runner of the same
// weights can resume it after a failure. Does no I/O.

#include "siskindeal/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindeal {

// Tracks how much of a response the caller has received. Only complete events
// are forwarded, so an interruption always falls between two events. An attempt
// is accepted only if it continues at that position with the same weights.
class StreamResume
{
public:
  // Called when an attempt responds with status 200 from these weights and
  // skips aResumedFrom events. Returns false if that is not the caller's
  // position; the bytes of such an attempt must not be used.
  bool BeginAttempt(const std::string& aDigest,
                    std::optional<std::uint64_t> aResumedFrom);
  // Adds bytes of the attempt. Returns the complete events to forward, if any.
  std::string ProcessBytes(std::string_view aBytes);
  // Returns the buffered bytes of an attempt that completed.
  std::string Flush();
  // The attempt was interrupted. Drops a partial event.
  void AbortAttempt();

  // Whether another attempt may resume after a failure for this reason.
  bool MayResume(Reason aReason) const;
  // Prevents any further attempt from resuming this response.
  void DisableResume() { m_resumable = false; }

  // Whether any byte was forwarded to the caller.
  bool HasBegun() const { return m_begun; }
  // Whether the end marker was forwarded to the caller.
  bool IsComplete() const { return m_complete; }
  std::uint64_t EventCount() const { return m_eventCount; }
  // The weights of the last attempt; fixed once bytes were forwarded.
  const std::string& Digest() const { return m_digest; }

  static constexpr std::uint32_t kMaxInterruptions = 3;
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

private:
  void CountEvent(std::string_view aEvent);

  std::string m_digest;
  std::string m_partial;     // incomplete event
  std::size_t m_scanned = 0; // searched bytes of m_partial
  std::uint64_t m_eventCount = 0;
  std::uint32_t m_interruptions = 0;
  bool m_attemptAccepted = false;
  bool m_begun = false;
  bool m_complete = false;
  bool m_resumable = true;
  // Set after an event over kMaxEventBytes; bytes are then forwarded unparsed.
  bool m_passThrough = false;
};

} // namespace siskindeal
