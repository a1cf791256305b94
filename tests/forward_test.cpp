// Tests that an entry stops retrying a request that crashes its upstreams, and
// quarantines it.

#include "entry/forward_p.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <atomic>

namespace siskindeal {
namespace {

constexpr std::uint64_t kFingerprint = 7;
constexpr int kAgents = 4;
constexpr int kMaxCrashes = 2;

// An agent whose upstream crashes on each request. It reports only its own
// crashes.
class CrashingAgent final : public NodeHandler
{
public:
  explicit CrashingAgent(std::atomic<int>& aCrashes)
    : m_crashes(aCrashes)
  {
  }

  wire::GreetReply OnGreet(const wire::GreetRequest&) override { return {}; }
  std::string StateJson() override { return "{}"; }

  void OnRun(const wire::RunRequest&, std::shared_ptr<RunSink> aSink) override
  {
    wire::RunEvent event;
    auto& failed = *event.mutable_failed();
    failed.set_reason(std::string(ToString(Reason::UpstreamFailed)));
    failed.set_verdict(wire::RUN_VERDICT_MAY_HAVE_RUN);
    failed.set_upstream_crashed(true);
    auto& suspicion = *failed.add_suspicions();
    suspicion.set_fingerprint(kFingerprint);
    suspicion.set_crashes(1);
    suspicion.add_crash_ids("crash-" + std::to_string(++m_crashes));
    aSink->Send(event);
    aSink->Finish();
  }

private:
  std::atomic<int>& m_crashes;
};

class RecordingResponder final : public HttpResponder
{
public:
  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    m_status = aStatus;
    m_headers = std::move(aHeaders);
    m_body = std::move(aBody);
    m_done.Notify();
  }
  void BeginStream(int, HttpHeaders) override {}
  bool Write(std::string_view) override { return true; }
  void EndStream() override {}
  void Abort() override {}
  void OnDisconnect(std::function<void()>) override {}

  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  absl::Notification m_done;
};

// An entry's forwarder with agents that all crash.
class ForwarderQuarantineTest : public testing::Test
{
protected:
  ForwarderQuarantineTest()
    : m_client(m_auth, "entry")
  {
    m_routing.m_retries = kAgents;
    m_routing.m_retryBudget = kAgents;
    auto view = std::make_shared<FleetView>();
    for (int i = 0; i < kAgents; ++i) {
      m_agents.push_back(std::make_unique<NodeServer>(
        Address{ "127.0.0.1", 0 }, m_auth, m_handler));
      auto& node = view->m_nodes["vm-" + std::to_string(i)];
      node.m_record.set_vm("vm-" + std::to_string(i));
      node.m_record.set_place("kingston");
      node.m_record.set_role(wire::ROLE_AGENT);
      node.m_record.set_service("svc");
      node.m_record.set_liveness(wire::LIVENESS_ALIVE);
      node.m_record.set_address("127.0.0.1:" +
                                std::to_string(m_agents.back()->Port()));
      node.m_receivedAt = m_clock.Now();
    }
    m_traffic = std::make_shared<Traffic>(
      m_routing, AdmissionSettings{}, "kingston", m_clock, 1);
    m_traffic->OnNodes(*view);
    m_forwarder = std::make_shared<Forwarder>(ForwarderContext{
      .m_client = m_client,
      .m_clock = m_clock,
      .m_view = [view] { return view; },
      .m_routing = m_routing,
      .m_maxStreams = 1,
      .m_traffic = m_traffic,
      .m_broadcastSuspicion =
        [](const wire::Suspicion&, const std::function<void()>& aDone) {
          aDone();
        } });
  }

  std::shared_ptr<RecordingResponder> SendAndWait()
  {
    CallerRequest request;
    request.m_id = "r" + std::to_string(++m_requestCount);
    request.m_service = "svc";
    request.m_team = "team";
    request.m_timeout = std::chrono::seconds(20);
    request.m_method = "POST";
    request.m_path = "/";
    request.m_fingerprint = kFingerprint;
    auto response = std::make_shared<RecordingResponder>();
    m_forwarder->Forward(request, response);
    response->m_done.WaitForNotification();
    return response;
  }

  const AuthSettings m_auth{ "key", { { "key", "secret" } } };
  const SystemClock m_clock;
  std::atomic<int> m_crashes{ 0 };
  CrashingAgent m_handler{ m_crashes };
  std::vector<std::unique_ptr<NodeServer>> m_agents;
  NodeClient m_client;
  RoutingSettings m_routing;
  std::shared_ptr<Traffic> m_traffic;
  std::shared_ptr<Forwarder> m_forwarder;
  int m_requestCount = 0;
};

TEST_F(ForwarderQuarantineTest, QuarantinesARequestAfterTwoCrashes)
{
  const auto first = SendAndWait();
  EXPECT_EQ(first->m_headers["x-siskindeal-verdict"], "may have run");
  EXPECT_EQ(m_crashes, kMaxCrashes);
  const auto second = SendAndWait();
  EXPECT_EQ(second->m_headers["x-siskindeal-verdict"], "not run");
  EXPECT_NE(second->m_body.find(ToString(Reason::Quarantined)),
            std::string::npos);
  EXPECT_EQ(m_crashes, kMaxCrashes);
}

} // namespace
} // namespace siskindeal
