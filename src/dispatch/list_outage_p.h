#pragma once
// Tells an outage of the platform's list of runners from a gap of this process.
// Runners may expire from the list during an outage; during a pause, while its
// source changes, or while the store turns some gateways away, only this
// process missed what changed. Does no I/O; the caller passes the time. Times
// are boot times, which keep counting while the machine is suspended.

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace siskindeal {

class ListOutage
{
public:
  // Records that the process runs; called periodically.
  void RecordAlive(std::chrono::milliseconds aNow)
  {
    if (m_aliveAt && aNow - *m_aliveAt > kMaxPause) {
      m_pauses.push_back({ *m_aliveAt, aNow });
    }
    m_aliveAt = aNow;
  }

  // Records that all changes up to aKnownUntil are known. Returns true if there
  // was an outage before it. aSourceWithoutGapSince: WithoutGapSince of the
  // gateway that it is known from, by the boot time of this one.
  bool RecordKnown(
    std::chrono::milliseconds aKnownUntil,
    std::chrono::milliseconds aNow,
    std::optional<std::chrono::milliseconds> aSourceWithoutGapSince = {})
  {
    RecordAlive(aNow); // nothing else may have run since a pause
    const bool isFirst = !m_knownUntil;
    const std::chrono::milliseconds before = m_knownUntil.value_or(aKnownUntil);
    m_knownUntil = std::max(before, aKnownUntil);
    std::chrono::milliseconds paused{ 0 };
    for (const Span& pause : m_pauses) {
      paused += std::max(std::chrono::milliseconds(0),
                         std::min(pause.m_to, *m_knownUntil) -
                           std::max(pause.m_from, before));
    }
    std::erase_if(m_pauses, [&](const Span& aPause) {
      return aPause.m_to <= *m_knownUntil;
    });
    const Span gap{ before, *m_knownUntil };
    // If another gateway was told of all changes meanwhile, the list was there.
    if (aSourceWithoutGapSince && *aSourceWithoutGapSince <= before) {
      m_withoutGapSince = isFirst ? *aSourceWithoutGapSince : m_withoutGapSince;
      return false;
    }
    if (!isFirst && OthersKnew(gap)) {
      return false;
    }
    if (isFirst || gap.Duration() > kMinOutage) {
      m_withoutGapSince = aSourceWithoutGapSince.value_or(*m_knownUntil);
    }
    if (gap.Duration() - paused <= kMinOutage) {
      return false;
    }
    m_assumedOutage = gap;
    return true;
  }

  // Records that other gateways knew all changes soon from aFrom to aTo.
  // Returns true if the last outage that was assumed wasn't one.
  bool RecordOthersKnown(std::chrono::milliseconds aFrom,
                         std::chrono::milliseconds aTo)
  {
    const Span known{ aFrom, std::max(aFrom, aTo) };
    if (!m_othersKnown || m_othersKnown->m_to < known.m_from) {
      m_othersKnown = known;
    } else if (m_othersKnown->m_from <= known.m_to) {
      m_othersKnown->m_from = std::min(m_othersKnown->m_from, known.m_from);
      m_othersKnown->m_to = std::max(m_othersKnown->m_to, known.m_to);
    }
    if (!m_assumedOutage || !OthersKnew(*m_assumedOutage)) {
      return false;
    }
    m_withoutGapSince = std::min(m_withoutGapSince, m_othersKnown->m_from);
    m_assumedOutage.reset();
    return true;
  }

  // How long the last outage was that was assumed and not ruled out; else zero.
  std::chrono::milliseconds AssumedOutage() const
  {
    return m_assumedOutage.value_or(Span{}).Duration();
  }

  // Since when all changes were known soon, by this process or by those that
  // told it. Meaningful once something is known.
  std::chrono::milliseconds WithoutGapSince() const
  {
    return m_withoutGapSince;
  }

private:
  struct Span
  {
    std::chrono::milliseconds m_from{ 0 };
    std::chrono::milliseconds m_to{ 0 };

    std::chrono::milliseconds Duration() const { return m_to - m_from; }
  };

  // Whether other gateways knew of all changes in a gap of this one. What was
  // last heard of them may be a little older than its end.
  bool OthersKnew(const Span& aGap) const
  {
    return m_othersKnown && m_othersKnown->m_from <= aGap.m_from &&
           aGap.m_to - m_othersKnown->m_to <= kMinOutage;
  }

  // Runners expire from the list after three heartbeats of 1.2 s, so in an
  // outage of the store that is shorter none does.
  static constexpr std::chrono::milliseconds kMinOutage{ 2000 };
  static constexpr std::chrono::milliseconds kMaxPause{ 300 };

  std::optional<std::chrono::milliseconds> m_knownUntil;
  std::chrono::milliseconds m_withoutGapSince{ 0 };
  std::optional<std::chrono::milliseconds> m_aliveAt;
  std::vector<Span> m_pauses;          // that ended after m_knownUntil
  std::optional<Span> m_othersKnown;   // the last one without a gap
  std::optional<Span> m_assumedOutage; // the last one
};

} // namespace siskindeal
