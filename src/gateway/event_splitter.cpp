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

// End of the first complete event; npos if there is none.
std::size_t
EndOfEvent(std::string_view aBytes)
{
  const auto lf = aBytes.find("\n\n");
  const auto crlf = aBytes.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 4;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::Feed(std::string_view aBytes)
{
  m_pending += aBytes;
  std::vector<StreamEvent> events;
  std::string_view rest = m_pending;
  for (;;) {
    const auto end = EndOfEvent(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view event = rest.substr(0, end);
    events.push_back({ std::string(event), EventId(event) });
    CheckLines(events.back());
    rest.remove_prefix(end);
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  return events;
}

} // namespace siskindeal
