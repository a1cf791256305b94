#include "gateway/caller_exchange_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <iterator>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr milliseconds kDefaultTimeout{ 30000 }; // if the caller states none
constexpr milliseconds kMaxTimeout = std::chrono::hours(24);
// Retry-After where another gateway can serve the request at once.
constexpr milliseconds kElsewhereRetryAfter{ 10 };
// A runner's deadline is this much earlier than the request's, so that what it
// responds then still arrives: it may state that the request did not run, and
// that the runner wants no more.
constexpr milliseconds kRunnerDeadlineMargin{ 50 };
constexpr int kMinMarginsInDeadline = 10; // a shorter deadline has less margin
// A request whose deadline is below this share of the route's timeout is
// assumed to be a retry by the caller.
constexpr double kFirstAttemptShare = 0.9;

const std::string&
ChooseService(const Route& aRoute, Random& aRandom)
{
  double total = 0;
  for (const RouteShare& share : aRoute.m_shares) {
    total += share.m_weight;
  }
  double remaining = aRandom.Unit() * total;
  for (const RouteShare& share : aRoute.m_shares) {
    remaining -= share.m_weight;
    if (remaining < 0) {
      return share.m_service;
    }
  }
  return aRoute.m_shares.back().m_service;
}

// Caller headers that aren't forwarded: the key, and those the gateway sets.
bool
IsReplacedHeader(std::string_view aName)
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
  Guard([this] { Begin(); });
}

void
CallerExchange::Begin()
{
  m_request = m_caller->Request();
  m_callerHost = m_caller->RemoteAddress().m_host;
  m_caller->m_onDisconnect = [self = shared_from_this()] {
    self->Guard([&self] { self->OnCallerDisconnected(); });
  };
  m_gateway.Add(shared_from_this());
  if (const std::string* id = m_request.m_fields.Find(dialect::kAttemptId)) {
    m_id = *id;
  }
  m_deadline = LoopNow() + kDefaultTimeout;
  if (Admit()) {
    ReadHeaders();
    m_gateway.Retries().RecordRequest(m_service, LoopNow());
    Dispatch();
  }
}

bool
CallerExchange::Admit()
{
  if (!m_routes) {
    Refuse(
      kServiceUnavailable, "configuration not loaded yet", kShortRetryAfter);
    return false;
  }
  if (!m_gateway.KnowsEvacuations()) {
    Refuse(kServiceUnavailable, "evacuations not loaded yet", kShortRetryAfter);
    return false;
  }
  if (!m_gateway.KnowsSuspicions()) {
    Refuse(kServiceUnavailable, "suspicions not loaded yet", kShortRetryAfter);
    return false;
  }
  if (m_gateway.ConfigIsSuperseded()) {
    Refuse(
      kServiceUnavailable, "configuration is superseded", kShortRetryAfter);
    return false;
  }
  const std::string* host = m_request.m_fields.Find("host");
  m_route = m_routes->Find(*host, m_request.m_target);
  if (m_route == nullptr || m_route->m_shares.empty()) {
    // With a stale configuration the route may exist.
    if (m_gateway.ConfigIsFresh()) {
      Refuse(kNotFound, "no matching route", milliseconds(0));
    } else {
      Refuse(
        kServiceUnavailable, "configuration may be stale", kShortRetryAfter);
    }
    return false;
  }
  return Authenticate(*m_routes);
}

bool
CallerExchange::Authenticate(const RouteIndex& aRoutes)
{
  if (!aRoutes.Config().m_requiresKeys || m_route->m_anonymous) {
    return true;
  }
  if (!m_gateway.ConfigIsFresh()) {
    Refuse(kServiceUnavailable, "configuration may be stale", kShortRetryAfter);
    return false;
  }
  const std::string* field = m_request.m_fields.Find("authorization");
  if (field != nullptr && field->rfind(dialect::kKeyScheme, 0) == 0) {
    m_team = aRoutes.TeamOf(field->substr(dialect::kKeyScheme.size()));
  }
  if (m_team == nullptr) {
    Refuse(kUnauthorized, "unknown API key", milliseconds(0));
    return false;
  }
  return true;
}

void
CallerExchange::ReadHeaders()
{
  const HttpFields& fields = m_request.m_fields;
  m_service = ChooseService(*m_route, m_gateway.Rng());
  milliseconds left = kDefaultTimeout;
  std::int64_t stated = 0;
  const std::string* deadline = fields.Find(dialect::kDeadlineMs);
  if (deadline != nullptr && absl::SimpleAtoi(*deadline, &stated)) {
    left = milliseconds(std::max<std::int64_t>(stated, 0));
  }
  if (m_route->m_timeout.count() > 0) {
    m_shape.m_isCallerRetry =
      deadline != nullptr && left < m_route->m_timeout * kFirstAttemptShare;
    left = std::min(left, m_route->m_timeout);
  }
  // Longer ones could overflow the clock.
  m_deadline = m_request.m_arrived + std::min(left, kMaxTimeout);
  // Doesn't depend on the service, which changes with splits and route changes.
  m_traits.m_parts = ReadPromptParts();
  const std::string team = m_team == nullptr ? std::string() : m_team->m_name;
  m_traits.m_fingerprint = FingerprintOf(*fields.Find("host") + '\n' + team,
                                         m_request.m_method,
                                         m_request.m_target,
                                         m_request.m_body);
  m_shape.m_service = m_service;
  m_shape.m_target = m_route->m_targetLatency;
  m_shape.m_homes = HomeRegions(m_route->m_allowedRegions,
                                m_team == nullptr ? std::vector<std::string>()
                                                  : m_team->m_allowedRegions);
  if (const std::string* tokens = fields.Find(dialect::kTokens)) {
    if (const auto usage = dialect::DecodeTokens(*tokens)) {
      m_shape.m_promptTokens = usage->m_prompt;
    }
  }
  if (const std::string* model = fields.Find(dialect::kModel)) {
    m_shape.m_model = *model;
  }
  ReadCost();
  if (const std::string* last = fields.Find(dialect::kLastEventId)) {
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(*last, &id)) {
      m_lastEventId = id;
      m_shape.m_alreadyStarted = true;
    }
  }
}

milliseconds
CallerExchange::TimeLeft(MonotonicTime aNow) const
{
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(m_deadline - aNow));
}

std::vector<PromptPart>
CallerExchange::ReadPromptParts() const
{
  const std::string* field = m_request.m_fields.Find(dialect::kPromptParts);
  const auto ids =
    field == nullptr ? std::nullopt : dialect::DecodePromptParts(*field);
  if (!ids) {
    return {};
  }
  std::vector<PromptPart> parts;
  parts.reserve(ids->size());
  std::transform(ids->begin(),
                 std::prev(ids->end()),
                 std::back_inserter(parts),
                 [](const std::string& aId) { return StableHash(aId); });
  return parts;
}

bool
CallerExchange::IsPromptProven() const
{
  constexpr milliseconds kProvenAfter{ 1000 };
  return m_eventCount > 0 && LoopNow() - m_firstEventAt > kProvenAfter;
}

RequestTraits
CallerExchange::SuspectTraits() const
{
  return { m_traits.m_fingerprint,
           IsPromptProven() ? std::vector<PromptPart>() : m_traits.m_parts };
}

Decision
CallerExchange::Decide()
{
  constexpr milliseconds kQuarantineRetryAfter{ 30000 };
  if (m_gateway.IsQuarantined(m_traits.m_fingerprint)) {
    return PlacementRefusal{
      "request is quarantined: it crashed the runners that executed it",
      kQuarantineRetryAfter,
      milliseconds(0)
    };
  }
  if (!IsPromptProven()) {
    const PartDecision parts = m_gateway.DecideParts(m_traits.m_parts);
    if (parts.m_verdict == PartVerdict::Refuse) {
      return PlacementRefusal{ "part of the prompt is suspected: it crashed "
                               "the runners that responded",
                               parts.m_retryAfter,
                               milliseconds(0) };
    }
  }
  const MonotonicTime now = LoopNow();
  // Others can still serve what has not begun here.
  const bool hasBegun =
    m_mayHaveRun || !m_openAttempts.empty() || m_phase == Phase::Streaming;
  if (!hasBegun &&
      !m_gateway.CompletesBeforeStop(m_route->m_name, TimeLeft(now))) {
    CountMetric("siskindeal_gateway_late_requests_refused_total");
    return PlacementRefusal{
      "gateway is shutting down before the request would complete",
      kElsewhereRetryAfter,
      milliseconds(0)
    };
  }
  if (auto refusal = CheckPriority()) {
    return *std::move(refusal);
  }
  m_shape.m_timeLeft = TimeLeft(now);
  m_gateway.SetVersions(m_shape);
  if (m_sends > 0 || m_phase == Phase::Streaming) {
    m_shape.m_alreadyStarted = true;
  }
  return m_gateway.RequestPlacer().Place(m_shape,
                                         m_routes->Service(m_service),
                                         m_gateway.Runners(),
                                         m_gateway.Limits(),
                                         m_gateway.Notices(),
                                         m_triedRunners,
                                         now);
}

void
CallerExchange::Dispatch()
{
  const Decision decision = Decide();
  if (const auto* placement = std::get_if<Placement>(&decision)) {
    SendTo(*m_gateway.Runners().Find(placement->m_runner), *placement);
    return;
  }
  const auto& refusal = std::get<PlacementRefusal>(decision);
  if (refusal.m_exclusion != Exclusion::None) {
    const bool isEvacuated = refusal.m_exclusion == Exclusion::Evacuated;
    CountMetric("siskindeal_gateway_excluded_requests_total",
                { { "by", isEvacuated ? "evacuation" : "homes" } });
  }
  m_predicted = refusal.m_predicted;
  m_linkDelay = refusal.m_linkDelay;
  if (m_mayHaveRun) {
    GiveUp(m_lastReason);
  } else {
    Refuse(kServiceUnavailable, refusal.m_reason, refusal.m_retryAfter);
  }
}

void
CallerExchange::SendTo(RunnerState& aRunner, const Placement& aPlacement)
{
  const MonotonicTime now = LoopNow();
  constexpr milliseconds kConnectTimeout{ 400 };
  // Before anything is recorded: an open attempt always has its connection.
  const bool isUnshared = NeedsUnsharedConnection(aRunner, now);
  const auto connection = m_gateway.Connect(
    aRunner.m_record.m_address, aPlacement.m_region, isUnshared);
  ++m_sends;
  m_predicted = aPlacement.m_predicted;
  m_linkDelay = aPlacement.m_linkDelay;
  m_latest = std::make_shared<RunnerAttempt>();
  m_latest->m_connection = connection;
  m_latest->m_number = m_sends;
  m_latest->m_memory.emplace(
    m_gateway.EventLoop(),
    "runner response",
    [weak = weak_from_this(), attempt = std::weak_ptr(m_latest)] {
      const auto self = weak.lock();
      const auto held = attempt.lock();
      return self && held && self->BreakOff(*held);
    });
  m_openAttempts.push_back(m_latest);
  m_latest->m_runner = aRunner.m_record.Incarnation();
  m_latest->m_address = aRunner.m_record.m_address;
  m_latest->m_region = aPlacement.m_region;
  m_latest->m_linkDelay = aPlacement.m_linkDelay;
  m_latest->m_predicted = aPlacement.m_predicted;
  m_latest->m_predictedGeneration = aPlacement.m_generation;
  m_latest->m_loadBefore = aPlacement.m_load;
  m_latest->m_heldVersion = aRunner.VersionOf(m_shape.m_model);
  m_latest->m_requiredVersion = aPlacement.m_requiredVersion;
  m_latest->m_sentAt = m_latest->m_lastProgress = now;
  m_triedRunners.insert(m_latest->m_runner);
  m_gateway.Limits().RecordSend(m_latest->m_runner, now);
  m_gateway.RequestPlacer().Cold().RecordSend(m_latest->m_runner, now);
  LogIfSuspect();
  if (m_gateway.Suspicions().IsQuarantined(m_traits.m_fingerprint)) {
    m_gateway.Suspicions().RecordRequestTrial(m_traits.m_fingerprint, now);
  }
  if (!IsPromptProven()) {
    m_gateway.Suspicions().RecordTrial(m_traits.m_parts, now);
  }
  ++aRunner.m_ownLoad.m_requests;
  aRunner.m_ownLoad.m_promptTokens += m_shape.m_promptTokens;
  m_latest->m_promptCounted = true;
  CountLoad(*m_latest, aRunner);
  OutgoingCall call;
  call.m_head = BuildHead(aRunner);
  call.m_body = m_request.m_body;
  call.m_echoName = dialect::kAttemptId;
  call.m_echo = m_id;
  call.m_isLast = isUnshared;
  m_gateway.CountRegionBytes(
    m_latest->m_region, "request", call.m_head.size() + call.m_body.size());
  m_latest->m_connection->Begin(
    std::move(call),
    kConnectTimeout,
    [self = shared_from_this(), attempt = m_latest](const CallEvent& aEvent) {
      self->OnCallEvent(*attempt, aEvent);
    });
}

std::string
CallerExchange::BuildHead(const RunnerState& aRunner) const
{
  std::string head;
  head.reserve(1024);
  head.append(m_request.m_method).append(" ").append(m_request.m_target);
  head += " HTTP/1.1\r\n";
  for (const auto& [name, value] : m_request.m_fields.All()) {
    if (!IsHopByHop(name, m_request.m_fields) && !IsReplacedHeader(name)) {
      AppendField(head, name, value);
    }
  }
  const milliseconds left = TimeLeft(LoopNow());
  const milliseconds runnerTime =
    left - std::min(kRunnerDeadlineMargin, left / kMinMarginsInDeadline);
  AppendField(head, dialect::kDeadlineMs, std::to_string(runnerTime.count()));
  AppendField(head, dialect::kExpectRunner, aRunner.m_record.m_id);
  if (m_team != nullptr) {
    AppendField(head, dialect::kTeam, m_team->m_name);
  }
  if (m_lastEventId) {
    AppendField(head, dialect::kLastEventId, std::to_string(*m_lastEventId));
  }
  if (m_latest->m_requiredVersion) {
    // The runner rejects the request if it holds a different version by then.
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

bool
CallerExchange::IsOpen(const RunnerAttempt& aAttempt) const
{
  return std::any_of(
    m_openAttempts.begin(),
    m_openAttempts.end(),
    [&](const RunnerAttemptPtr& aOpen) { return aOpen.get() == &aAttempt; });
}

void
CallerExchange::ReleasePromptTokens(RunnerAttempt& aAttempt,
                                    RunnerState& aRunner)
{
  if (aAttempt.m_promptCounted) {
    aAttempt.m_promptCounted = false;
    aRunner.m_ownLoad.m_promptTokens -=
      std::min(aRunner.m_ownLoad.m_promptTokens, m_shape.m_promptTokens);
  }
}

void
CallerExchange::EndAttempt(RunnerAttempt& aAttempt, RunnerHealth aHealth)
{
  std::erase_if(m_openAttempts, [&](const RunnerAttemptPtr& aOpen) {
    return aOpen.get() == &aAttempt;
  });
  m_gateway.CountRegionBytes(
    aAttempt.m_region, "response", aAttempt.m_receivedBytes);
  RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner);
  if (runner == nullptr) {
    return;
  }
  RecordStrayResponse(aAttempt, *runner);
  ReleasePromptTokens(aAttempt, *runner);
  ReleaseLoad(aAttempt, *runner);
  if (runner->m_ownLoad.m_requests > 0) {
    --runner->m_ownLoad.m_requests;
  }
  if (aHealth == RunnerHealth::Healthy) {
    runner->m_consecutiveFailures = 0;
  } else if (aHealth == RunnerHealth::Failed) {
    runner->AvoidAfterFailure(LoopNow());
  }
}

void
CallerExchange::CancelAttempts(const RunnerAttempt* aExcept)
{
  const std::vector<RunnerAttemptPtr> attempts = m_openAttempts;
  for (const RunnerAttemptPtr& attempt : attempts) {
    if (attempt.get() != aExcept) {
      RecordIfSilent(*attempt);
      attempt->m_connection->Abort();
      EndAttempt(*attempt, RunnerHealth::Unknown);
      RecordExecution(*attempt);
    }
  }
}

void
CallerExchange::Choose(RunnerAttempt& aAttempt)
{
  m_forwarded = aAttempt.shared_from_this();
  CancelAttempts(&aAttempt);
}

} // namespace siskindeal
