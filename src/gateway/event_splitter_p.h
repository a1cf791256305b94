#pragma once
// Splits an event stream into complete events, so that an interrupted stream
// can be resumed after the last complete one. Does no I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

struct StreamEvent
{
  std::string m_bytes; // including the empty line at its end
  std::optional<std::uint64_t> m_id;
  bool m_isWellFormed = true; // all lines are fields or comments
  bool m_hasFields = false;   // not only comments
};

class EventSplitter
{
public:
  // Appends aBytes and returns the events that are now complete. Comments that
  // follow each other are one event.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  // Number of bytes buffered for an incomplete event.
  std::size_t PendingBytes() const { return m_pending.size(); }

private:
  static void Add(std::string_view aBytes, std::vector<StreamEvent>& aEvents);

  std::string m_pending;
};

} // namespace siskindeal
