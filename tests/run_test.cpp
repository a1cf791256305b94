// What an agent makes of each way in which its upstream can answer or fail.

#include "agent/run_p.h"

#include "support/raw_socket.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace siskindeal {
namespace {

constexpr const char* kDigest = "d1";

// Keeps what the agent sends; told when the run is over.
class Recorder final : public RunSink
{
public:
  void Send(wire::RunEvent aEvent) override
  {
    if (m_inFlight && (aEvent.has_finished() || aEvent.has_failed())) {
      m_inFlightAtEnd = m_inFlight();
    }
    m_events.push_back(std::move(aEvent));
  }
  void Finish() override { m_over.Notify(); }
  void OnCancel(std::function<void()>) override {}

  std::vector<wire::RunEvent> m_events;
  absl::Notification m_over;
  std::function<std::size_t()> m_inFlight; // asked at the last event
  std::size_t m_inFlightAtEnd = 1;
};

std::string
Answer(const std::string& aHead, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aHead + "\r\n" + aBody;
}

struct Row
{
  const char* m_fault;
  bool m_model;
  bool m_stream;
  std::function<void(RawSocket&)> m_upstream; // after it has read the request
  const char* m_reason;                       // empty: finished whole
  wire::RunVerdict m_verdict;
};

const std::vector<Row> kRows = {
  { "none",
    false,
    false,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("content-length: 2\r\n", "ok"));
    },
    "",
    wire::RUN_VERDICT_RAN },
  { "connection closed with no answer",
    false,
    false,
    [](RawSocket& aSocket) { aSocket.Close(); },
    "upstream_failed",
    wire::RUN_VERDICT_MAY_HAVE_RUN },
  { "connection reset with no answer",
    false,
    false,
    [](RawSocket& aSocket) { aSocket.Reset(); },
    "upstream_failed",
    wire::RUN_VERDICT_MAY_HAVE_RUN },
  { "body shorter than its length",
    false,
    false,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("content-length: 9\r\n", "half"));
      aSocket.Close();
    },
    "upstream_failed",
    wire::RUN_VERDICT_MAY_HAVE_RUN },
  { "no answer before the deadline",
    false,
    false,
    [](RawSocket& aSocket) { aSocket.ReadAll(); },
    "upstream_failed",
    wire::RUN_VERDICT_MAY_HAVE_RUN },
  { "stream whole",
    true,
    true,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("x-weights-digest: d1\r\ncontent-length: 24\r\n",
                          "data: {}\n\ndata: [DONE]\n\n"));
    },
    "",
    wire::RUN_VERDICT_RAN },
  { "stream without its end marker",
    true,
    true,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("x-weights-digest: d1\r\ncontent-length: 10\r\n",
                          "data: {}\n\n"));
    },
    "truncated_answer",
    wire::RUN_VERDICT_MAY_HAVE_RUN },
  { "stream from other weights",
    true,
    true,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("x-weights-digest: d2\r\ncontent-length: 14\r\n",
                          "data: [DONE]\n\n"));
    },
    "digest_mismatch",
    wire::RUN_VERDICT_RAN },
  { "whole answer that names no weights",
    true,
    false,
    [](RawSocket& aSocket) {
      aSocket.Send(Answer("content-length: 2\r\n", "{}"));
    },
    "digest_mismatch",
    wire::RUN_VERDICT_RAN },
};

const Row&
RowOf(const std::string& aFault)
{
  return *std::find_if(kRows.begin(), kRows.end(), [&](const Row& aRow) {
    return aRow.m_fault == aFault;
  });
}

std::shared_ptr<RunService>
MakeService(HttpClient& aHttp,
            const Clock& aClock,
            std::uint16_t aPort,
            bool aModel,
            std::atomic<std::uint64_t>* aLiveBytes = nullptr)
{
  UpstreamSettings upstream;
  upstream.m_service = "svc";
  upstream.m_url = "http://127.0.0.1:" + std::to_string(aPort);
  upstream.m_kind =
    aModel ? UpstreamSettings::Kind::Model : UpstreamSettings::Kind::Plain;
  RunGates gates;
  gates.m_useWeights = [](const std::string&) {
    return std::make_shared<int>(0);
  };
  gates.m_noteLiveBytes = [aLiveBytes](std::uint64_t aBytes) {
    if (aLiveBytes != nullptr) {
      aLiveBytes->fetch_add(aBytes);
    }
  };
  gates.m_onWeightsRefused = [] {};
  gates.m_spread = [](const wire::Suspicion&) {};
  return std::make_shared<RunService>(
    upstream, aHttp, aClock, "vm", 1, std::move(gates));
}

wire::RunRequest
Request(const Row& aRow)
{
  wire::RunRequest request;
  request.set_request_id("r");
  request.set_attempt(1);
  request.set_service("svc");
  request.set_method("POST");
  request.set_path("/work");
  request.set_body("{}");
  request.set_stream(aRow.m_stream);
  request.set_deadline_ms(500);
  request.set_expected_digest(aRow.m_model ? kDigest : "");
  return request;
}

void
ExpectRow(const Row& aRow, const Recorder& aRecorder)
{
  ASSERT_FALSE(aRecorder.m_events.empty()) << aRow.m_fault;
  const auto& last = aRecorder.m_events.back();
  if (*aRow.m_reason == 0) {
    EXPECT_TRUE(last.has_finished()) << aRow.m_fault;
    return;
  }
  ASSERT_TRUE(last.has_failed()) << aRow.m_fault;
  EXPECT_EQ(last.failed().reason(), aRow.m_reason) << aRow.m_fault;
  EXPECT_EQ(last.failed().verdict(), aRow.m_verdict) << aRow.m_fault;
  for (const auto& event : aRecorder.m_events) {
    EXPECT_FALSE(event.has_finished()) << aRow.m_fault;
  }
}

TEST(Run, EachFaultOfTheUpstreamHasItsVerdict)
{
  const SystemClock clock;
  for (const auto& row : kRows) {
    RawServer upstream([&](RawSocket& aSocket, int aConnection) {
      aSocket.ReadUntil("\r\n\r\n");
      if (aConnection == 0) {
        row.m_upstream(aSocket);
      }
    });
    HttpClient http;
    const auto recorder = std::make_shared<Recorder>();
    const auto service = MakeService(http, clock, upstream.Port(), row.m_model);
    recorder->m_inFlight = [&] { return service->InFlight(); };
    service->OnRun(Request(row), recorder);
    recorder->m_over.WaitForNotification();
    ExpectRow(row, *recorder);
    EXPECT_EQ(recorder->m_inFlightAtEnd, 0U) << row.m_fault;
  }
}

TEST(Run, LiveBytesOfBothDirectionsAreToldToTheLink)
{
  struct Transfer
  {
    const char* m_row;
    std::uint64_t m_bytes; // "{}" there, the body back
  };
  const SystemClock clock;
  for (const auto& [name, bytes] :
       { Transfer{ "none", 4 }, Transfer{ "stream whole", 26 } }) {
    const auto& row = RowOf(name);
    RawServer upstream([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      row.m_upstream(aSocket);
    });
    std::atomic<std::uint64_t> told{ 0 };
    HttpClient http;
    const auto recorder = std::make_shared<Recorder>();
    MakeService(http, clock, upstream.Port(), row.m_model, &told)
      ->OnRun(Request(row), recorder);
    recorder->m_over.WaitForNotification();
    EXPECT_EQ(told.load(), bytes) << name;
  }
}

TEST(Run, ARefusedConnectionAndAGivenUpAttemptAreNotRun)
{
  const SystemClock clock;
  HttpClient http;
  const auto recorder = std::make_shared<Recorder>();
  const auto service = MakeService(http, clock, UnusedPort(), false);
  service->OnRun(Request(kRows.front()), recorder);
  recorder->m_over.WaitForNotification();
  ASSERT_TRUE(recorder->m_events.back().has_failed());
  EXPECT_EQ(recorder->m_events.back().failed().verdict(),
            wire::RUN_VERDICT_NOT_RUN);

  wire::CancelRequest cancel;
  cancel.set_request_id("late");
  cancel.set_attempt(1);
  cancel.set_incarnation(1);
  cancel.set_age_ms(1);
  EXPECT_TRUE(service->OnCancel(cancel).not_started());
  auto late = Request(kRows.front());
  late.set_request_id("late");
  const auto refused = std::make_shared<Recorder>();
  service->OnRun(late, refused);
  refused->m_over.WaitForNotification();
  EXPECT_EQ(refused->m_events.back().failed().verdict(),
            wire::RUN_VERDICT_NOT_RUN);
  cancel.set_incarnation(2); // of another start of the agent
  cancel.set_request_id("other");
  EXPECT_FALSE(service->OnCancel(cancel).not_started());
}

// The header's line in a request.
std::string
HeaderLine(const std::string& aRequest, const std::string& aName)
{
  const auto at = aRequest.find(aName + ": ");
  return at == std::string::npos
           ? ""
           : aRequest.substr(at, aRequest.find('\r', at) - at);
}

// A suspect whose stream is resumed shows nothing about its beginning.
TEST(Run, AResumedStreamDoesNotClearItsRequest)
{
  const SystemClock clock;
  const auto& whole = RowOf("stream whole");
  std::vector<std::string> heads;
  RawServer upstream([&](RawSocket& aSocket, int) {
    heads.push_back(aSocket.ReadUntil("\r\n\r\n"));
    whole.m_upstream(aSocket);
    aSocket.Close();
  });
  HttpClient http;
  const auto service = MakeService(http, clock, upstream.Port(), true);
  wire::Suspicion suspicion;
  suspicion.set_fingerprint(7);
  suspicion.set_crashes(1);
  suspicion.add_crash_ids("vm/1/1");
  service->Merge(suspicion);
  auto request = Request(whole);
  request.set_fingerprint(7);
  const auto run = [&](bool aAlone, std::uint64_t aFrom) {
    request.set_attempt(request.attempt() + 1);
    request.set_isolated(aAlone);
    request.set_resume_from(aFrom);
    const auto recorder = std::make_shared<Recorder>();
    service->OnRun(request, recorder);
    recorder->m_over.WaitForNotification();
    while (service->InFlight() > 0) { // a session leaves after its last event
      std::this_thread::yield();
    }
    return recorder->m_events.back().has_finished();
  };
  EXPECT_TRUE(run(true, 3));
  EXPECT_FALSE(run(false, 0)); // still a suspect
  EXPECT_TRUE(run(true, 0));
  EXPECT_TRUE(run(false, 0)); // cleared
  ASSERT_EQ(heads.size(), 3U);
  EXPECT_EQ(HeaderLine(heads[0], "x-resume-from"), "x-resume-from: 3");
  EXPECT_EQ(HeaderLine(heads[1], "x-resume-from"), "");
  EXPECT_EQ(HeaderLine(heads[0], "x-completion-id"), "x-completion-id: r");
  EXPECT_NE(HeaderLine(heads[0], "x-seed"), "");
  EXPECT_EQ(HeaderLine(heads[0], "x-seed"), HeaderLine(heads[1], "x-seed"));
}

// An upstream that ends refuses connections before it has closed all of those
// that it had accepted.
TEST(Run, ACrashIsNoticedThoughAKeptConnectionStillAnswers)
{
  constexpr std::size_t kKept = 3; // one is lost, one takes libcurl's own retry
  const SystemClock clock;
  HttpClient http;
  std::unique_ptr<HttpServer> upstream;
  std::vector<std::shared_ptr<HttpResponder>> held;
  std::size_t requests = 0;
  upstream = std::make_unique<HttpServer>(
    "127.0.0.1",
    std::uint16_t{ 0 },
    HttpServerLimits(),
    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& aResponder) {
      ++requests;
      if (requests <= kKept) {
        held.push_back(aResponder);
      }
      if (requests == kKept) {
        for (const auto& responder : held) {
          responder->Respond(200, {}, "ok");
        }
        held.clear();
      } else if (requests == kKept + 1) {
        upstream->StopListening();
        aResponder->Abort();
      } else if (requests > kKept) {
        aResponder->Respond(404, {}, "");
      }
    });
  const auto service = MakeService(http, clock, upstream->Port(), false);
  const auto run = [&](const std::string& aId) {
    auto request = Request(kRows.front());
    request.set_request_id(aId);
    request.set_fingerprint(7);
    request.set_deadline_ms(10000);
    auto recorder = std::make_shared<Recorder>();
    service->OnRun(request, recorder);
    return recorder;
  };
  std::vector<std::shared_ptr<Recorder>> recorders;
  for (std::size_t i = 0; i < kKept; ++i) {
    recorders.push_back(run(std::to_string(i)));
  }
  for (const auto& recorder : recorders) {
    recorder->m_over.WaitForNotification();
  }
  const auto crashed = run("crash");
  crashed->m_over.WaitForNotification();
  ASSERT_TRUE(crashed->m_events.back().has_failed());
  EXPECT_TRUE(crashed->m_events.back().failed().upstream_crashed());
}

struct RestartRow
{
  const char* m_case;
  const char* m_before; // the upstream's start, as last heard
  const char* m_after;  // as the probe says after the answer was lost
  bool m_crashed;
};

TEST(Run, AnUpstreamThatRestartedAtOnceHasCrashed)
{
  const SystemClock clock;
  for (const auto& row : std::vector<RestartRow>{
         { "another start", "1", "2", true },
         { "the same start", "1", "1", false },
         { "no start named", "", "", false },
         { "no start known before", "", "2", false },
       }) {
    RawServer upstream([&](RawSocket& aSocket, int aConnection) {
      aSocket.ReadUntil("\r\n\r\n");
      if (aConnection > 0) {
        aSocket.Send(Answer("x-upstream-instance: " + std::string(row.m_after) +
                              "\r\ncontent-length: 2\r\n",
                            "{}"));
      }
      aSocket.Close();
    });
    HttpClient http;
    const auto recorder = std::make_shared<Recorder>();
    const auto service = MakeService(http, clock, upstream.Port(), false);
    service->NoteInstance({ { "x-upstream-instance", row.m_before } });
    auto request = Request(kRows.front());
    request.set_fingerprint(7);
    service->OnRun(request, recorder);
    recorder->m_over.WaitForNotification();
    const auto& failed = recorder->m_events.back().failed();
    EXPECT_EQ(failed.reason(), "upstream_failed") << row.m_case;
    EXPECT_EQ(failed.upstream_crashed(), row.m_crashed) << row.m_case;
    EXPECT_EQ(failed.suspicions_size(), row.m_crashed ? 1 : 0) << row.m_case;
  }
}

} // namespace
} // namespace siskindeal
