// Tests what an agent concludes from an upstream that does not respond for a
// while.

#include "agent/run_p.h"
#include "agent/upstream_health_p.h"

#include "support/raw_socket.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal {
namespace {

class RecordingSink final : public RunSink
{
public:
  void Send(wire::RunEvent aEvent) override
  {
    m_events.push_back(std::move(aEvent));
  }
  void Finish() override { m_done.Notify(); }
  void OnCancel(std::function<void()>) override {}

  std::vector<wire::RunEvent> m_events;
  absl::Notification m_done;
};

std::shared_ptr<RunService>
MakeService(HttpClient& aHttp, const Clock& aClock, std::uint16_t aPort)
{
  UpstreamSettings upstream;
  upstream.m_service = "svc";
  upstream.m_url = "http://127.0.0.1:" + std::to_string(aPort);
  upstream.m_kind = UpstreamSettings::Kind::Plain;
  RunHooks hooks;
  hooks.m_recordRequestBytes = [](std::uint64_t) {};
  hooks.m_publishSuspicion = [](const wire::Suspicion&) {};
  return std::make_shared<RunService>(
    upstream, aHttp, aClock, "vm", 1, std::move(hooks));
}

wire::RunRequest
MakeRequest(std::chrono::milliseconds aDeadline)
{
  wire::RunRequest request;
  request.set_request_id("r");
  request.set_attempt(1);
  request.set_service("svc");
  request.set_method("POST");
  request.set_path("/work");
  request.set_body("{}");
  request.set_fingerprint(7);
  request.set_deadline_ms(static_cast<std::uint64_t>(aDeadline.count()));
  return request;
}

struct FullBacklogCase
{
  const char* m_case;
  bool m_closes; // else the request's deadline passes
};

TEST(UpstreamSilence, FullAcceptQueueIsNotACrash)
{
  const SystemClock clock;
  for (const auto& backlogCase :
       { FullBacklogCase{ "deadline passes", false },
         FullBacklogCase{ "connection closed", true } }) {
    SCOPED_TRACE(backlogCase.m_case);
    absl::Notification done;
    std::optional<RawSocket> waiting;
    std::uint16_t port = 0;
    RawServer upstream(
      [&](RawSocket& aSocket, int aConnection) {
        aSocket.ReadUntil("\r\n\r\n");
        if (aConnection > 0) {
          return;
        }
        waiting.emplace(port);
        if (backlogCase.m_closes) {
          aSocket.Close();
        }
        done.WaitForNotification();
        waiting.reset();
      },
      0);
    port = upstream.Port();
    HttpClient http;
    const auto recorder = std::make_shared<RecordingSink>();
    MakeService(http, clock, port)
      ->OnRun(MakeRequest(std::chrono::milliseconds(500)), recorder);
    recorder->m_done.WaitForNotification();
    done.Notify();
    const auto& failed = recorder->m_events.back().failed();
    EXPECT_EQ(failed.verdict(), wire::RUN_VERDICT_MAY_HAVE_RUN);
    EXPECT_FALSE(failed.upstream_crashed());
    EXPECT_EQ(failed.suspicions_size(), 0);
  }
}

constexpr std::chrono::milliseconds kSilence{ 1200 };
constexpr std::chrono::milliseconds kLongDeadline{ 60000 };

TEST(UpstreamSilence, ConnectionIsMadeOnceTheUpstreamAcceptsAgain)
{
  const SystemClock clock;
  absl::Notification accepted;
  RawServer upstream(
    [&](RawSocket& aSocket, int aConnection) {
      if (aConnection == 0) {
        accepted.Notify();
        std::this_thread::sleep_for(kSilence);
        return;
      }
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    },
    0);
  const RawSocket paused(upstream.Port());
  accepted.WaitForNotification();
  RawSocket waiting(upstream.Port());
  waiting.Send("\r\n\r\n");
  HttpClient http;
  const auto recorder = std::make_shared<RecordingSink>();
  MakeService(http, clock, upstream.Port())
    ->OnRun(MakeRequest(kLongDeadline), recorder);
  recorder->m_done.WaitForNotification();
  EXPECT_TRUE(recorder->m_events.back().has_finished())
    << recorder->m_events.back().failed().what();
}

struct PauseCase
{
  const char* m_case;
  bool m_stream;
  std::vector<std::string> m_parts; // sent with a pause before each
};

TEST(UpstreamSilence, PausedResponseIsPassedOnWhole)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "transfer-encoding: chunked\r\n\r\n";
  const SystemClock clock;
  for (const auto& pauseCase : std::vector<PauseCase>{
         { "before the response",
           false,
           { head + "content-length: 4\r\n\r\nbody" } },
         { "in the head", false, { head, "content-length: 4\r\n\r\nbody" } },
         { "in the body",
           false,
           { head + "content-length: 4\r\n\r\nbo", "dy" } },
         { "in a stream",
           true,
           { chunked + "2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n" } },
         { "in a chunk of a stream",
           true,
           { chunked + "4\r\nbo", "dy\r\n0\r\n\r\n" } },
       }) {
    RawServer upstream([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      for (const auto& part : pauseCase.m_parts) {
        std::this_thread::sleep_for(kSilence);
        aSocket.Send(part);
      }
    });
    HttpClient http;
    const auto recorder = std::make_shared<RecordingSink>();
    auto request = MakeRequest(kLongDeadline);
    request.set_stream(pauseCase.m_stream);
    MakeService(http, clock, upstream.Port())->OnRun(request, recorder);
    recorder->m_done.WaitForNotification();
    std::string body;
    for (const auto& event : recorder->m_events) {
      body += event.body();
    }
    EXPECT_TRUE(recorder->m_events.back().has_finished()) << pauseCase.m_case;
    EXPECT_EQ(body, "body") << pauseCase.m_case;
  }
}

HttpReply
PollReply(HttpOutcome aOutcome, HttpFault aFault)
{
  HttpReply reply;
  reply.m_outcome = aOutcome;
  reply.m_fault = aFault;
  return reply;
}

struct PollCase
{
  const char* m_case;
  std::vector<HttpReply> m_polls; // after one that was answered
  bool m_up;
};

TEST(UpstreamSilence, UnansweredPollsInARowTakeAnUpstreamDown)
{
  const auto answered = PollReply(HttpOutcome::Answered, HttpFault::None);
  const auto unanswered =
    PollReply(HttpOutcome::SentNoReply, HttpFault::TimedOut);
  const auto unconnected = PollReply(HttpOutcome::NotSent, HttpFault::TimedOut);
  const auto refused =
    PollReply(HttpOutcome::NotSent, HttpFault::ConnectionRefused);
  const auto reset = PollReply(HttpOutcome::SentNoReply, HttpFault::Other);
  for (const auto& pollCase : std::vector<PollCase>{
         { "answered", { answered }, true },
         { "one unanswered", { unanswered }, true },
         { "two unanswered", { unanswered, unconnected }, true },
         { "three unanswered", { unanswered, unconnected, unanswered }, false },
         { "answered between",
           { unanswered, unanswered, answered, unanswered, unanswered },
           true },
         { "refused", { refused }, false },
         { "reset", { reset }, false },
         { "unanswered after refused", { refused, unanswered }, false },
         { "answered after refused", { refused, answered }, true },
       }) {
    UpstreamHealth health;
    health.OnPolled(answered);
    bool up = true;
    for (const auto& reply : pollCase.m_polls) {
      EXPECT_TRUE(health.TryBeginPoll());
      EXPECT_FALSE(health.TryBeginPoll());
      const bool changed = health.OnPolled(reply);
      EXPECT_EQ(changed, health.IsUp() != up) << pollCase.m_case;
      up = health.IsUp();
    }
    EXPECT_EQ(up, pollCase.m_up) << pollCase.m_case;
  }
}

} // namespace
} // namespace siskindeal
