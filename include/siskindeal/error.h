#pragma once
// Exception with a machine-readable reason and a verdict.

#include "siskindeal/verdict.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace siskindeal {

// Why a request, an order or a command was refused or failed.
enum class Reason
{
  BadRequest,
  TooLarge,
  Unauthenticated,
  NotFound,
  Conflict,
  RateLimited,
  Overloaded,
  Draining,
  NoReplica,
  Quarantined,
  KeyRequired,
  ClaimUnavailable,
  Duplicate,
  StaleFencingToken,
  DigestMismatch,
  Timeout,
  Cancelled,
  Unavailable,
  UpstreamFailed,
  TruncatedAnswer,
  Internal,
};

// Returns the name used in responses and logs, for example "rate_limited".
std::string_view
ToString(Reason aReason);

// Returns the HTTP status of a response that refuses with this reason.
int
HttpStatus(Reason aReason);

// A failure reported to a caller. RetryAfter is zero if a later retry would not
// help.
class Error : public std::runtime_error
{
public:
  Error(Reason aReason,
        Verdict aVerdict,
        const std::string& aWhat,
        std::chrono::milliseconds aRetryAfter = std::chrono::milliseconds{ 0 })
    : std::runtime_error(aWhat)
    , m_reason(aReason)
    , m_verdict(aVerdict)
    , m_retryAfter(aRetryAfter)
  {
  }

  Reason GetReason() const { return m_reason; }
  Verdict GetVerdict() const { return m_verdict; }
  std::chrono::milliseconds RetryAfter() const { return m_retryAfter; }

private:
  Reason m_reason;
  Verdict m_verdict;
  std::chrono::milliseconds m_retryAfter;
};

} // namespace siskindeal
