#pragma once
// Maps HTTP replies of the platform to outcomes and results.

#include "siskindeal/http.h"
#include "siskindeal/platform.h"

#include <chrono>

namespace siskindeal {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusServerError = 500;
inline constexpr int kStatusUnavailable = 503;

// Whether the platform rejected the call without effect: rate limit or outage.
bool
IsRejection(const HttpReply& aReply);

// Whether the reply states the result of the call, success or not.
bool
IsDefinitive(const HttpReply& aReply);

// The delay requested by the platform before the next call; 0 if none.
std::chrono::milliseconds
RetryAfter(const HttpReply& aReply);

PlatformReply
ReplyWithOutcome(PlatformOutcome aOutcome,
                 std::chrono::milliseconds aRetryAfter = {});

PlatformReply
ReplyWithObject(PlatformOutcome aOutcome, PlatformObject aObject);

// Parse the reply to a call. A malformed reply is treated like a missing one.
PlatformReply
ParseGetReply(const HttpReply& aReply);

PlatformChanges
ParseChangesReply(const HttpReply& aReply);

VmList
ParseVmsReply(const HttpReply& aReply);

} // namespace siskindeal
