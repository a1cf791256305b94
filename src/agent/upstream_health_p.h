#pragma once
// Decides from the polls of an upstream whether requests may be sent to it.

#include "siskindeal/http.h"

namespace siskindeal {

// An upstream that refuses or drops connections is down at once. One that only
// does not respond in time may be paused and continue, so it is down after
// several unanswered polls in a row. There is one poll at a time: a pause of
// this process can expire only the poll in flight.
class UpstreamHealth
{
public:
  // A paused upstream may continue after a second or two; a poll lasts 1 s.
  static constexpr int kMaxUnansweredPolls = 3;

  // Returns false while a poll is in flight.
  bool TryBeginPoll();

  // Ends the poll in flight. Returns whether IsUp has changed.
  bool OnPolled(const HttpReply& aReply);

  // False until the first response.
  bool IsUp() const { return m_up; }

private:
  bool m_polling = false;
  bool m_up = false;
  int m_unansweredPolls = 0;
};

} // namespace siskindeal
