// Tests that a response whose head is cut off is never taken for a complete
// one, by either HTTP client, wherever the cut is and however the connection
// ends.

#include "net/http_connection_p.h"
#include "support/http_server.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace siskindeal {

namespace {

enum class End
{
  Close,
  Reset,
};

// Heads that end with an empty line. Without a body, only that line shows that
// the head is whole.
const std::vector<std::string> kHeads = {
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Signature: s\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nX-Signature: s\r\n\r\n",
  "HTTP/1.1 304 Not Modified\r\nX-Signature: s\r\n\r\n",
  std::string("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") +
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
};

struct Cut
{
  std::string m_bytes;
  End m_end = End::Close;
};

std::vector<Cut>
AllCuts()
{
  std::vector<Cut> cuts;
  for (const std::string& head : kHeads) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      cuts.push_back({ head.substr(0, length), End::Close });
    }
    for (std::size_t length = 1; length < head.size(); length += 7) {
      cuts.push_back({ head.substr(0, length), End::Reset });
    }
  }
  return cuts;
}

// Sends one cut on each connection, after aBefore whole responses.
class CuttingServer
{
public:
  explicit CuttingServer(int aBefore)
    : m_before(aBefore)
  {
  }

  std::uint16_t Port() const { return m_server.Port(); }

private:
  void Serve(RawSocket& aSocket, int aConnection)
  {
    for (int i = 0; i < m_before; ++i) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    aSocket.ReadUntil("\r\n\r\n");
    const Cut& cut = m_cuts.at(static_cast<std::size_t>(aConnection));
    aSocket.Send(cut.m_bytes);
    if (cut.m_end == End::Reset) {
      aSocket.AwaitAcknowledged();
      aSocket.Reset();
    } else {
      aSocket.Close();
    }
  }

  const int m_before;
  const std::vector<Cut> m_cuts = AllCuts();
  const RawServer m_server{ [this](RawSocket& aSocket, int aConnection) {
    Serve(aSocket, aConnection);
  } };
};

TEST(ResponseHeadCut, ClientOfAgentsTakesNoPartOfAHeadForAResponse)
{
  const CuttingServer server(0);
  const std::string url =
    "http://127.0.0.1:" + std::to_string(server.Port()) + "/";
  for (const Cut& cut : AllCuts()) {
    SCOPED_TRACE(testing::Message()
                 << cut.m_bytes << (cut.m_end == End::Reset ? "|reset" : "|"));
    HttpClient client;
    const HttpReply reply = client.Fetch({ "POST", url });
    EXPECT_EQ(reply.m_outcome, HttpOutcome::SentNoReply);
    EXPECT_NE(reply.m_error, "");
  }
}

BufferedResponse
Call(Loop& aLoop,
     const std::shared_ptr<ConnectionPool>& aPool,
     std::uint16_t aPort)
{
  BufferedResponse response;
  CallBuffered(aLoop,
               aPool,
               { "127.0.0.1", aPort },
               "GET", // a POST would not use the connection of the one before
               "/",
               {},
               std::chrono::seconds(10),
               [&](const BufferedResponse& aResponse) {
                 response = aResponse;
                 aLoop.stop();
               });
  aLoop.run();
  aLoop.restart();
  return response;
}

TEST(ResponseHeadCut, ClientOfGatewaysTakesNoPartOfAHeadForAResponse)
{
  for (const int before : { 0, 1 }) {
    const CuttingServer server(before);
    for (const Cut& cut : AllCuts()) {
      SCOPED_TRACE(testing::Message()
                   << before << " before: " << cut.m_bytes
                   << (cut.m_end == End::Reset ? "|reset" : "|"));
      Loop loop{ 1 };
      const auto pool = std::make_shared<ConnectionPool>(loop);
      for (int i = 0; i < before; ++i) {
        ASSERT_EQ(Call(loop, pool, server.Port()).m_status, 200);
      }
      const BufferedResponse response = Call(loop, pool, server.Port());
      EXPECT_EQ(response.m_status, 0);
      EXPECT_NE(response.m_failure, "");
    }
  }
}

} // namespace

} // namespace siskindeal
