#pragma once
// A streamed answer on its way to its caller: passed on event by event, so that
// another runner of the same weights can go on with it. Decisions only.

#include "siskindeal/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindeal {

// What a caller has of an answer. Only whole events are passed on, so that a
// break is always between two events; an attempt's bytes are taken only when
// they go on where the caller's answer ends, under the same weights.
class StreamResume
{
public:
  // An attempt answers 200 from these weights, after the events that it says it
  // left out. False when that isn't where the caller's answer ends: then
  // nothing of the attempt may be taken.
  bool Begin(const std::string& aDigest,
             std::optional<std::uint64_t> aResumedFrom);
  // Bytes of the attempt; returns the events to pass on, maybe none.
  std::string Take(std::string_view aBytes);
  // What is left of an attempt that has ended whole.
  std::string TakeRest();
  // The attempt has broken off: part of an event is dropped.
  void BreakOff();

  // Whether another attempt may go on after a failure for this reason.
  bool MayResume(Reason aReason) const;
  // No other attempt may go on with this answer.
  void GiveUp() { m_resumable = false; }

  // Whether the caller has any byte of the answer.
  bool HasBegun() const { return m_begun; }
  // Whether the caller has the answer's end marker.
  bool IsWhole() const { return m_whole; }
  std::uint64_t Events() const { return m_events; }
  // The only weights that may go on; empty while the caller has nothing.
  const std::string& Digest() const { return m_digest; }

  static constexpr std::uint32_t kMostBreaks = 3;
  static constexpr std::size_t kMostEventBytes = 1 << 20;

private:
  void Count(std::string_view aEvent);

  std::string m_digest;
  std::string m_partial;     // of the event that is arriving
  std::size_t m_scanned = 0; // bytes of it that hold no event's end
  std::uint64_t m_events = 0;
  std::uint32_t m_breaks = 0;
  bool m_accepted = false; // the attempt that is out
  bool m_begun = false;
  bool m_whole = false;
  bool m_resumable = true;
  bool m_raw = false; // an event was too long: bytes are passed on as they come
};

} // namespace siskindeal
