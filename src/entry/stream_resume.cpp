#include "stream_resume_p.h"

#include "siskindeal/invariant.h"

#include <utility>

namespace siskindeal {

namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::string_view kErrorEvent = "event: error";

// Returns the size of the first event including its empty line, or nullopt if
// the event is incomplete. The search starts at aFrom.
std::optional<std::size_t>
FindEventEnd(std::string_view aBytes, std::size_t aFrom)
{
  for (auto line = aBytes.find('\n', aFrom); line != std::string_view::npos;
       line = aBytes.find('\n', line + 1)) {
    auto next = line + 1;
    if (next < aBytes.size() && aBytes[next] == '\r') {
      ++next;
    }
    if (next < aBytes.size() && aBytes[next] == '\n') {
      return next + 1;
    }
  }
  return std::nullopt;
}

} // namespace

bool
StreamResume::BeginAttempt(const std::string& aDigest,
                           std::optional<std::uint64_t> aResumedFrom)
{
  if (m_begun && aDigest != m_digest) {
    return false;
  }
  m_digest = aDigest;
  m_attemptAccepted = aResumedFrom.value_or(0) == m_eventCount;
  return m_attemptAccepted;
}

void
StreamResume::CountEvent(std::string_view aEvent)
{
  bool hasData = false;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
    if (line.starts_with(kErrorEvent)) {
      m_resumable = false;
    }
    if (!line.starts_with(kDataField)) {
      continue;
    }
    line.remove_prefix(kDataField.size());
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    if (line.starts_with(kEndMarker)) {
      m_complete = true;
      return;
    }
    hasData = true;
  }
  m_eventCount += hasData ? 1 : 0;
}

std::string
StreamResume::ProcessBytes(std::string_view aBytes)
{
  SISKINDEAL_INVARIANT(m_attemptAccepted,
                       "a stream is resumed only at its end");
  if (m_complete) {
    return {};
  }
  m_partial.append(aBytes);
  std::size_t taken = 0;
  while (!m_passThrough && !m_complete) {
    const auto rest = std::string_view(m_partial).substr(taken);
    const auto end = FindEventEnd(rest, taken == 0 ? m_scanned : 0);
    if (!end) {
      break;
    }
    CountEvent(rest.substr(0, *end));
    taken += *end;
  }
  if (!m_passThrough && m_partial.size() - taken > kMaxEventBytes) {
    m_passThrough = true;
    m_resumable = false;
  }
  if (m_passThrough) {
    taken = m_partial.size();
  }
  auto events = m_partial.substr(0, taken);
  m_partial.erase(0, m_complete ? m_partial.size() : taken);
  // The last two bytes may be the start of an event end.
  m_scanned = m_partial.size() < 2 ? 0 : m_partial.size() - 2;
  m_begun = m_begun || !events.empty();
  return events;
}

std::string
StreamResume::Flush()
{
  m_scanned = 0;
  m_begun = m_begun || !m_partial.empty();
  return std::exchange(m_partial, {});
}

void
StreamResume::AbortAttempt()
{
  m_partial.clear();
  m_scanned = 0;
  m_attemptAccepted = false;
  m_interruptions += m_begun ? 1 : 0;
}

bool
StreamResume::MayResume(Reason aReason) const
{
  switch (aReason) {
    case Reason::Unavailable:
    case Reason::UpstreamFailed:
    case Reason::TruncatedAnswer:
    case Reason::Overloaded:
    case Reason::Draining:
    case Reason::DigestMismatch:
      return m_resumable && !m_complete && m_interruptions <= kMaxInterruptions;
    default:
      return false;
  }
}

} // namespace siskindeal
