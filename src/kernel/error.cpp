#include "siskindeal/error.h"

#include <array>

namespace siskindeal {

namespace {

struct ReasonEntry
{
  Reason m_reason;
  std::string_view m_name;
  int m_status;
};

constexpr std::array kReasons = {
  ReasonEntry{ Reason::BadRequest, "bad_request", 400 },
  ReasonEntry{ Reason::TooLarge, "too_large", 413 },
  ReasonEntry{ Reason::Unauthenticated, "unauthenticated", 401 },
  ReasonEntry{ Reason::NotFound, "not_found", 404 },
  ReasonEntry{ Reason::Conflict, "conflict", 409 },
  ReasonEntry{ Reason::RateLimited, "rate_limited", 429 },
  ReasonEntry{ Reason::Overloaded, "overloaded", 503 },
  ReasonEntry{ Reason::Draining, "draining", 503 },
  ReasonEntry{ Reason::NoReplica, "no_replica", 503 },
  ReasonEntry{ Reason::Quarantined, "quarantined", 422 },
  ReasonEntry{ Reason::KeyRequired, "key_required", 400 },
  ReasonEntry{ Reason::ClaimUnavailable, "claim_unavailable", 503 },
  ReasonEntry{ Reason::Duplicate, "duplicate", 409 },
  ReasonEntry{ Reason::StaleFencingToken, "stale_fencing_token", 409 },
  ReasonEntry{ Reason::DigestMismatch, "digest_mismatch", 409 },
  ReasonEntry{ Reason::Timeout, "timeout", 504 },
  ReasonEntry{ Reason::Cancelled, "cancelled", 499 },
  ReasonEntry{ Reason::Unavailable, "unavailable", 503 },
  ReasonEntry{ Reason::UpstreamFailed, "upstream_failed", 502 },
  ReasonEntry{ Reason::TruncatedAnswer, "truncated_answer", 502 },
  ReasonEntry{ Reason::Internal, "internal", 500 },
};

const ReasonEntry&
FindReason(Reason aReason)
{
  for (const auto& entry : kReasons) {
    if (entry.m_reason == aReason) {
      return entry;
    }
  }
  return kReasons.back();
}

} // namespace

std::string_view
ToString(Reason aReason)
{
  return FindReason(aReason).m_name;
}

int
HttpStatus(Reason aReason)
{
  return FindReason(aReason).m_status;
}

} // namespace siskindeal
