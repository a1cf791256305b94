#pragma once
// What placement and admission know of a request.

#include "dispatch/home_regions_p.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// A newer version of weights that requests must run on once m_dueIn has passed.
struct UpcomingVersion
{
  std::uint64_t m_version = 0;
  std::chrono::milliseconds m_dueIn{ 0 };
};

// The properties of a request that placement depends on.
struct RequestShape
{
  std::string m_service;
  std::string m_model; // empty: none
  std::uint32_t m_promptTokens = 0;
  std::chrono::milliseconds m_target{ 0 };   // to the first byte
  std::chrono::milliseconds m_timeLeft{ 0 }; // until the caller's deadline
  bool m_isCallerRetry = false;              // retried by the caller
  bool m_alreadyStarted = false;             // resumed or sent before
  std::optional<std::uint64_t> m_minVersion; // of the weights; unset: any
  // A request that may still wait when one of them becomes due is not sent to
  // older weights.
  std::vector<UpcomingVersion> m_upcoming;
  HomeRegions m_homes; // the regions whose runners may serve it
  // Of a service whose costs are learned: the tokens that are expected of the
  // answer (0: the service's typical number), the level of priority, and
  // whether a retry by the caller may take the place of a new request.
  bool m_learnsCosts = false;
  double m_answerTokens = 0;
  std::size_t m_level = 0;
  bool m_replacesNew = false;
  bool m_isMostUrgent = false;                // of a service with priorities
  std::chrono::milliseconds m_targetGap{ 0 }; // between events; 0: none
};

} // namespace siskindeal
