#pragma once
// Fixture of a gateway and runners whose connections tests serve by hand.

#include "support/gateway_fixture.h"
#include "support/threaded_server.h"

#include <map>
#include <mutex>
#include <vector>

namespace siskindeal {

inline const std::string kNotRun = "X-Siskindeal-Not-Executed: 1\r\n";
inline const std::string kSigned = "X-Siskindeal-Runner-Signature: s\r\n";

inline std::string
IdField(const std::string& aId)
{
  return "X-Siskindeal-Attempt-Id: " + aId + "\r\n";
}

inline std::string
Response(const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody = {})
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

class RawRunnerTest : public GatewayTest
{
protected:
  using Serve = std::function<void(RawSocket&)>;

  void TearDown() override
  {
    GatewayTest::TearDown();
    m_stopping = true;
    m_runners.clear();
  }

  // Serves each connection on a thread of its own.
  Address StartRunner(Serve aServe)
  {
    m_runners.push_back(std::make_unique<ThreadedServer>(
      [serve = std::move(aServe)](RawSocket aSocket, int, std::uint64_t) {
        serve(aSocket);
      }));
    return m_runners.back()->ListenAddress();
  }

  void List(const std::string& aId,
            const std::string& aService,
            const Address& aAddress)
  {
    m_site.Put("servers",
               aId,
               { { "service", aService },
                 { "address", aAddress.ToString() },
                 { "state", "ready" } });
  }

  // Returns the next request, without a body; empty when there is none.
  std::string NextHead(RawSocket& aSocket) const
  {
    while (!aSocket.HasInput(std::chrono::milliseconds(20))) {
      if (m_stopping) {
        return {};
      }
    }
    const std::string head = aSocket.ReadUntil("\r\n\r\n");
    return head.find("\r\n\r\n") == std::string::npos ? std::string() : head;
  }

  static std::string FieldOf(const std::string& aHead, const std::string& aName)
  {
    const std::string start = "\r\n" + aName + ": ";
    const auto at = aHead.find(start);
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = at + start.size();
    return aHead.substr(begin, aHead.find('\r', begin) - begin);
  }
  static std::string IdOf(const std::string& aHead)
  {
    return FieldOf(aHead, "X-Siskindeal-Attempt-Id");
  }

  static std::string Answered(const std::string& aId)
  {
    return Response("200 OK", IdField(aId) + kSigned, "run of " + aId);
  }

  // Sends a request with an id on a connection of its own.
  std::string SendAs(const std::string& aId,
                     const std::string& aPath,
                     const std::string& aBody = {})
  {
    std::string request = Request("POST", aPath, {}, aBody);
    const std::string old = IdField("id-1");
    request.replace(request.find(old), old.size(), IdField(aId));
    return SendRequest(request);
  }

  static int StatusOf(const std::string& aAnswer)
  {
    constexpr std::size_t kAt = std::string_view("HTTP/1.1 ").size();
    return aAnswer.size() < kAt ? 0 : std::atoi(aAnswer.c_str() + kAt);
  }

  void CountRun(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[aId];
  }
  int RunsOf(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    return m_runs[aId];
  }

  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs; // by id
  std::vector<std::unique_ptr<ThreadedServer>> m_runners;
};

} // namespace siskindeal
