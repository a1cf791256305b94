// Tests rejections that come once more with the right id: two entries with one
// address, and a caller that uses one id twice.

#include "support/raw_runner.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

namespace siskindeal {

namespace {

// The parts of a rejection that a runner writes once more.
struct Part
{
  const char* m_name;
  std::string m_end; // the last bytes of the part; empty: all
};

std::vector<Part>
Parts()
{
  return { { "whole", "" },
           { "status line, in part", "HTTP/1.1 4" },
           { "reason, in part", "HTTP/1.1 421 Rej" },
           { "status line", "Rejected\r\n" },
           { "name of the id", "X-Siskindeal-Att" },
           { "id, in part", "X-Siskindeal-Attempt-Id: n" },
           { "value, in part", "Executed: 1" },
           { "without an end", "Content-Length: 0\r\n" } };
}

std::string
Cut(const std::string& aRejection, const Part& aPart)
{
  if (aPart.m_end.empty()) {
    return aRejection;
  }
  return aRejection.substr(0,
                           aRejection.find(aPart.m_end) + aPart.m_end.size());
}

class SharedAddressTest : public RawRunnerTest
{
protected:
  // A runner that rejects what names the entry that is asked first, as if that
  // one had ended, and writes part of that once more before the connection's
  // next answer.
  void ServeOther(RawSocket& aSocket, const Part& aPart)
  {
    std::string copy;
    for (;;) {
      const std::string head = NextHead(aSocket);
      if (head.empty()) {
        return;
      }
      const std::string id = IdOf(head);
      if (IsEnded(FieldOf(head, "X-Siskindeal-Expect-Instance"))) {
        const std::string rejection =
          Response("421 Rejected", IdField(id) + kNotRun);
        copy = Cut(rejection, aPart);
        ++m_rejections;
        aSocket.Send(rejection);
        continue;
      }
      CountRun(id);
      aSocket.Send(std::exchange(copy, {}) + Answered(id));
    }
  }

  // A runner that rejects each request's first arrival.
  void RejectFirst(RawSocket& aSocket, const Part& aPart)
  {
    std::string copy;
    for (;;) {
      const std::string head = NextHead(aSocket);
      if (head.empty()) {
        return;
      }
      const std::string id = IdOf(head);
      if (IsNew(id)) {
        const std::string rejection =
          Response("421 Rejected", IdField(id) + kNotRun);
        copy = Cut(rejection, aPart);
        ++m_rejections;
        aSocket.Send(rejection);
        continue;
      }
      CountRun(id);
      aSocket.Send(std::exchange(copy, {}) + Answered(id));
    }
  }

  bool IsEnded(const std::string& aRunner)
  {
    const std::lock_guard lock(m_mutex);
    m_ended = m_ended.empty() ? aRunner : m_ended;
    return aRunner == m_ended;
  }

  void ForgetEnded()
  {
    const std::lock_guard lock(m_mutex);
    m_ended.clear();
  }

  bool IsNew(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    return m_seen.insert(aId).second;
  }

  std::atomic<int> m_rejections = 0;
  std::string m_ended; // runner; empty: none was asked yet
  std::set<std::string> m_seen;
};

TEST_F(SharedAddressTest,
       RejectionForAnEndedRunnerDoesNotHideARunOfItsSuccessor)
{
  constexpr int kRequests = 3;
  StartAndAwaitReady();
  int round = 0;
  for (const Part& part : Parts()) {
    SCOPED_TRACE(part.m_name);
    const std::string prefix = std::to_string(++round) + "-";
    const Address address =
      StartRunner([=, this](RawSocket& aSocket) { ServeOther(aSocket, part); });
    ForgetEnded();
    m_rejections = 0;
    List("i-" + prefix + "a", "post", address);
    List("i-" + prefix + "b", "post", address);
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "n-" + prefix + std::to_string(i);
      const std::string answer = SendAs(id, "/post/a");
      EXPECT_EQ(StatusOf(answer), 200) << answer;
      EXPECT_EQ(RunsOf(id), 1);
    }
    EXPECT_GT(m_rejections, 0);
    m_site.Remove("servers", "i-" + prefix + "a");
    m_site.Remove("servers", "i-" + prefix + "b");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

TEST_F(SharedAddressTest, CopyOfTheRejectionOfAnIdDoesNotHideItsSecondRequest)
{
  StartAndAwaitReady();
  int round = 0;
  for (const Part& part : Parts()) {
    SCOPED_TRACE(part.m_name);
    const std::string runner = "i-" + std::to_string(++round);
    List(runner, "post", StartRunner([=, this](RawSocket& aSocket) {
           RejectFirst(aSocket, part);
         }));
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    const std::string id = "n-" + std::to_string(round);
    EXPECT_EQ(StatusOf(SendAs(id, "/post/a")), 503);
    EXPECT_EQ(RunsOf(id), 0);
    std::string answer;
    // A runner that has rejected a request is avoided for a while.
    ASSERT_TRUE(Eventually([&] {
      answer = SendAs(id, "/post/a");
      return StatusOf(answer) != 503 || RunsOf(id) > 0;
    }));
    EXPECT_EQ(StatusOf(answer), 200) << answer;
    EXPECT_EQ(RunsOf(id), 1);
    m_site.Remove("servers", runner);
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

} // namespace

} // namespace siskindeal
