#pragma once
// Cuts the body of a stream into whole events, so that a stream that breaks off
// inside one can be gone on with after the last whole one. Pure.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

struct StreamEvent
{
  std::string m_bytes; // with the empty line that ends it
  std::optional<std::uint64_t> m_id;
};

class EventSplitter
{
public:
  // The events that are whole with aBytes.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  // Bytes of an event that isn't whole yet.
  std::size_t Pending() const { return m_pending.size(); }

private:
  std::string m_pending;
};

} // namespace siskindeal
