// Tests which failures of an agent an entry retries on another agent, which it
// doesn't retry, and what the caller receives.

#include "entry/forward_p.h"

#include "siskindeal/verdict.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace siskindeal {
namespace {

constexpr const char* kDigest = "d1";
constexpr const char* kService = "svc";
constexpr const char* kClass = "chat";
constexpr std::chrono::seconds kHangGuard{ 20 };

AuthSettings
TestAuth()
{
  return { "test", { { "test", "a-secret-of-the-tests-only" } } };
}

// Records the response to the caller.
class RecordingResponder final : public HttpResponder
{
public:
  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    m_status = aStatus;
    m_headers = std::move(aHeaders);
    m_body = std::move(aBody);
    m_ended.Notify();
  }
  void BeginStream(int aStatus, HttpHeaders aHeaders) override
  {
    m_status = aStatus;
    m_headers = std::move(aHeaders);
    m_begun.Notify();
  }
  bool Write(std::string_view aBytes) override
  {
    m_body += aBytes;
    return true;
  }
  void EndStream() override { m_ended.Notify(); }
  void Abort() override { m_ended.Notify(); }
  void OnDisconnect(std::function<void()>) override {}

  std::string Verdict() const
  {
    const auto found = m_headers.find(std::string(kVerdictHeader));
    return found == m_headers.end() ? "" : found->second;
  }
  // The reason of an error response; empty otherwise.
  std::string Reason() const
  {
    const auto body = nlohmann::json::parse(m_body, nullptr, false);
    return body.is_object() && body.contains("error")
             ? body["error"].value("reason", "")
             : "";
  }

  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  absl::Notification m_begun;
  absl::Notification m_ended;
};

using AttemptHandler = std::function<void(const std::shared_ptr<RunSink>&)>;

void
SendStarted(RunSink& aSink, const std::string& aDigest)
{
  wire::RunEvent event;
  event.mutable_started()->set_status(200);
  event.mutable_started()->set_digest(aDigest);
  aSink.Send(event);
}

void
SendBodyAndFinished(RunSink& aSink,
                    const std::string& aText,
                    std::size_t aDeclaredBytes)
{
  wire::RunEvent event;
  event.set_body(aText);
  aSink.Send(event);
  event.mutable_finished()->set_body_bytes(aDeclaredBytes);
  aSink.Send(event);
}

AttemptHandler
RespondWith(const std::string& aDigest,
            const std::string& aText,
            std::size_t aDeclaredBytes)
{
  return [=](const std::shared_ptr<RunSink>& aSink) {
    SendStarted(*aSink, aDigest);
    SendBodyAndFinished(*aSink, aText, aDeclaredBytes);
    aSink->Finish();
  };
}

AttemptHandler
FailWith(Reason aReason, wire::RunVerdict aVerdict)
{
  return [=](const std::shared_ptr<RunSink>& aSink) {
    wire::RunEvent event;
    event.mutable_failed()->set_reason(std::string(ToString(aReason)));
    event.mutable_failed()->set_verdict(aVerdict);
    aSink->Send(event);
    aSink->Finish();
  };
}

// Handles consecutive attempts, regardless of the VM that receives them.
struct Script
{
  // The last handler is used for all further attempts.
  std::vector<AttemptHandler> m_handlers;
  // Replies to a cancel that the attempt never started.
  bool m_confirmsNotStarted = false;
  std::mutex m_mutex;
  std::vector<std::string> m_vms; // in order of the attempts
};

class Agent final : public NodeHandler
{
public:
  Agent(std::string aVm, Script& aScript)
    : m_vm(std::move(aVm))
    , m_script(aScript)
  {
  }
  wire::GreetReply OnGreet(const wire::GreetRequest&) override { return {}; }
  std::string StateJson() override { return "{}"; }
  void OnRun(const wire::RunRequest&, std::shared_ptr<RunSink> aSink) override
  {
    std::size_t attempt = 0;
    {
      const std::lock_guard lock(m_script.m_mutex);
      attempt = m_script.m_vms.size();
      m_script.m_vms.push_back(m_vm);
    }
    m_script.m_handlers.at(std::min(attempt, m_script.m_handlers.size() - 1))(
      aSink);
  }
  void OnCancel(const wire::CancelRequest&,
                Done<wire::CancelReply> aDone) override
  {
    wire::CancelReply reply;
    reply.set_not_started(m_script.m_confirmsNotStarted);
    aDone(reply);
  }

private:
  const std::string m_vm;
  Script& m_script;
};

CallerRequest
Request(bool aKeyed, bool aStream = false)
{
  CallerRequest request;
  request.m_id = "r";
  request.m_service = kService;
  request.m_class = kClass;
  request.m_timeout = kHangGuard;
  request.m_method = "POST";
  request.m_path = "/work";
  request.m_stream = aStream;
  request.m_idempotent = !aKeyed;
  request.m_key = aKeyed ? "k" : "";
  return request;
}

// An entry's forwarder with two agents that follow aScript.
class ForwarderHarness
{
public:
  explicit ForwarderHarness(Script& aScript, std::size_t aMaxStreams = 8)
    : m_client(TestAuth(), "entry")
    , m_view(std::make_shared<FleetView>())
  {
    for (const std::string vm : { "vm1", "vm2" }) {
      m_agents.push_back(std::make_unique<Agent>(vm, aScript));
      m_servers.push_back(std::make_unique<NodeServer>(
        Address{ "127.0.0.1", 0 }, TestAuth(), *m_agents.back()));
      wire::NodeRecord record;
      record.set_vm(vm);
      record.set_role(wire::ROLE_AGENT);
      record.set_service(kService);
      record.set_liveness(wire::LIVENESS_ALIVE);
      record.set_address("127.0.0.1:" +
                         std::to_string(m_servers.back()->Port()));
      record.add_serving()->set_class_of_work(kClass);
      record.mutable_serving(0)->set_digest(kDigest);
      m_view->m_nodes[vm] = { record, m_clock.Now() };
    }
    RoutingSettings routing;
    routing.m_retryBudget = 10;
    const auto traffic = std::make_shared<Traffic>(
      routing, AdmissionSettings(), "kingston", m_clock, 1);
    traffic->OnNodes(*m_view);
    m_forwarder = std::make_shared<Forwarder>(
      ForwarderContext{ m_client,
                        m_clock,
                        [this] { return m_view; },
                        routing,
                        aMaxStreams,
                        traffic,
                        [](const wire::Suspicion&,
                           const std::function<void()>& aDone) { aDone(); } });
  }

  std::shared_ptr<RecordingResponder> Start(const CallerRequest& aRequest)
  {
    auto caller = std::make_shared<RecordingResponder>();
    m_forwarder->Forward(aRequest, caller);
    return caller;
  }
  std::shared_ptr<RecordingResponder> StartAndWait(
    const CallerRequest& aRequest)
  {
    auto caller = Start(aRequest);
    EXPECT_TRUE(caller->m_ended.WaitForNotificationWithTimeout(
      absl::FromChrono(kHangGuard)));
    return caller;
  }
  void AwaitIdle() const
  {
    while (m_forwarder->InFlight() > 0) {
      std::this_thread::yield();
    }
  }

private:
  SystemClock m_clock;
  NodeClient m_client;
  std::shared_ptr<FleetView> m_view;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::vector<std::unique_ptr<NodeServer>> m_servers;
  std::shared_ptr<Forwarder> m_forwarder;
};

constexpr const char* kText = "whole";
const AttemptHandler kCompleteResponse = RespondWith(kDigest, kText, 5);

struct RetryCase
{
  const char* m_fault; // in the first attempt
  AttemptHandler m_handler;
  bool m_confirmsNotStarted;
  bool m_retriedIfIdempotent; // on the other VM
  bool m_retriedIfKeyed;
  const char* m_reason; // if not retried
  const char* m_verdict;
};

const std::vector<RetryCase> kRetryCases = {
  { "agent is full",
    FailWith(Reason::Overloaded, wire::RUN_VERDICT_NOT_RUN),
    false,
    true,
    true,
    "",
    "" },
  { "agent drains",
    FailWith(Reason::Draining, wire::RUN_VERDICT_NOT_RUN),
    false,
    true,
    true,
    "",
    "" },
  { "engine refused the connection",
    FailWith(Reason::UpstreamFailed, wire::RUN_VERDICT_NOT_RUN),
    false,
    true,
    true,
    "",
    "" },
  { "upstream closed the connection",
    FailWith(Reason::UpstreamFailed, wire::RUN_VERDICT_MAY_HAVE_RUN),
    false,
    true,
    false,
    "upstream_failed",
    "may have run" },
  { "answer was truncated",
    FailWith(Reason::TruncatedAnswer, wire::RUN_VERDICT_MAY_HAVE_RUN),
    false,
    true,
    false,
    "truncated_answer",
    "may have run" },
  { "engine answered from other weights",
    FailWith(Reason::DigestMismatch, wire::RUN_VERDICT_RAN),
    false,
    true,
    false,
    "digest_mismatch",
    "ran" },
  { "agent reports other weights",
    RespondWith("d2", "mixed", 5),
    false,
    true,
    false,
    "digest_mismatch",
    "ran" },
  { "agent reports no weights",
    RespondWith("", "mixed", 5),
    false,
    true,
    false,
    "digest_mismatch",
    "ran" },
  { "answer is shorter than declared",
    RespondWith(kDigest, "who", 5),
    false,
    true,
    false,
    "truncated_answer",
    "ran" },
  { "request is quarantined",
    FailWith(Reason::Quarantined, wire::RUN_VERDICT_NOT_RUN),
    false,
    false,
    false,
    "quarantined",
    "not run" },
  { "key names another request",
    FailWith(Reason::Conflict, wire::RUN_VERDICT_NOT_RUN),
    false,
    false,
    false,
    "conflict",
    "not run" },
  { "call ends without an event, agent confirms that it never started",
    [](const std::shared_ptr<RunSink>& aSink) { aSink->Finish(); },
    true,
    true,
    true,
    "",
    "" },
  { "call ends without an event, agent confirms nothing",
    [](const std::shared_ptr<RunSink>& aSink) { aSink->Finish(); },
    false,
    true,
    false,
    "upstream_failed",
    "may have run" },
};

void
CheckRetryCase(const RetryCase& aCase, bool aKeyed)
{
  SCOPED_TRACE(std::string(aCase.m_fault) + (aKeyed ? ", keyed" : ""));
  Script script;
  script.m_handlers = { aCase.m_handler, kCompleteResponse };
  script.m_confirmsNotStarted = aCase.m_confirmsNotStarted;
  ForwarderHarness harness(script);
  const auto caller = harness.StartAndWait(Request(aKeyed));
  const bool retried =
    aKeyed ? aCase.m_retriedIfKeyed : aCase.m_retriedIfIdempotent;
  const std::lock_guard lock(script.m_mutex);
  if (retried) {
    ASSERT_EQ(script.m_vms.size(), 2U);
    EXPECT_NE(script.m_vms[0], script.m_vms[1]);
    EXPECT_EQ(caller->m_status, 200);
    EXPECT_EQ(caller->m_body, kText);
    EXPECT_EQ(caller->Verdict(), "ran");
    return;
  }
  EXPECT_EQ(script.m_vms.size(), 1U);
  EXPECT_EQ(caller->Reason(), aCase.m_reason);
  EXPECT_EQ(caller->Verdict(), aCase.m_verdict);
}

TEST(Forward, RetriesOnlyIfNotRunOrIdempotent)
{
  for (const auto& retryCase : kRetryCases) {
    CheckRetryCase(retryCase, false);
    CheckRetryCase(retryCase, true);
  }
}

TEST(Forward, NeverForwardsAResponseFromOtherWeights)
{
  for (const bool stream : { false, true }) {
    Script script;
    script.m_handlers = { RespondWith("d2", "mixed", 5) };
    ForwarderHarness harness(script);
    const auto caller = harness.StartAndWait(Request(false, stream));
    EXPECT_FALSE(caller->m_begun.HasBeenNotified());
    EXPECT_NE(caller->m_status, 200);
    EXPECT_EQ(caller->m_body.find("mixed"), std::string::npos);
    EXPECT_EQ(caller->Verdict(), "ran");
  }
}

TEST(Forward, RejectsAStreamOverTheLimitAsNotRun)
{
  std::shared_ptr<RunSink> held;
  absl::Notification arrived;
  Script script;
  script.m_handlers = { [&](const std::shared_ptr<RunSink>& aSink) {
                         held = aSink;
                         arrived.Notify();
                       },
                        kCompleteResponse };
  ForwarderHarness harness(script, 1);
  const auto first = harness.Start(Request(false, true));
  arrived.WaitForNotification();
  SendStarted(*held, kDigest);
  wire::RunEvent event;
  event.set_body("wh");
  held->Send(event);
  const auto rejected = harness.StartAndWait(Request(false, true));
  EXPECT_EQ(rejected->m_status, 503);
  EXPECT_EQ(rejected->Reason(), "overloaded");
  EXPECT_EQ(rejected->Verdict(), "not run");
  EXPECT_EQ(rejected->m_headers.count("retry-after"), 1U);
  EXPECT_EQ(harness.StartAndWait(Request(false))->m_status, 200);
  SendBodyAndFinished(*held, "ole", 5);
  held->Finish();
  ASSERT_TRUE(first->m_ended.WaitForNotificationWithTimeout(
    absl::FromChrono(kHangGuard)));
  EXPECT_EQ(first->m_body, kText);
  harness.AwaitIdle();
  EXPECT_EQ(harness.StartAndWait(Request(false, true))->m_body, kText);
}

} // namespace
} // namespace siskindeal
