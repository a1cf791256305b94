#include "support/soak_traffic.h"

#include "siskindeal/random.h"
#include "support/raw_socket.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <system_error>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t kMaxWorkMs = 150;
constexpr std::uint64_t kMaxEvents = 12;
constexpr std::uint64_t kMaxEventGapMs = 40;
constexpr std::uint64_t kMaxBodyPauseMs = 400;
constexpr std::uint64_t kMaxIdleMs = 30;
constexpr std::uint64_t kRequestsPerConnection = 60; // on average
constexpr milliseconds kReconnectDelay{ 20 };
const std::string kBody = "four tees at dawn";

std::string
EventText(const std::string& aId, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + " " + number + "\n\n";
}

std::string
BodyText(const std::string& aId)
{
  return aId + " booked " + kBody;
}

// Returns a header's value; empty if there is none.
std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  std::size_t at = 0;
  while ((at = aHead.find("\r\n", at)) != std::string::npos) {
    at += 2;
    if (!absl::StartsWithIgnoreCase(aHead.substr(at), aName + ":")) {
      continue;
    }
    const auto from = aHead.find_first_not_of(' ', at + aName.size() + 1);
    return aHead.substr(from, aHead.find("\r\n", from) - from);
  }
  return {};
}

// Moves what is complete from aIn to aBody. Returns whether the body ends.
bool
TakeChunks(std::string& aIn, std::string& aBody)
{
  for (;;) {
    const auto line = aIn.find("\r\n");
    if (line == std::string::npos) {
      return false;
    }
    constexpr int kHex = 16;
    const std::size_t size = std::stoul(aIn.substr(0, line), nullptr, kHex);
    if (aIn.size() < line + 2 + size + 2) {
      return false;
    }
    aBody += aIn.substr(line + 2, size);
    aIn.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

bool
TakeBody(const std::string& aHead, std::string& aIn, std::string& aBody)
{
  if (absl::EqualsIgnoreCase(FieldOf(aHead, "Transfer-Encoding"), "chunked")) {
    return TakeChunks(aIn, aBody);
  }
  const std::string length = FieldOf(aHead, "Content-Length");
  if (length.empty()) {
    return false; // a cut can't be told from its end
  }
  aBody += aIn;
  aIn.clear();
  return aBody.size() >= std::stoul(length);
}

void
ReadAnswer(RawSocket& aSocket, SoakOutcome& aOutcome)
{
  std::string in;
  for (;;) {
    const std::string more = aSocket.ReadSome();
    if (more.empty()) {
      aOutcome.m_wasReset = aSocket.WasReset();
      return;
    }
    in += more;
    if (aOutcome.m_status == 0) {
      const auto end = in.find("\r\n\r\n");
      if (end == std::string::npos) {
        continue;
      }
      aOutcome.m_head = in.substr(0, end + 4);
      in.erase(0, end + 4);
      constexpr std::size_t kStatusAt = 9;
      aOutcome.m_status = std::stoi(aOutcome.m_head.substr(kStatusAt, 3));
    }
    if (TakeBody(aOutcome.m_head, in, aOutcome.m_body)) {
      aOutcome.m_isWhole = true;
      aOutcome.m_body += in; // bytes that follow belong to no request
      aOutcome.m_keepsOpen = !absl::EqualsIgnoreCase(
        FieldOf(aOutcome.m_head, "Connection"), "close");
      return;
    }
  }
}

// The parts in which a request's body is sent.
std::pair<std::string, std::string>
BodyParts(bool aIsChunked, std::size_t aSplit)
{
  const std::string first = kBody.substr(0, aSplit);
  const std::string second = kBody.substr(aSplit);
  if (!aIsChunked) {
    return { first, second };
  }
  const auto chunk = [](const std::string& aText) {
    constexpr const char* kDigits = "0123456789abcdef";
    const std::size_t size = aText.size();
    return std::string{ kDigits[size / 16], kDigits[size % 16] } + "\r\n" +
           aText + "\r\n";
  };
  return { chunk(first), chunk(second) + "0\r\n\r\n" };
}

} // namespace

const std::vector<SoakKind>&
SoakKinds()
{
  static const std::vector<SoakKind> sKinds{
    { "get", "idempotent", false, false, false, true },
    { "post", "non_idempotent", false, true, false, true },
    { "feed", "streaming", false, true, true, true },
    { "tail", "streaming", true, false, true, true },
    { "extra", "idempotent", false, false, false, false },
  };
  return sKinds;
}

// What a runner does for one request.
struct SoakTraffic::Work
{
  Work(SiteStandIn& aSite, std::shared_ptr<ServerConnection> aConnection)
    : m_connection(std::move(aConnection))
    , m_timer(aSite.m_loop)
  {
  }

  std::shared_ptr<ServerConnection> m_connection;
  Timer m_timer;
  std::string m_id;
  std::size_t m_run = 0;
  milliseconds m_gap{ 0 };
  int m_events = 0; // 0: no stream
  int m_sent = 0;
};

SoakTraffic::SoakTraffic(SiteStandIn& aSite, const DeployedSite& aDeployed)
  : m_site(aSite)
  , m_deployed(aDeployed)
{
}

SoakTraffic::~SoakTraffic()
{
  StopCallers();
  m_faultyRunners.clear(); // their threads record runs
}

Address
SoakTraffic::AddRunner(const std::string& aId, const std::string& aService)
{
  return m_site.AddRunner(
    aId,
    aService,
    [this, aId](const auto& aConnection) { Run(aId, aConnection); },
    { { "slots", 16 } });
}

void
SoakTraffic::AddFaultyRunner(const std::string& aId,
                             const std::string& aService,
                             const FaultyRunnerOptions& aOptions)
{
  const auto describe = [](const std::string& aHead,
                           FaultyRunnerRequest& aRequest) {
    aRequest.m_id = FieldOf(aHead, "X-Siskindeal-Attempt-Id");
    const std::string work = FieldOf(aHead, "X-Work-Ms");
    const std::string events = FieldOf(aHead, "X-Events");
    if (aRequest.m_id.empty() || work.empty() || events.empty()) {
      return false;
    }
    const std::string last = FieldOf(aHead, "Last-Event-Id");
    aRequest.m_workMs = std::stoi(work);
    aRequest.m_events = std::stoi(events);
    aRequest.m_lastEvent = last.empty() ? 0 : std::stoi(last);
    aRequest.m_body = BodyText(aRequest.m_id);
    aRequest.m_eventText = [id = aRequest.m_id](int aNumber) {
      return EventText(id, aNumber);
    };
    return true;
  };
  m_faultyRunners.push_back(std::make_unique<FaultyRunner>(
    aOptions, describe, [this, aId](const std::string& aRequest) {
      RecordRun(aRequest, aId);
    }));
  m_site.Put(
    "servers",
    aId,
    { { "service", aService },
      { "address", m_faultyRunners.back()->ListenAddress().ToString() },
      { "zone", "here" },
      { "slots", 16 },
      { "state", "ready" } });
}

std::size_t
SoakTraffic::RecordRun(const std::string& aId, const std::string& aRunner)
{
  const std::lock_guard lock(m_mutex);
  auto& runs = m_runs[aId];
  runs.push_back({ aRunner, steady_clock::now(), std::nullopt });
  return runs.size() - 1;
}

void
SoakTraffic::Run(const std::string& aRunner,
                 const std::shared_ptr<ServerConnection>& aConnection)
{
  const HttpFields& fields = aConnection->Request().m_fields;
  const std::string* id = fields.Find("x-siskindeal-attempt-id");
  const std::string* work = fields.Find("x-work-ms");
  const std::string* events = fields.Find("x-events");
  if (id == nullptr || work == nullptr || events == nullptr) {
    aConnection->SendResponse(404, {}, {}, "");
    return;
  }
  const auto started = std::make_shared<Work>(m_site, aConnection);
  started->m_id = *id;
  started->m_gap = milliseconds(std::stoi(*work));
  started->m_events = std::stoi(*events);
  started->m_run = RecordRun(*id, aRunner);
  if (started->m_events > 0) {
    const std::string* last = fields.Find("last-event-id");
    started->m_sent = last == nullptr ? 0 : std::stoi(*last);
    HttpFields head;
    head.Add("X-Siskindeal-Attempt-Id", *id);
    head.Add("X-Siskindeal-Runner-Signature", "sig-" + *id);
    head.Add("Content-Type", "text/event-stream");
    aConnection->SendHead(200, {}, head, std::nullopt);
  }
  aConnection->m_onDisconnect = [weak = std::weak_ptr(started)] {
    if (const auto left = weak.lock()) {
      left->m_timer.cancel();
    }
  };
  Step(started);
}

void
SoakTraffic::Step(const std::shared_ptr<Work>& aWork)
{
  aWork->m_timer.expires_after(aWork->m_gap);
  aWork->m_timer.async_wait([this, aWork](const NetError& aError) {
    if (aError) {
      return;
    }
    if (aWork->m_sent < aWork->m_events) {
      aWork->m_connection->SendPart(EventText(aWork->m_id, ++aWork->m_sent));
      Step(aWork);
      return;
    }
    Finish(*aWork);
  });
}

void
SoakTraffic::Finish(const Work& aWork)
{
  {
    const std::lock_guard lock(m_mutex);
    m_runs[aWork.m_id][aWork.m_run].m_endedAt = steady_clock::now();
  }
  if (aWork.m_events > 0) {
    aWork.m_connection->SendEnd();
    return;
  }
  HttpFields head;
  head.Add("X-Siskindeal-Attempt-Id", aWork.m_id);
  head.Add("X-Siskindeal-Runner-Signature", "sig-" + aWork.m_id);
  aWork.m_connection->SendResponse(200, {}, head, BodyText(aWork.m_id));
}

void
SoakTraffic::StartCallers(std::size_t aCount,
                          std::size_t aGateways,
                          Random& aRandom)
{
  for (std::size_t caller = 0; caller < aCount; ++caller) {
    m_callers.emplace_back(
      [this, caller, aGateways, seed = aRandom.Below(1U << 30)] {
        Call(caller, aGateways, seed);
      });
  }
}

void
SoakTraffic::StopCallers()
{
  m_stopping = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
  m_callers.clear();
}

void
SoakTraffic::Call(std::size_t aCaller,
                  std::size_t aGateways,
                  std::uint64_t aSeed)
{
  Random random(aSeed);
  std::size_t number = 0;
  while (!m_stopping) {
    const std::size_t gateway = random.Below(aGateways);
    bool isFirst = true;
    SteadyTime idleSince = steady_clock::now();
    try {
      RawSocket socket(m_deployed.Vms()[gateway].m_host,
                       DeployedSite::kFrontPort);
      bool isKept = true;
      while (isKept && !m_stopping) {
        auto outcome =
          Send(socket,
               random,
               gateway,
               std::to_string(aCaller) + "-" + std::to_string(number++));
        outcome.m_isFirst = std::exchange(isFirst, false);
        outcome.m_idleSince = std::exchange(idleSince, outcome.m_sentAt);
        isKept =
          outcome.m_keepsOpen && random.Below(kRequestsPerConnection) != 0;
        {
          const std::lock_guard lock(m_mutex);
          m_outcomes.push_back(outcome);
        }
        std::this_thread::sleep_for(milliseconds(random.Below(kMaxIdleMs)));
      }
    } catch (const std::system_error&) {
      std::this_thread::sleep_for(kReconnectDelay); // no process listens
    }
  }
}

SoakOutcome
SoakTraffic::SendProbe(std::size_t aGateway)
{
  RawSocket socket(m_deployed.Vms()[aGateway].m_host, DeployedSite::kFrontPort);
  Random random(0); // draws the first kind, which is no stream
  return Send(socket, random, aGateway, "probe-" + std::to_string(m_probes++));
}

const SoakKind&
SoakTraffic::DrawKind(Random& aRandom) const
{
  if (m_routes.empty()) {
    return SoakKinds()[aRandom.Below(SoakKinds().size())];
  }
  const std::string& route = m_routes[aRandom.Below(m_routes.size())];
  return *std::find_if(
    SoakKinds().begin(), SoakKinds().end(), [&](const SoakKind& aKind) {
      return aKind.m_route == route;
    });
}

SoakOutcome
SoakTraffic::Send(RawSocket& aSocket,
                  Random& aRandom,
                  std::size_t aGateway,
                  std::string aId)
{
  SoakOutcome outcome;
  const bool isProbe = absl::StartsWith(aId, "probe");
  outcome.m_id = std::move(aId);
  outcome.m_gateway = aGateway;
  outcome.m_kind = isProbe ? &SoakKinds().front() : &DrawKind(aRandom);
  outcome.m_hasSteadyKey = isProbe || aRandom.Below(8) != 0;
  const bool isStream = outcome.m_kind->m_isStream;
  const bool isChunked = aRandom.Below(4) == 0;
  const auto events = isStream ? 1 + aRandom.Below(kMaxEvents) : 0;
  outcome.m_events = events;
  const auto work = aRandom.Below(isStream ? kMaxEventGapMs : kMaxWorkMs);
  const auto [first, second] =
    BodyParts(isChunked, 1 + aRandom.Below(kBody.size() - 1));
  const std::string head =
    "POST /" + std::string(outcome.m_kind->m_route) +
    "/a HTTP/1.1\r\nHost: x.example\r\nX-Siskindeal-Attempt-Id: " +
    outcome.m_id + "\r\nAuthorization: Bearer " +
    (outcome.m_hasSteadyKey ? "key-1" : "key-2") +
    "\r\nX-Siskindeal-Deadline-Ms: " + std::to_string(kDeadline.count()) +
    "\r\nX-Work-Ms: " + std::to_string(work) +
    "\r\nX-Events: " + std::to_string(events) +
    (isChunked
       ? "\r\nTransfer-Encoding: chunked\r\n\r\n"
       : "\r\nContent-Length: " + std::to_string(kBody.size()) + "\r\n\r\n");
  outcome.m_from = steady_clock::now();
  bool isSent = aSocket.Send(head + first);
  if (!isProbe && aRandom.Below(3) == 0) {
    std::this_thread::sleep_for(milliseconds(aRandom.Below(kMaxBodyPauseMs)));
  }
  // A gateway that has answered or closed by now doesn't wait for the rest.
  isSent = isSent && !aSocket.HasInput(milliseconds(0)) && aSocket.Send(second);
  outcome.m_sentAt = steady_clock::now();
  outcome.m_isSent = isSent;
  ReadAnswer(aSocket, outcome);
  outcome.m_endedAt = steady_clock::now();
  outcome.m_keepsOpen = outcome.m_keepsOpen && isSent;
  m_answered += outcome.m_isWhole && outcome.m_status == 200 ? 1 : 0;
  return outcome;
}

std::vector<SoakRun>
SoakTraffic::RunsOf(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(aId);
  return found == m_runs.end() ? std::vector<SoakRun>() : found->second;
}

std::string
SoakTraffic::StatusText() const
{
  std::map<int, std::size_t> statuses;
  for (const SoakOutcome& outcome : m_outcomes) {
    ++statuses[outcome.m_status];
  }
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  return text;
}

bool
SoakTraffic::IsOwnAnswer(const SoakOutcome& aOutcome)
{
  std::string expected = BodyText(aOutcome.m_id);
  if (aOutcome.m_kind->m_isStream) {
    expected.clear();
    for (std::uint64_t event = 1; event <= aOutcome.m_events; ++event) {
      expected += EventText(aOutcome.m_id, static_cast<int>(event));
    }
  }
  return aOutcome.m_body == expected &&
         FieldOf(aOutcome.m_head, "X-Siskindeal-Attempt-Id") == aOutcome.m_id &&
         FieldOf(aOutcome.m_head, "X-Siskindeal-Runner-Signature") ==
           "sig-" + aOutcome.m_id;
}

} // namespace siskindeal
