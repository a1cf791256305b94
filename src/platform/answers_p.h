#pragma once
// What the platform's HTTP answers mean.

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

// Whether the platform answered that it did nothing, for rate or outage.
bool
IsRefusal(const HttpReply& aReply);

// Whether the platform answered about the object.
bool
IsAnswer(const HttpReply& aReply);

// When the platform asks to be called again; 0 where it doesn't say.
std::chrono::milliseconds
RetryAfter(const HttpReply& aReply);

PlatformReply
Outcome(PlatformOutcome aOutcome, std::chrono::milliseconds aRetryAfter = {});

PlatformReply
WithObject(PlatformOutcome aOutcome, PlatformObject aObject);

// Read the answers of the calls; one that can't be parsed counts as none.
PlatformReply
ReadGet(const HttpReply& aReply);

PlatformChanges
ReadChanges(const HttpReply& aReply);

VmList
ReadVms(const HttpReply& aReply);

} // namespace siskindeal
