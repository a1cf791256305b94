#include "siskindeal/rpc.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <mutex>
#include <vector>

namespace siskindeal {
namespace {

constexpr std::chrono::seconds kHangGuard{ 20 };

// Responds to Run with a body in two parts. A request with the body "hang"
// stays open until it is cancelled.
class ScriptedHandler : public NodeHandler
{
public:
  wire::GreetReply OnGreet(const wire::GreetRequest&) override
  {
    wire::GreetReply reply;
    reply.set_vm("agent-1");
    return reply;
  }
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  Done<wire::ExchangeReply> aDone) override
  {
    wire::ExchangeReply reply;
    reply.set_number(aRequest.number() + 1);
    aDone(reply);
  }
  void OnRun(const wire::RunRequest& aRequest,
             std::shared_ptr<RunSink> aSink) override
  {
    if (aRequest.body() == "hang") {
      aSink->OnCancel([this, aSink] {
        aSink->Finish();
        m_cancelled.Notify();
      });
      return;
    }
    wire::RunEvent event;
    event.mutable_started()->set_status(200);
    aSink->Send(event);
    event.set_body("first ");
    aSink->Send(event);
    event.set_body("second");
    aSink->Send(event);
    event.mutable_finished()->set_body_bytes(12);
    aSink->Send(event);
    aSink->Finish();
  }
  std::string StateJson() override { return "{}"; }

  absl::Notification m_cancelled;
};

AuthSettings
AuthWithActiveKey(const std::string& aActive)
{
  return { aActive, { { "old", "secret-1" }, { "new", "secret-2" } } };
}

RpcStatus
CallExchange(NodeClient& aClient, const std::string& aAddress)
{
  absl::Notification done;
  RpcStatus result;
  wire::ExchangeRequest request;
  request.set_number(41);
  aClient.Exchange(aAddress,
                   request,
                   kHangGuard,
                   [&](RpcStatus aStatus, wire::ExchangeReply aReply) {
                     result = aStatus;
                     if (aStatus.m_outcome == RpcOutcome::Ok) {
                       EXPECT_EQ(aReply.number(), 42U);
                     }
                     done.Notify();
                   });
  done.WaitForNotification();
  return result;
}

TEST(Rpc, AcceptsCallsSignedWithAnyListedKeyAndRefusesOthers)
{
  ScriptedHandler handler;
  NodeServer server({ "127.0.0.1", 0 }, AuthWithActiveKey("new"), handler);
  const auto address = "127.0.0.1:" + std::to_string(server.Port());
  struct Case
  {
    AuthSettings m_auth;
    RpcOutcome m_outcome;
  };
  const std::vector<Case> cases = {
    { AuthWithActiveKey("new"), RpcOutcome::Ok },
    { AuthWithActiveKey("old"), RpcOutcome::Ok },
    { {}, RpcOutcome::Refused },
    { { "new", { { "new", "guessed" } } }, RpcOutcome::Refused },
    { { "gone", { { "gone", "secret-1" } } }, RpcOutcome::Refused },
  };
  for (const auto& item : cases) {
    NodeClient client(item.m_auth, "entry-1");
    EXPECT_EQ(CallExchange(client, address).m_outcome, item.m_outcome);
  }
}

TEST(Rpc, CallWithoutListenerIsReportedAsNotSent)
{
  ScriptedHandler handler;
  std::string address;
  {
    NodeServer server({ "127.0.0.1", 0 }, {}, handler);
    address = "127.0.0.1:" + std::to_string(server.Port());
  }
  NodeClient client({}, "entry-1");
  EXPECT_EQ(CallExchange(client, address).m_outcome, RpcOutcome::NotSent);
}

TEST(Rpc, RunDeliversEventsInOrderAndCancelReachesTheAgent)
{
  ScriptedHandler handler;
  NodeServer server({ "127.0.0.1", 0 }, {}, handler);
  const auto address = "127.0.0.1:" + std::to_string(server.Port());
  NodeClient client({}, "entry-1");
  wire::RunRequest request;
  request.set_request_id("r1");
  request.set_attempt(2);
  std::string body;
  bool finished = false;
  absl::Notification ended;
  const auto call = client.Run(
    address,
    request,
    kHangGuard,
    [&](wire::RunEvent aEvent) {
      body += aEvent.body();
      finished = aEvent.has_finished();
    },
    [&](RpcStatus aStatus) {
      EXPECT_EQ(aStatus.m_outcome, RpcOutcome::Ok);
      ended.Notify();
    });
  ended.WaitForNotification();
  EXPECT_EQ(body, "first second");
  EXPECT_TRUE(finished);

  request.set_body("hang");
  absl::Notification cancelled;
  const auto pendingCall = client.Run(
    address,
    request,
    kHangGuard,
    [](wire::RunEvent) {},
    [&](RpcStatus aStatus) {
      EXPECT_EQ(aStatus.m_outcome, RpcOutcome::Unknown);
      cancelled.Notify();
    });
  while (CallExchange(client, address).m_outcome != RpcOutcome::Ok) {
  }
  pendingCall->Cancel();
  cancelled.WaitForNotification();
  handler.m_cancelled.WaitForNotification();
}

// Overrides only the pure virtual functions.
class MinimalHandler : public NodeHandler
{
public:
  wire::GreetReply OnGreet(const wire::GreetRequest&) override { return {}; }
  std::string StateJson() override { return "{}"; }
};

// Waits for the reply of a call, which must succeed.
template<typename Reply, typename Call>
Reply
AwaitReply(const Call& aCall)
{
  Reply reply;
  absl::Notification done;
  aCall([&](RpcStatus aStatus, Reply aReply) {
    EXPECT_EQ(aStatus.m_outcome, RpcOutcome::Ok) << aStatus.m_what;
    reply = std::move(aReply);
    done.Notify();
  });
  done.WaitForNotification();
  return reply;
}

TEST(Rpc, UnimplementedCallsAreRefused)
{
  MinimalHandler handler;
  NodeServer server({ "127.0.0.1", 0 }, {}, handler);
  const auto address = "127.0.0.1:" + std::to_string(server.Port());
  NodeClient client({}, "entry-1");

  const auto order = AwaitReply<wire::OrderReply>([&](auto aDone) {
    client.Order(address, wire::OrderRequest(), kHangGuard, aDone);
  });
  EXPECT_FALSE(order.accepted());
  EXPECT_EQ(order.reason(), "bad_request");
  const auto chunk = AwaitReply<wire::ChunkReply>([&](auto aDone) {
    client.Chunk(address, wire::ChunkRequest(), kHangGuard, aDone);
  });
  EXPECT_TRUE(chunk.missing());
  AwaitReply<wire::ExchangeReply>([&](auto aDone) {
    client.Exchange(address, wire::ExchangeRequest(), kHangGuard, aDone);
  });
  AwaitReply<wire::CancelReply>([&](auto aDone) {
    client.Cancel(address, wire::CancelRequest(), kHangGuard, aDone);
  });
  AwaitReply<wire::HaveReply>([&](auto aDone) {
    client.Have(address, wire::HaveRequest(), kHangGuard, aDone);
  });

  std::vector<wire::RunEvent> events;
  absl::Notification ended;
  const auto call = client.Run(
    address,
    wire::RunRequest(),
    kHangGuard,
    [&](const wire::RunEvent& aEvent) { events.push_back(aEvent); },
    [&](const RpcStatus&) { ended.Notify(); });
  ended.WaitForNotification();
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].failed().reason(), "not_found");
  EXPECT_EQ(events[0].failed().verdict(), wire::RUN_VERDICT_NOT_RUN);
}

} // namespace
} // namespace siskindeal
