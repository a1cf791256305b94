// Estimates what a request costs, applies admission by priority, and tracks the
// work that is left at its runner.

#include "dispatch/engine_model_p.h"
#include "gateway/caller_exchange_p.h"
#include "siskindeal/metrics.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Ms = std::chrono::duration<double, std::milli>;

constexpr milliseconds kRetryAfterJitter{ 600 };
constexpr double kMaxRetryAfterShare = 0.3; // of the caller's time
constexpr milliseconds kMinRetryAfter{ 200 };

milliseconds
UnixTime()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

int
CallerExchange::Priority() const
{
  return m_team != nullptr && m_team->m_priority ? *m_team->m_priority
                                                 : m_route->m_priority;
}

int
CallerExchange::PriorityNumber() const
{
  constexpr int kMaxPriority = 9;
  // Resumed and retried requests precede new ones of the same priority.
  const int rank = std::clamp(Priority(), 0, kMaxPriority / 2) * 2 + 1;
  return m_shape.m_isCallerRetry || m_shape.m_alreadyStarted ? rank - 1 : rank;
}

void
CallerExchange::ReadCost()
{
  m_shape.m_learnsCosts = m_gateway.LearnsCosts(m_service);
  if (!m_shape.m_learnsCosts) {
    return;
  }
  m_shape.m_level = PriorityLevel(Priority());
  m_shape.m_isMostUrgent = m_routes->IsPrioritized(m_service) &&
                           Priority() <= m_routes->MostUrgent(m_service);
  m_shape.m_targetGap = m_route->m_targetGap;
  const HttpFields& fields = m_request.m_fields;
  const std::string* tokens = fields.Find(dialect::kTokens);
  const auto usage =
    tokens == nullptr ? std::nullopt : dialect::DecodeTokens(*tokens);
  const std::string* hint = fields.Find(dialect::kLengthHint);
  double estimate = 0;
  if (hint == nullptr || !absl::SimpleAtod(*hint, &estimate) ||
      !std::isfinite(estimate) || estimate < 0) {
    estimate = 0;
  }
  if (usage && usage->m_maxAnswer > 0) {
    const double limit = usage->m_maxAnswer;
    estimate = estimate > 0 ? std::min(estimate, limit) : limit;
  }
  m_answerEstimate = estimate;
  m_shape.m_answerTokens =
    m_gateway.Lengths().Expected(m_route->m_name, estimate);
}

std::optional<PlacementRefusal>
CallerExchange::CheckPriority()
{
  const auto& engine = m_routes->Service(m_service).m_engine;
  if (m_priorityChecked || m_shape.m_alreadyStarted || !engine ||
      !m_routes->IsPrioritized(m_service)) {
    return std::nullopt;
  }
  m_priorityChecked = true;
  const AdmissionDecision decision =
    m_gateway.Admission().Decide({ m_service,
                                   m_shape.m_level,
                                   WorkMs(m_shape, *engine),
                                   m_shape.m_isCallerRetry,
                                   m_traits.m_fingerprint },
                                 LoopNow(),
                                 UnixTime());
  CountMetric("siskindeal_gateway_admissions_total",
              { { "level", std::to_string(m_shape.m_level) },
                { "returned", m_shape.m_isCallerRetry ? "yes" : "no" },
                { "admitted", decision.m_isAdmitted ? "yes" : "no" } });
  if (decision.m_isAdmitted) {
    // Only while its level is limited. Otherwise it gets spare capacity: it is
    // late in most cases, and would make new requests late too.
    m_shape.m_replacesNew = m_shape.m_isCallerRetry && decision.m_share < 1;
    return std::nullopt;
  }
  const auto& service = m_gateway.Admission().Services().at(m_service);
  m_gateway.LogRequest(
    LogLevel::Info,
    "request refused by priority",
    { { "id", m_id },
      { "service", m_service },
      { "level", m_shape.m_level },
      { "returned", m_shape.m_isCallerRetry },
      { "share", decision.m_share },
      { "level_demand", service.m_demand[m_shape.m_level].m_offered },
      { "capacity", service.m_capacity },
      { "known_for_ms",
        std::chrono::duration_cast<milliseconds>(LoopNow() -
                                                 service.m_updatedAt)
          .count() } });
  const milliseconds jitter(m_gateway.Rng().Below(kRetryAfterJitter.count()));
  const auto longest = std::chrono::duration_cast<milliseconds>(
    TimeLeft(LoopNow()) * kMaxRetryAfterShare);
  return PlacementRefusal{
    "capacity is reserved for more urgent requests",
    std::max(kMinRetryAfter, std::min(decision.m_retryAfter + jitter, longest))
  };
}

void
CallerExchange::CountLoad(RunnerAttempt& aAttempt, RunnerState& aRunner) const
{
  const auto& engine = m_routes->Service(m_service).m_engine;
  if (!m_shape.m_learnsCosts || !engine) {
    return;
  }
  const double tokens = m_shape.m_answerTokens > 0
                          ? m_shape.m_answerTokens
                          : engine->m_typicalAnswerTokens;
  aAttempt.m_answerLeft = static_cast<std::uint32_t>(std::lround(tokens));
  aRunner.m_ownLoad.m_answerTokens += aAttempt.m_answerLeft;
  ++aRunner.m_ownLoad.m_byLevel.at(m_shape.m_level);
  aAttempt.m_levelCounted = true;
}

void
CallerExchange::ReleaseLoad(RunnerAttempt& aAttempt, RunnerState& aRunner) const
{
  RunnerLoad& load = aRunner.m_ownLoad;
  load.m_answerTokens -= std::min(load.m_answerTokens, aAttempt.m_answerLeft);
  aAttempt.m_answerLeft = 0;
  std::uint32_t& requests = load.m_byLevel.at(m_shape.m_level);
  if (aAttempt.m_levelCounted && requests > 0) {
    --requests;
  }
  aAttempt.m_levelCounted = false;
}

void
CallerExchange::RecordEventCost(RunnerAttempt& aAttempt,
                                RunnerState& aRunner) const
{
  const auto& engine = m_routes->Service(m_service).m_engine;
  if (!m_shape.m_learnsCosts || !engine) {
    return;
  }
  const std::uint32_t generated =
    std::min(aAttempt.m_answerLeft, engine->m_stepsPerPass);
  aAttempt.m_answerLeft -= generated;
  aRunner.m_ownLoad.m_answerTokens -=
    std::min(aRunner.m_ownLoad.m_answerTokens, generated);
  const MonotonicTime now = LoopNow();
  const auto previous = std::exchange(aAttempt.m_lastEventAt, now);
  const double requests = std::min<double>(aRunner.Requests(), engine->m_slots);
  const double usual =
    engine->m_stepsPerPass *
    (engine->m_stepMs + engine->m_stepMsPerRequest * requests);
  if (previous && !aAttempt.m_isPaused && usual > 0) {
    aRunner.m_pace.RecordEventGap(Ms(now - *previous).count() / usual, now);
  }
}

void
CallerExchange::RecordAnswerCost(const RunnerAttempt& aAttempt) const
{
  const auto& engine = m_routes->Service(m_service).m_engine;
  const bool isComplete = m_sends == 1 && !m_shape.m_alreadyStarted;
  if (!m_shape.m_learnsCosts || !engine || !isComplete) {
    return;
  }
  const double tokens =
    static_cast<double>(m_eventCount) * engine->m_stepsPerPass;
  m_gateway.Lengths().Record(m_route->m_name, m_answerEstimate, tokens);
  if (aAttempt.m_firstByteAt) {
    const std::chrono::duration<double> error =
      LoopNow() - *aAttempt.m_firstByteAt - aAttempt.m_predictedGeneration;
    ObserveSeconds("siskindeal_gateway_generation_error_seconds",
                   std::abs(error.count()),
                   { { "side", error.count() < 0 ? "early" : "late" } });
  }
}

} // namespace siskindeal
