#include "gateway/event_splitter_p.h"

#include <charconv>

namespace siskindeal {

namespace {

// The value of the event's "id" line.
std::optional<std::uint64_t>
IdOf(std::string_view aEvent)
{
  constexpr std::string_view kName = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    if (line.substr(0, kName.size()) == kName) {
      line.remove_prefix(kName.size());
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

// Where the first event ends; npos while none is whole.
std::size_t
EndOfEvent(std::string_view aBytes)
{
  const auto plain = aBytes.find("\n\n");
  const auto withReturns = aBytes.find("\r\n\r\n");
  if (plain == std::string_view::npos &&
      withReturns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < withReturns ? plain + 2 : withReturns + 4;
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
    events.push_back({ std::string(event), IdOf(event) });
    rest.remove_prefix(end);
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  return events;
}

} // namespace siskindeal
