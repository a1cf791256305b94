#pragma once
// What of the suspicions outlasts the gateways: an object in the platform's
// store that a gateway reads when it starts. Does no I/O.

#include "datagram.pb.h"
#include "siskindeal/clock.h"
#include "siskindeal/rpc.h"

#include <chrono>
#include <string>
#include <vector>

namespace siskindeal {

// Hashes of parts of prompts and of requests, with the crashes that they are
// blamed for.
struct SuspicionRecord
{
  std::vector<v1::PartSuspicion> m_parts;
  std::vector<wire::Suspicion> m_requests;

  bool IsEmpty() const { return m_parts.empty() && m_requests.empty(); }
};

// Crashes older than this are not kept. A part or request that still crashes
// runners is then found again.
inline constexpr std::chrono::hours kMaxRecordAge{ 1 };
inline constexpr std::size_t kMaxRecordedParts = 32;
inline constexpr std::size_t kMaxRecordedRequests = 32;

// Encodes a record as JSON. aWrittenAt lets readers age the crashes; their
// clocks may differ by seconds.
std::string
EncodeSuspicionRecord(const SuspicionRecord& aRecord, WallTime aWrittenAt);

// Decodes what another process wrote, perhaps another release. Entries that
// can't be read are left out; aRejected gets the reasons.
SuspicionRecord
DecodeSuspicionRecord(const std::string& aText,
                      WallTime aNow,
                      std::vector<std::string>& aRejected);

// Equal for records that hold the same crashes, whatever their ages and order.
std::string
ContentOf(const SuspicionRecord& aRecord);

} // namespace siskindeal
