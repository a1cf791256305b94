#include "gateway/caller_exchange_p.h"

#include "siskindeal/metrics.h"
#include "siskindeal/overloaded.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoDeadline{ 30000 }; // callers that state none
constexpr milliseconds kShortRetry{ 300 };   // until a lost dependency is back
constexpr std::uint32_t kMostSends = 5;
// A caller whose stated time is shorter than its first try's was refused
// before.
constexpr double kFirstTryShare = 0.9;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

const std::string&
ChooseService(const Route& aRoute, Random& aRandom)
{
  double total = 0;
  for (const RouteShare& share : aRoute.m_shares) {
    total += share.m_weight;
  }
  double at = aRandom.Unit() * total;
  for (const RouteShare& share : aRoute.m_shares) {
    at -= share.m_weight;
    if (at < 0) {
      return share.m_service;
    }
  }
  return aRoute.m_shares.back().m_service;
}

// Headers of a caller that aren't passed on: the key, and what is set anew.
bool
IsSetAnew(std::string_view aName)
{
  for (const std::string_view name : { std::string_view("authorization"),
                                       dialect::kTeam,
                                       dialect::kDeadlineMs,
                                       dialect::kExpectRunner,
                                       dialect::kExpectVersion,
                                       dialect::kPriority,
                                       dialect::kLastEventId }) {
    if (SameName(aName, name)) {
      return true;
    }
  }
  return false;
}

// The fields of a runner's answer that the caller gets.
HttpFields
PassedOn(const HttpFields& aFields)
{
  HttpFields passed;
  for (const auto& [name, value] : aFields.All()) {
    if (!IsOfOneConnection(name, aFields)) {
      passed.Add(name, value);
    }
  }
  return passed;
}

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

} // namespace

CallerExchange::CallerExchange(Gateway& aGateway,
                               std::shared_ptr<ServerConnection> aCaller)
  : m_gateway(aGateway)
  , m_caller(std::move(aCaller))
  , m_routes(aGateway.Routes())
{
}

void
CallerExchange::Start()
{
  m_request = m_caller->Request();
  m_caller->m_onGone = [self = shared_from_this()] { self->OnCallerGone(); };
  m_gateway.Add(shared_from_this());
  if (const std::string* id = m_request.m_fields.Find(dialect::kAttemptId)) {
    m_id = *id;
  }
  m_end = Now() + kNoDeadline;
  if (Admit()) {
    ReadHeaders();
    m_gateway.Retries().NoteRequest(m_service, Now());
    Dispatch();
  }
}

bool
CallerExchange::Admit()
{
  if (!m_routes) {
    Refuse(kUnavailable, "no configuration is known yet", kShortRetry);
    return false;
  }
  const std::string* host = m_request.m_fields.Find("host");
  m_route = m_routes->Find(*host, m_request.m_target);
  if (m_route == nullptr || m_route->m_shares.empty()) {
    // An old configuration can't tell that there is no such route.
    if (m_gateway.ConfigIsFresh()) {
      Refuse(404, "no route", milliseconds(0));
    } else {
      Refuse(kUnavailable, "the configuration may be old", kShortRetry);
    }
    return false;
  }
  return CheckKey(*m_routes);
}

bool
CallerExchange::CheckKey(const RouteIndex& aRoutes)
{
  if (aRoutes.Config().m_teams.empty() || m_route->m_anonymous) {
    return true;
  }
  if (!m_gateway.ConfigIsFresh()) {
    Refuse(kUnavailable, "the configuration may be old", kShortRetry);
    return false;
  }
  const std::string* field = m_request.m_fields.Find("authorization");
  if (field != nullptr && field->rfind(dialect::kKeyScheme, 0) == 0) {
    m_team = aRoutes.TeamOf(field->substr(dialect::kKeyScheme.size()));
  }
  if (m_team == nullptr) {
    Refuse(401, "unknown key", milliseconds(0));
    return false;
  }
  return true;
}

void
CallerExchange::ReadHeaders()
{
  const HttpFields& fields = m_request.m_fields;
  m_service = ChooseService(*m_route, m_gateway.Chance());
  milliseconds left = kNoDeadline;
  std::int64_t stated = 0;
  const std::string* deadline = fields.Find(dialect::kDeadlineMs);
  if (deadline != nullptr && absl::SimpleAtoi(*deadline, &stated)) {
    left = milliseconds(std::max<std::int64_t>(stated, 0));
  }
  if (m_route->m_timeout.count() > 0) {
    m_shape.m_cameBack =
      deadline != nullptr && left < m_route->m_timeout * kFirstTryShare;
    left = std::min(left, m_route->m_timeout);
  }
  m_end = m_request.m_arrived + left;
  m_shape.m_service = m_service;
  m_shape.m_target = m_route->m_targetLatency;
  if (const std::string* tokens = fields.Find(dialect::kTokens)) {
    if (const auto usage = dialect::DecodeTokens(*tokens)) {
      m_shape.m_promptTokens = usage->m_prompt;
    }
  }
  if (const std::string* model = fields.Find(dialect::kModel)) {
    m_shape.m_model = *model;
  }
  if (const std::string* last = fields.Find(dialect::kLastEventId)) {
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(*last, &id)) {
      m_lastEvent = id;
      m_shape.m_goesOn = true;
    }
  }
}

milliseconds
CallerExchange::TimeLeft(MonotonicTime aNow) const
{
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(m_end - aNow));
}

Decision
CallerExchange::Decide()
{
  const MonotonicTime now = Now();
  m_shape.m_timeLeft = TimeLeft(now);
  m_gateway.SetVersions(m_shape);
  if (m_sends > 0 || m_phase == Phase::Streaming) {
    m_shape.m_goesOn = true;
  }
  return m_gateway.Placing().Place(
    m_shape, m_routes->Service(m_service), m_gateway.Runners(), m_tried, now);
}

void
CallerExchange::Dispatch()
{
  std::visit(Overloaded{ [&](const Placement& aPlacement) {
                          SendTo(*m_gateway.Runners().Find(aPlacement.m_runner),
                                 aPlacement);
                        },
                         [&](const PlaceRefusal& aRefusal) {
                           m_predicted = aRefusal.m_predicted;
                           if (m_haveAnswer) {
                             Deliver();
                           } else if (m_mayHaveRun) {
                             Fail(m_lastReason);
                           } else {
                             Refuse(kUnavailable,
                                    aRefusal.m_reason,
                                    aRefusal.m_retryAfter);
                           }
                         } },
             Decide());
}

void
CallerExchange::SendTo(RunnerState& aRunner, const Placement& aPlacement)
{
  const MonotonicTime now = Now();
  constexpr milliseconds kConnectTime{ 400 };
  ++m_sends;
  m_runner = aRunner.m_record.m_id;
  m_address = aRunner.m_record.m_address;
  m_predicted = aPlacement.m_predicted;
  m_loadBefore = aPlacement.m_load;
  m_sentAt = m_progressAt = now;
  m_tried.insert(m_runner);
  m_answer = {};
  m_haveAnswer = false;
  m_body.clear();
  m_splitter = {};
  m_streamRun = false;
  ++aRunner.m_own.m_requests;
  aRunner.m_own.m_promptTokens += m_shape.m_promptTokens;
  m_promptCounted = true;
  OutgoingCall call;
  call.m_head = Head(aRunner);
  call.m_body = m_request.m_body;
  call.m_echoName = dialect::kAttemptId;
  call.m_echo = m_id;
  m_run = m_gateway.Pool()->Take(m_address);
  m_run->Begin(std::move(call),
               kConnectTime,
               [self = shared_from_this()](const CallEvent& aEvent) {
                 std::visit([&](const auto& aWhat) { self->On(aWhat); },
                            aEvent);
               });
}

int
CallerExchange::PriorityNumber() const
{
  constexpr int kLast = 9;
  const int own = m_team != nullptr && m_team->m_priority ? *m_team->m_priority
                                                          : m_route->m_priority;
  // Work that goes on, or comes again, is let in before new work of its rank.
  const int rank = std::clamp(own, 0, kLast / 2) * 2 + 1;
  return m_shape.m_cameBack || m_shape.m_goesOn ? rank - 1 : rank;
}

std::string
CallerExchange::Head(const RunnerState& aRunner) const
{
  std::string head;
  head.reserve(1024);
  head.append(m_request.m_method).append(" ").append(m_request.m_target);
  head += " HTTP/1.1\r\n";
  for (const auto& [name, value] : m_request.m_fields.All()) {
    if (!IsOfOneConnection(name, m_request.m_fields) && !IsSetAnew(name)) {
      AppendField(head, name, value);
    }
  }
  AppendField(
    head, dialect::kDeadlineMs, std::to_string(TimeLeft(Now()).count()));
  AppendField(head, dialect::kExpectRunner, aRunner.m_record.m_id);
  if (m_team != nullptr) {
    AppendField(head, dialect::kTeam, m_team->m_name);
  }
  if (m_lastEvent) {
    AppendField(head, dialect::kLastEventId, std::to_string(*m_lastEvent));
  }
  if (m_shape.m_leastVersion > 0) {
    // A runner refuses any other version than the one named here.
    const std::uint64_t held = aRunner.VersionOf(m_shape.m_model);
    AppendField(head, dialect::kExpectVersion, std::to_string(held));
  }
  if (m_routes->Service(m_service).m_engine) {
    AppendField(head, dialect::kPriority, std::to_string(PriorityNumber()));
  }
  const bool noBody = m_request.m_body.empty() && m_request.m_method == "GET";
  if (!noBody) {
    AppendField(
      head, "Content-Length", std::to_string(m_request.m_body.size()));
  }
  head += "\r\n";
  return head;
}

void
CallerExchange::GiveUpRunner(bool aFailed)
{
  RunnerState* runner = m_gateway.Runners().Find(m_runner);
  if (runner == nullptr) {
    return;
  }
  constexpr milliseconds kFirstAvoid{ 250 };
  constexpr std::uint32_t kMostDoublings = 4;
  if (runner->m_own.m_requests > 0) {
    --runner->m_own.m_requests;
  }
  if (m_promptCounted) {
    m_promptCounted = false;
    runner->m_own.m_promptTokens -=
      std::min(runner->m_own.m_promptTokens, m_shape.m_promptTokens);
  }
  if (!aFailed) {
    runner->m_failuresInRow = 0;
    return;
  }
  const std::uint32_t doublings =
    std::min(runner->m_failuresInRow++, kMostDoublings);
  runner->m_avoidUntil = Now() + kFirstAvoid * (1U << doublings);
}

void
CallerExchange::On(const AnswerHead& aHead)
{
  m_answer = aHead;
  m_progressAt = Now();
  NoteHead();
  const std::string* type = aHead.m_fields.Find("content-type");
  m_streamRun = m_route->m_repeat == Repeat::Streaming &&
                IsSuccess(aHead.m_status) && type != nullptr &&
                type->rfind("text/event-stream", 0) == 0;
}

void
CallerExchange::NoteHead()
{
  RunnerState* runner = m_gateway.Runners().Find(m_runner);
  if (runner == nullptr) {
    return;
  }
  if (const std::string* text = m_answer.m_fields.Find(dialect::kLoad)) {
    if (const auto load = dialect::DecodeLoad(*text)) {
      runner->m_toldRequests = load->m_running + load->m_waiting;
      runner->m_toldAt = Now();
    }
  }
  const std::string* version = m_answer.m_fields.Find(dialect::kVersions);
  std::uint64_t number = 0;
  if (version != nullptr && !m_shape.m_model.empty() &&
      absl::SimpleAtoi(*version, &number) && number > 0) {
    auto& held = runner->m_record.m_versions[m_shape.m_model];
    held = std::max(held, number);
  }
}

void
CallerExchange::On(const AnswerBody& aBody)
{
  m_progressAt = Now();
  if (!m_streamRun) {
    m_body += aBody.m_bytes;
    return;
  }
  const auto run = m_run;
  for (const StreamEvent& event : m_splitter.Feed(aBody.m_bytes)) {
    OnEvent(event);
    if (m_phase == Phase::Done || m_run != run) {
      return;
    }
  }
}

void
CallerExchange::OnEvent(const StreamEvent& aEvent)
{
  // A run that goes on may tell events again; each is passed on once.
  if (aEvent.m_id && m_lastEvent && *aEvent.m_id <= *m_lastEvent) {
    return;
  }
  if (aEvent.m_id && m_lastEvent && *aEvent.m_id != *m_lastEvent + 1) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "an event of the stream is missing");
    return;
  }
  if (m_promptCounted) {
    if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
      runner->m_own.m_promptTokens -=
        std::min(runner->m_own.m_promptTokens, m_shape.m_promptTokens);
    }
    m_promptCounted = false;
  }
  if (m_phase == Phase::Waiting) {
    StartStream();
  }
  if (m_phase != Phase::Streaming) {
    return;
  }
  const MonotonicTime now = Now();
  if (m_events++ == 0) {
    m_first = now - m_request.m_arrived;
  } else {
    m_worstGap = std::max(
      m_worstGap, std::chrono::duration<double, std::milli>(now - m_eventAt));
  }
  m_eventAt = now;
  if (aEvent.m_id) {
    m_lastEvent = aEvent.m_id;
  }
  m_caller->SendPart(aEvent.m_bytes);
  constexpr std::size_t kMostUnsent = 256 << 10;
  if (m_caller->Unsent() > kMostUnsent) {
    m_run->PauseReading(true);
    m_caller->m_onDrained = [self = shared_from_this()] {
      if (self->m_run) {
        self->m_run->PauseReading(false);
      }
    };
  }
}

void
CallerExchange::StartStream()
{
  if (m_answer.m_fields.Find(dialect::kSignature) == nullptr) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "the answer has no signature");
    return;
  }
  m_phase = Phase::Streaming;
  m_caller->SendHead(m_answer.m_status,
                     m_answer.m_reason,
                     PassedOn(m_answer.m_fields),
                     m_answer.m_length);
}

void
CallerExchange::On(const AnswerEnd&)
{
  m_gateway.Pool()->Give(m_address, m_run);
  if (m_streamRun) {
    OnStreamEnd();
  } else {
    OnWholeAnswer();
  }
}

void
CallerExchange::OnStreamEnd()
{
  if (m_splitter.Pending() > 0 || m_phase == Phase::Waiting) {
    OnBrokenRun(CallFailure::MayHaveRun, "the stream ended inside an event");
    return;
  }
  GiveUpRunner(false);
  m_caller->SendEnd();
  Finish("answered");
}

void
CallerExchange::OnWholeAnswer()
{
  const int status = m_answer.m_status;
  const bool notRun =
    status == 421 ||
    ((status == kUnavailable || status == 429 || status == 400) &&
     m_answer.m_fields.Find(dialect::kNotRun) != nullptr);
  if (notRun) {
    OnRefusedByRunner();
    return;
  }
  const bool isSigned = m_answer.m_fields.Find(dialect::kSignature) != nullptr;
  if (IsSuccess(status) && !isSigned) {
    OnBrokenRun(CallFailure::MayHaveRun, "the answer has no signature");
    return;
  }
  if (m_phase == Phase::Streaming) {
    OnBrokenRun(CallFailure::MayHaveRun,
                "going on with the stream was answered " +
                  std::to_string(status));
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
    constexpr double kNewShare = 0.1;
    const std::chrono::duration<double, std::milli> took = Now() - m_sentAt;
    runner->m_usualTime =
      runner->m_usualTime.count() == 0
        ? took
        : runner->m_usualTime * (1 - kNewShare) + took * kNewShare;
  }
  GiveUpRunner(false);
  m_mayHaveRun = true;
  ++m_runs;
  const bool failed = status / 100 == 5;
  if (failed && m_route->MayRepeat() && m_runs < m_route->m_maxAttempts &&
      m_gateway.Retries().TakeRetry(m_service, Now())) {
    m_lastReason = "answered " + std::to_string(status);
    m_haveAnswer = true;
    Dispatch();
    return;
  }
  // These statuses promise callers that nothing ran, which only this process
  // can say of the whole request.
  if (status == kUnavailable || status == 429 || status == 408) {
    Fail("answered " + std::to_string(status));
    return;
  }
  Deliver();
}

void
CallerExchange::OnRefusedByRunner()
{
  GiveUpRunner(false);
  m_lastReason =
    "refused by the runner with " + std::to_string(m_answer.m_status);
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
    constexpr milliseconds kAfterRefusal{ 150 };
    runner->m_avoidUntil =
      std::max(runner->m_avoidUntil, Now() + kAfterRefusal);
  }
  if (m_answer.m_status == 400) {
    Refuse(400, "refused by the runner", milliseconds(0));
    return;
  }
  if (m_sends < kMostSends && m_gateway.Retries().TakeRetry(m_service, Now())) {
    Dispatch();
    return;
  }
  if (m_mayHaveRun) {
    Fail(m_lastReason);
  } else {
    Refuse(kUnavailable, m_lastReason, kShortRetry);
  }
}

void
CallerExchange::On(const CallFailed& aFailure)
{
  OnBrokenRun(aFailure.m_how, aFailure.m_reason);
}

bool
CallerExchange::MayTryAgain(CallFailure aHow)
{
  if (m_sends >= kMostSends) {
    return false;
  }
  if (aHow == CallFailure::NotSent) {
    return true; // no runner saw it
  }
  const std::uint32_t mostRuns = m_phase == Phase::Streaming
                                   ? m_route->m_maxAttempts + 1
                                   : m_route->m_maxAttempts;
  return m_route->MayRepeat() && m_runs < mostRuns &&
         m_gateway.Retries().TakeRetry(m_service, Now());
}

void
CallerExchange::OnBrokenRun(CallFailure aHow, const std::string& aReason)
{
  GiveUpRunner(true);
  m_lastReason = aReason;
  if (aHow == CallFailure::MayHaveRun) {
    m_mayHaveRun = true;
    ++m_runs;
  }
  m_gateway.LogRequest(LogLevel::Info,
                       "run failed",
                       { { "id", m_id },
                         { "runner", m_runner },
                         { "reason", aReason },
                         { "may_have_run", aHow == CallFailure::MayHaveRun },
                         { "events", m_events } });
  if (MayTryAgain(aHow)) {
    Dispatch();
    return;
  }
  Fail(aReason);
}

void
CallerExchange::Deliver()
{
  m_caller->SendWhole(
    m_answer.m_status, m_answer.m_reason, PassedOn(m_answer.m_fields), m_body);
  Finish("answered");
}

void
CallerExchange::Refuse(int aStatus,
                       std::string_view aReason,
                       milliseconds aRetryAfter)
{
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  if (!m_id.empty()) {
    fields.Add(dialect::kAttemptId, m_id);
  }
  if (aRetryAfter.count() > 0) {
    fields.Add("Retry-After",
               absl::StrFormat(
                 "%.3f", std::chrono::duration<double>(aRetryAfter).count()));
  }
  m_lastReason = aReason;
  m_caller->SendWhole(aStatus, {}, fields, dialect::EncodeError(aReason));
  Finish("refused");
}

void
CallerExchange::Fail(std::string_view aReason)
{
  m_lastReason = aReason;
  if (m_phase == Phase::Streaming) {
    m_caller->BreakOff();
    Finish("broken off");
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(kUnavailable, aReason, kShortRetry);
    return;
  }
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  if (!m_id.empty()) {
    fields.Add(dialect::kAttemptId, m_id);
  }
  m_caller->SendWhole(kBadGateway, {}, fields, dialect::EncodeError(aReason));
  Finish("failed");
}

void
CallerExchange::OnTimeUp()
{
  if (m_run) {
    m_run->Abort();
    GiveUpRunner(false);
    m_mayHaveRun = true;
  }
  if (m_phase == Phase::Streaming || !m_mayHaveRun) {
    Fail("its time is up");
    return;
  }
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  if (!m_id.empty()) {
    fields.Add(dialect::kAttemptId, m_id);
  }
  m_lastReason = "its time is up";
  m_caller->SendWhole(
    kTimedOut, {}, fields, dialect::EncodeError(m_lastReason));
  Finish("timed out");
}

void
CallerExchange::Tick(MonotonicTime aNow)
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (aNow >= m_end) {
    OnTimeUp();
    return;
  }
  if (!m_run || !m_route->MayRepeat()) {
    return;
  }
  // A runner that says nothing for long is left for another one.
  constexpr milliseconds kLeastSilence{ 450 };
  constexpr int kTargets = 3;
  constexpr int kGaps = 4;
  const milliseconds silence =
    m_events > 0 && m_phase == Phase::Streaming
      ? std::max(kLeastSilence, m_route->m_targetGap * kGaps)
      : std::max({ kLeastSilence,
                   m_route->m_targetLatency * kTargets,
                   m_predicted * 2 + kLeastSilence });
  if (aNow - m_progressAt > silence && m_runs + 1 < m_route->m_maxAttempts &&
      std::holds_alternative<Placement>(Decide())) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "no answer in time");
  }
}

void
CallerExchange::OnCallerGone()
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (m_run) {
    m_run->Abort();
    GiveUpRunner(false);
  }
  Finish("caller left");
}

void
CallerExchange::Finish(std::string_view aOutcome)
{
  const auto self = shared_from_this();
  const std::chrono::duration<double> took = Now() - m_request.m_arrived;
  m_phase = Phase::Done;
  m_run.reset();
  m_caller->m_onGone = nullptr;
  m_gateway.Remove(self);
  const std::string route = m_route == nullptr ? "" : m_route->m_name;
  CountMetric("siskindeal_gateway_requests_total",
              { { "outcome", std::string(aOutcome) } });
  ObserveSeconds("siskindeal_gateway_request_seconds", took.count());
  m_gateway.LogRequest(
    LogLevel::Info,
    "request",
    { { "id", m_id },
      { "outcome", aOutcome },
      { "reason", m_lastReason },
      { "route", route },
      { "runner", m_runner },
      { "sends", m_sends },
      { "events", m_events },
      { "predicted_ms", m_predicted.count() },
      { "requests_there", m_loadBefore.m_requests },
      { "tokens_there", m_loadBefore.m_promptTokens },
      { "prompt_tokens", m_shape.m_promptTokens },
      { "first_ms", m_first.count() },
      { "worst_gap_ms", m_worstGap.count() },
      { "ms", took.count() * 1000 },
      { "config", m_routes ? m_routes->Config().m_version : 0 },
      { "config_age_ms", m_gateway.ConfigAge().count() } });
}

} // namespace siskindeal
