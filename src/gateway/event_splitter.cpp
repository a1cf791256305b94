#include "gateway/event_splitter_p.h"

#include <algorithm>
#include <charconv>

namespace siskindeal {

namespace {

// Whether a line is a field with a lower-case name. Heads of HTTP messages and
// JSON aren't.
bool
IsField(std::string_view aLine)
{
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char aByte) {
    return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9') ||
           aByte == '-' || aByte == '_';
  });
}

void
CheckLines(StreamEvent& aEvent)
{
  std::string_view rest = aEvent.m_bytes;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.empty() || line.front() == ':') {
      continue;
    }
    aEvent.m_hasFields = true;
    aEvent.m_isWellFormed = aEvent.m_isWellFormed && IsField(line);
  }
}

// The value of the event's "id" line.
std::optional<std::uint64_t>
EventId(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto [rest, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
      return error == std::errc{} ? std::optional(id) : std::nullopt;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return std::nullopt;
}

// The end of an event whose last line breaks at aLineFeed, if it ends there: by
// "\n\n" or "\r\n\r\n".
std::optional<std::size_t>
EndOfEvent(std::string_view aBytes, std::size_t aLineFeed)
{
  if (aBytes.substr(aLineFeed, 2) == "\n\n") {
    return aLineFeed + 2;
  }
  if (aLineFeed > 0 && aBytes.substr(aLineFeed - 1, 4) == "\r\n\r\n") {
    return aLineFeed + 3;
  }
  return std::nullopt;
}

// Whether an event consists of comments and empty lines.
bool
HasOnlyComments(const StreamEvent& aEvent)
{
  return aEvent.m_isWellFormed && !aEvent.m_hasFields;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::Feed(std::string_view aBytes)
{
  // The last bytes may begin an event's end that was incomplete.
  constexpr std::size_t kEndBytes = 3;
  std::size_t next = m_pending.size() - std::min(m_pending.size(), kEndBytes);
  m_pending += aBytes;
  const std::string_view bytes = m_pending;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  while ((next = bytes.find('\n', next)) != std::string_view::npos) {
    const auto end = EndOfEvent(bytes, next);
    if (!end) {
      ++next;
      continue;
    }
    Add(bytes.substr(begin, *end - begin), events);
    begin = next = *end;
  }
  m_pending.erase(0, begin);
  return events;
}

void
EventSplitter::Add(std::string_view aBytes, std::vector<StreamEvent>& aEvents)
{
  StreamEvent event{ std::string(aBytes), EventId(aBytes) };
  CheckLines(event);
  // Comments in a row are one event, since a peer may send them without end.
  if (!aEvents.empty() && HasOnlyComments(event) &&
      HasOnlyComments(aEvents.back())) {
    aEvents.back().m_bytes += event.m_bytes;
    return;
  }
  aEvents.push_back(std::move(event));
}

} // namespace siskindeal
