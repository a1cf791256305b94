// Tests that each accepted request gets one complete response, whatever happens
// beside it: stops, reloads, configurations, lists of runners and pauses.

#include "support/gateway_fixture.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

#include <cstdio>
#include <functional>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

const std::string kEndOfHead = "\r\n\r\n";

void
Pause(int)
{
  std::this_thread::sleep_for(milliseconds(2500));
}

// Whether a response holds as many bytes of body as its head says.
bool
IsWhole(const std::string& aAnswer)
{
  const std::string kLength = "Content-Length: ";
  const auto end = aAnswer.find(kEndOfHead);
  const auto length = aAnswer.find(kLength);
  return end != std::string::npos && length < end &&
         std::stoul(aAnswer.substr(length + kLength.size())) ==
           aAnswer.size() - end - kEndOfHead.size();
}

class UnansweredRequestsTest : public GatewayTest
{
protected:
  void TearDown() override
  {
    GatewayTest::TearDown();
    m_site.RunOnLoop([&] { m_running.clear(); });
  }

  // Adds a runner that answers nothing until AnswerAll.
  void AddWaitingRunner(const std::string& aService,
                        const nlohmann::json& aExtraFields = {})
  {
    m_address = m_site.AddRunner(
      "i-1",
      aService,
      [&](const auto& aConnection) {
        m_running.push_back(aConnection);
        ++m_begun;
      },
      aExtraFields);
  }

  void AnswerAll()
  {
    m_site.RunOnLoop([&] {
      for (const auto& connection : m_running) {
        Answer(connection);
      }
      m_running.clear();
    });
  }

  bool AcceptsConnections()
  {
    try {
      const RawSocket probe(m_gateway->CallersPort());
      return true;
    } catch (const std::system_error&) {
      return false;
    }
  }

  bool AppliesConfig(std::uint64_t aVersion)
  {
    return Eventually([&] {
      RawSocket socket(m_gateway->AdminPort());
      socket.Send(
        "GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      const std::string answer = socket.ReadAll();
      const auto body = answer.find(kEndOfHead) + kEndOfHead.size();
      return nlohmann::json::parse(answer.substr(body)).at("config") ==
             aVersion;
    });
  }

  Address m_address;
  std::atomic<int> m_begun = 0;
  std::vector<std::shared_ptr<ServerConnection>> m_running;
};

TEST_F(UnansweredRequestsTest, RefusalAfterAHeadRequestIsComplete)
{
  m_site.AddRunner("i-1", "get", [&](const auto& aConnection) {
    Answer(aConnection, 200, "");
  });
  StartAndAwaitReady();
  RawSocket socket(m_gateway->CallersPort());
  socket.Send("HEAD /get/a HTTP/1.1\r\nHost: x.example\r\n"
              "X-Siskindeal-Attempt-Id: id-1\r\n"
              "Authorization: Bearer key-1\r\n\r\n");
  ASSERT_NE(socket.ReadUntil(kEndOfHead).find(" 200 "), std::string::npos);
  socket.Send("GET  HTTP/1.1\r\n\r\n");
  const std::string answer = socket.ReadAll();
  EXPECT_NE(answer.find(" 400 "), std::string::npos) << answer;
  EXPECT_TRUE(IsWhole(answer)) << answer;
}

TEST_F(UnansweredRequestsTest, StreamTakenLateInAStopIsNotCutOff)
{
  m_graceSeconds = 1.5;
  m_site.AddRunner("i-1", "chat", [&](const auto& aConnection) {
    aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
    aConnection->SendPart("id: 1\ndata: a\n\n");
    if (m_begun++ > 0) {
      m_running.push_back(aConnection); // a stream that goes on
      return;
    }
    aConnection->SendEnd();
  });
  StartAndAwaitReady();
  ASSERT_NE(SendRequest(Request("POST", "/chat/a")).find("\r\n0\r\n\r\n"),
            std::string::npos);
  const std::string request = Request("POST", "/chat/a", {}, "four tees");
  RawSocket socket(m_gateway->CallersPort());
  socket.Send(request.substr(0, request.size() - 4));
  EXPECT_TRUE(IsReady() && IsReady()); // it has been accepted meanwhile
  m_gateway->RequestShutdown();
  ASSERT_TRUE(Eventually([&] { return !AcceptsConnections(); }));
  socket.Send(request.substr(request.size() - 4));
  const std::string answer = socket.ReadAll();
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_TRUE(IsWhole(answer)) << answer;
  EXPECT_EQ(m_begun, 1);
}

TEST_F(UnansweredRequestsTest, ReloadDuringAStopDoesNotCutItShort)
{
  m_settingsFile =
    testing::TempDir() + "unanswered_" + std::to_string(getpid()) + ".toml";
  m_graceSeconds = 20;
  m_answerLifetime = milliseconds(500);
  AddWaitingRunner("post");
  StartAndAwaitReady();
  RawSocket socket(m_gateway->CallersPort());
  socket.Send(Request("POST", "/post/a"));
  ASSERT_TRUE(Eventually([&] { return m_begun == 1; }));
  m_gateway->RequestShutdown();
  ASSERT_TRUE(Eventually([&] { return !IsReady(); }));
  WriteSettings("grace_seconds = 0.35\nanswer_lifetime = \"10ms\"\n");
  ASSERT_EQ(kill(getpid(), SIGHUP), 0);
  // The listener closes once callers' addresses have lapsed.
  ASSERT_TRUE(Eventually([&] { return !AcceptsConnections(); }));
  std::this_thread::sleep_for(milliseconds(500)); // longer than the new period
  AnswerAll();
  const std::string answer = socket.ReadAll();
  EXPECT_NE(answer.find("booked"), std::string::npos) << answer;
  std::remove(m_settingsFile.c_str());
}

TEST_F(UnansweredRequestsTest, RequestsAreAnsweredBesideWhatChanges)
{
  struct Case
  {
    const char* m_name;
    std::function<void()> m_change;
  };
  nlohmann::json config = ConfigJson(1);
  std::uint64_t version = 1;
  const auto putConfig = [&] {
    config["version"] = ++version;
    m_site.Put("config", "main", config);
    EXPECT_TRUE(AppliesConfig(version));
  };
  const Case cases[] = {
    { "route removed",
      [&] {
        config["routes"].erase(1);
        putConfig();
      } },
    { "key removed",
      [&] {
        config["tenants"][0]["api_keys"] = { "key-2" };
        putConfig();
      } },
    { "service removed",
      [&] {
        config["services"].erase(1);
        config["routes"].erase(1);
        putConfig();
      } },
    { "limits lowered",
      [&] {
        config["limits"] = { { "max_header_bytes", 300 },
                             { "max_body_bytes", 4 },
                             { "header_timeout_ms", 2000 },
                             { "idle_timeout_ms", 2000 } };
        putConfig();
      } },
    { "timeout lowered",
      [&] {
        config["routes"][1]["timeout_ms"] = 1;
        putConfig();
      } },
    { "runner removed",
      [&] {
        m_site.Remove("servers", "i-1");
        EXPECT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
      } },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.m_name);
    config = ConfigJson(version);
    AddWaitingRunner("post");
    if (!m_gateway) {
      StartAndAwaitReady();
    } else {
      putConfig();
    }
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    const std::string request = Request("POST", "/post/a", {}, "four tees");
    const int before = m_begun;
    RawSocket running(m_gateway->CallersPort());
    running.Send(request);
    ASSERT_TRUE(Eventually([&] { return m_begun == before + 1; }));
    RawSocket inBody(m_gateway->CallersPort());
    inBody.Send(request.substr(0, request.size() - 4));
    EXPECT_TRUE(IsReady());
    one.m_change();
    inBody.Send(request.substr(request.size() - 4));
    std::this_thread::sleep_for(milliseconds(100));
    AnswerAll();
    EXPECT_NE(running.ReadAll().find("booked"), std::string::npos);
    EXPECT_TRUE(IsWhole(inBody.ReadAll()));
    m_site.Remove("servers", "i-1");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

TEST_F(UnansweredRequestsTest, RequestsWithUnusualFieldsAreAnswered)
{
  nlohmann::json config = ConfigJson(1);
  config["routes"][1].erase("timeout_ms");
  m_site.Put("config", "main", config);
  for (const char* service : { "get", "post" }) {
    m_site.AddRunner(
      std::string("i-") + service, service, [](const auto& aConnection) {
        HttpFields fields;
        fields.Add("X-Siskindeal-Runner-Signature", "sig-7");
        if (const std::string* id =
              aConnection->Request().m_fields.Find("x-siskindeal-attempt-id")) {
          fields.Add("X-Siskindeal-Attempt-Id", *id);
        }
        aConnection->SendResponse(200, {}, fields, "booked");
      });
  }
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  for (const char* path : { "/get/a", "/post/a", "/get/\xff\xfe?\xc3" }) {
    for (const char* field : {
           "X-Siskindeal-Attempt-Id: \xff\xfe\xc3\x28",
           "X-Siskindeal-Attempt-Id:",
           "X-Siskindeal-Model: \xff\xc3",
           "X-Siskindeal-Model: 0",
           "X-Siskindeal-Prompt-Prefix: \xff:1,\xfe:2",
           "X-Siskindeal-Prompt-Prefix: ,,,:",
           "X-Siskindeal-Prompt-Prefix: a:99999999999999999999,b:-1",
           "X-Siskindeal-Token-Usage: 99999999999999999999,1",
           "X-Siskindeal-Token-Usage: 4294967295,4294967295",
           "X-Siskindeal-Token-Usage: -1,-1",
           "X-Siskindeal-Deadline-Ms: 9223372036854775807",
           "X-Siskindeal-Deadline-Ms: 9223372036854",
           "X-Siskindeal-Deadline-Ms: 1e3",
           "X-Siskindeal-Deadline-Ms: -9223372036854775808",
           "Last-Event-Id: 18446744073709551615",
           "Last-Event-Id: \xff",
           "Connection: \xff, close, authorization",
           "Host: \xff\xfe",
           "Authorization: Bearer \xff",
         }) {
      SCOPED_TRACE(std::string(path) + " " + field);
      const std::string name(field, std::string(field).find(':') + 1);
      std::string head =
        std::string("POST ") + path + " HTTP/1.1\r\n" + field + "\r\n";
      for (const char* usual : { "Host: x.example",
                                 "Connection: close",
                                 "X-Siskindeal-Attempt-Id: id-1",
                                 "Authorization: Bearer key-1",
                                 "Content-Length: 0" }) {
        if (std::string(usual).rfind(name, 0) != 0) {
          head += std::string(usual) + "\r\n";
        }
      }
      const std::string answer = SendRequest(head + "\r\n");
      EXPECT_TRUE(IsWhole(answer)) << answer;
      if (name == "X-Siskindeal-Deadline-Ms:" && field[26] == '9') {
        EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
      }
    }
  }
  EXPECT_TRUE(IsReady());
}

// Guards against an answer that is given up unread, because a tick that was due
// before the pause runs before the sockets are read after it.
TEST_F(UnansweredRequestsTest, AnswerIsReadBeforeATickThatWasDueBeforeAPause)
{
  AddWaitingRunner("post");
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
  RawSocket socket(m_gateway->CallersPort());
  std::string request = Request("POST", "/post/a");
  request.replace(request.find("3000"), 4, "2000");
  socket.Send(request);
  ASSERT_TRUE(Eventually([&] { return m_begun == 1; }));
  Loop& loop = m_gateway->EventLoop();
  boost::asio::post(loop, [&] {
    // The loop's next poll finds the tick due and queues it behind the pause.
    boost::asio::post(loop, [&] {
      AnswerAll();
      std::this_thread::sleep_for(milliseconds(2500));
    });
    std::this_thread::sleep_for(milliseconds(100));
  });
  const std::string answer = socket.ReadAll();
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_TRUE(IsWhole(answer));
}

TEST_F(UnansweredRequestsTest, AnswerThatArrivedInAPauseIsDelivered)
{
  std::signal(SIGUSR1, Pause);
  for (const std::size_t size : { 800UL, 400000UL }) {
    SCOPED_TRACE(size);
    const int before = m_begun;
    AddWaitingRunner("post");
    if (!m_gateway) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    RawSocket socket(m_gateway->CallersPort());
    std::string request = Request("POST", "/post/a");
    request.replace(request.find("3000"), 4, "2000");
    socket.Send(request);
    ASSERT_TRUE(Eventually([&] { return m_begun == before + 1; }));
    ASSERT_EQ(pthread_kill(m_thread.native_handle(), SIGUSR1), 0);
    m_site.RunOnLoop([&] {
      Answer(m_running.back(), 200, std::string(size, 'x'));
      m_running.clear();
    });
    const std::string answer = socket.ReadAll();
    EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer.substr(0, 300);
    EXPECT_TRUE(IsWhole(answer));
    m_site.Remove("servers", "i-1");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

} // namespace

} // namespace siskindeal
