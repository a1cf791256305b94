#pragma once
// The exception that carries a machine-readable reason and a verdict.

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

// The name used in answers and logs, for example "rate_limited".
std::string_view
ToString(Reason aReason);

// The HTTP status that a refusal with this reason is sent with.
int
HttpStatus(Reason aReason);

// A failure that a caller can act on. RetryAfter is zero where retrying later
// makes no difference.
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
