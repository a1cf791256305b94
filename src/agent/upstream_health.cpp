#include "upstream_health_p.h"

#include <utility>

namespace siskindeal {

bool
UpstreamHealth::TryBeginPoll()
{
  return !std::exchange(m_polling, true);
}

bool
UpstreamHealth::OnPolled(const HttpReply& aReply)
{
  m_polling = false;
  const bool wasUp = m_up;
  if (aReply.m_outcome == HttpOutcome::Answered) {
    m_up = true;
    m_unansweredPolls = 0;
  } else if (aReply.m_fault != HttpFault::TimedOut ||
             ++m_unansweredPolls >= kMaxUnansweredPolls) {
    m_up = false;
  }
  return m_up != wasUp;
}

} // namespace siskindeal
