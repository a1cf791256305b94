// Tests that a call is said to be unsent only if its peer received no byte of
// it, whenever the peer ends the connection.

#include "net/http_connection_p.h"
#include "siskindeal/random.h"
#include "support/threaded_server.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kCallTimeout{ 20 };
constexpr std::uint64_t kMaxSpin = 60;      // microseconds
constexpr std::size_t kLargeBody = 8 << 20; // more than the sockets buffer

std::string
IdField(const std::string& aId)
{
  return "X-Siskindeal-Attempt-Id: " + aId + "\r\n";
}

OutgoingCall
EchoedCall(const std::string& aId, std::size_t aBodyBytes = 0)
{
  OutgoingCall call;
  call.m_head = "POST /a HTTP/1.1\r\nHost: x\r\n" + IdField(aId) +
                "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n";
  call.m_body.assign(aBodyBytes, 'x');
  call.m_echoName = "X-Siskindeal-Attempt-Id";
  call.m_echo = aId;
  return call;
}

// How a peer ends its side of a connection.
enum class PeerAction
{
  Close,
  Reset,
  HalfClose,
  StrayByte,
  PartOfRejection,
  Count
};

// When it does so, as seen by the second call on the connection.
enum class Moment
{
  BeforeAcquire,
  BeforeBegin,
  AfterBegin, // before the turn of the loop that writes
  Meanwhile,  // beside that turn
  AfterBytes, // once some of the call have arrived
  Count
};

// Spins, since a sleep may take far longer.
void
SpinFor(std::uint64_t aMicroseconds)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::microseconds(aMicroseconds);
  while (std::chrono::steady_clock::now() < end) {
  }
}

// The server's end of an idle connection. Collects what arrives.
class Peer
{
public:
  Peer(RawSocket aSocket, int aHandle)
    : m_socket(std::move(aSocket))
    , m_handle(aHandle)
  {
  }
  ~Peer() { Join(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Act(PeerAction aAction)
  {
    switch (aAction) {
      case PeerAction::Close:
        ReadPresent();
        m_socket.Close();
        m_isOpen = false;
        break;
      case PeerAction::Reset:
        ReadPresent();
        m_socket.Reset();
        m_isOpen = false;
        break;
      case PeerAction::StrayByte:
        m_socket.Send("H");
        m_socket.AwaitAcknowledged();
        break;
      case PeerAction::PartOfRejection:
        m_socket.Send("HTTP/1.1 503 Full\r\nX-Siskindeal-Not-Exec");
        m_socket.AwaitAcknowledged();
        break;
      default:
        ShutdownSending();
    }
  }

  // Acts on a thread of its own, and lets the client see an end later.
  void ActBeside(PeerAction aAction, std::uint64_t aSpin, bool aAwaitsBytes)
  {
    m_thread = std::thread([this, aAction, aSpin, aAwaitsBytes] {
      while (!m_mayAct) {
        std::this_thread::yield();
      }
      if (aAwaitsBytes) {
        m_arrived += m_socket.ReadSome();
      }
      SpinFor(aSpin);
      Act(aAction);
      SpinFor(aSpin);
      ShutdownSending();
      ReadRest();
    });
  }

  // Lets the thread begin.
  void AllowAct() { m_mayAct = true; }

  // Returns what has arrived until the client closed.
  std::string Finish()
  {
    Join();
    ReadRest();
    return m_arrived;
  }

private:
  void Join()
  {
    AllowAct();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  void ShutdownSending()
  {
    if (m_isOpen) {
      shutdown(m_handle, SHUT_WR);
    }
  }

  void ReadPresent()
  {
    while (m_socket.HasInput(milliseconds(0))) {
      const std::string more = m_socket.ReadSome();
      if (more.empty()) {
        return;
      }
      m_arrived += more;
    }
  }

  void ReadRest()
  {
    if (m_isOpen) {
      m_arrived += m_socket.ReadAll();
    }
  }

  RawSocket m_socket;
  int m_handle;
  bool m_isOpen = true;
  std::atomic<bool> m_mayAct = false;
  std::string m_arrived;
  std::thread m_thread;
};

struct CallOutcome
{
  bool m_ended = false;
  std::optional<CallFailure> m_failure;
};

// A server that answers each connection's first call and leaves the connection
// to the test.
class NotSentTest : public testing::Test
{
protected:
  void Serve(RawSocket aSocket, int aHandle)
  {
    if (m_endsNew) {
      auto peer = std::make_unique<Peer>(std::move(aSocket), aHandle);
      peer->ActBeside(m_newAction, m_newSpin, false);
      peer->AllowAct();
      Leave(std::move(peer));
      return;
    }
    const std::string request = aSocket.ReadUntil("\r\n\r\n");
    if (request.empty()) {
      return;
    }
    const auto at = request.find("Id: ") + 4;
    const std::string id = request.substr(at, request.find('\r', at) - at);
    {
      const std::lock_guard lock(m_mutex);
      m_firstCalls.push_back(id);
    }
    aSocket.Send("HTTP/1.1 200 OK\r\n" + IdField(id) +
                 "Content-Length: 0\r\n\r\n");
    if (id == kFirst) {
      Leave(std::make_unique<Peer>(std::move(aSocket), aHandle));
    } else {
      aSocket.ReadAll();
    }
  }

  void Leave(std::unique_ptr<Peer> aPeer)
  {
    const std::lock_guard lock(m_mutex);
    m_peers.push_back(std::move(aPeer));
    m_changed.notify_all();
  }

  std::unique_ptr<Peer> TakePeer()
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_peers.empty(); });
    auto peer = std::move(m_peers.front());
    m_peers.pop_front();
    return peer;
  }

  void Begin(const std::shared_ptr<HttpConnection>& aConnection,
             OutgoingCall aCall,
             CallOutcome& aOutcome)
  {
    const auto onEvent = [this, &aOutcome](const CallEvent& aEvent) {
      if (const auto* failed = std::get_if<CallFailed>(&aEvent)) {
        aOutcome = { true, failed->m_how };
      } else if (std::holds_alternative<ResponseEnd>(aEvent)) {
        aOutcome.m_ended = true;
      }
      if (aOutcome.m_ended && --m_openCalls == 0) {
        m_loop.stop();
      }
    };
    ++m_openCalls;
    aConnection->Begin(std::move(aCall), milliseconds(5000), onEvent);
  }

  void RunUntilEnded()
  {
    m_loop.restart();
    m_loop.run_for(kCallTimeout);
    ASSERT_EQ(m_openCalls, 0);
  }

  // Makes a connection that has carried a call.
  std::shared_ptr<HttpConnection> OpenUsed()
  {
    auto connection = m_pool->Acquire(m_server.ListenAddress());
    CallOutcome outcome;
    Begin(connection, EchoedCall(kFirst), outcome);
    RunUntilEnded();
    EXPECT_EQ(outcome.m_failure, std::nullopt);
    return connection;
  }

  // A call for which the pool has an idle connection.
  void PlayCall(const std::string& aId, Random& aRandom)
  {
    const auto pick = [&](auto aCount) {
      return static_cast<decltype(aCount)>(
        aRandom.Below(static_cast<std::uint64_t>(aCount)));
    };
    const PeerAction action = pick(PeerAction::Count);
    const Moment moment = pick(Moment::Count);
    const std::uint64_t spin = aRandom.Below(kMaxSpin);
    const std::size_t body =
      moment >= Moment::Meanwhile && aRandom.Chance(0.1) ? kLargeBody : 0;
    SCOPED_TRACE(aId + ", action " + std::to_string(static_cast<int>(action)) +
                 ", moment " + std::to_string(static_cast<int>(moment)));
    m_pool->Release(m_server.ListenAddress(), OpenUsed());
    const auto peer = TakePeer();
    const auto actIf = [&](Moment aMoment) {
      if (moment == aMoment) {
        peer->Act(action);
      }
    };
    actIf(Moment::BeforeAcquire);
    const auto connection = m_pool->Acquire(m_server.ListenAddress());
    actIf(Moment::BeforeBegin);
    if (moment >= Moment::Meanwhile) {
      peer->ActBeside(action, spin, moment == Moment::AfterBytes);
    }
    CallOutcome outcome;
    Begin(connection, EchoedCall(aId, body), outcome);
    actIf(Moment::AfterBegin);
    peer->AllowAct();
    if (moment == Moment::Meanwhile) {
      SpinFor(aRandom.Below(4 * kMaxSpin));
    }
    RunUntilEnded();
    connection->Abort();
    Check(outcome,
          *peer,
          aId,
          moment == Moment::Meanwhile ? " (beside the write)" : "");
  }

  void Check(const CallOutcome& aOutcome,
             Peer& aPeer,
             const std::string& aId,
             const std::string& aWhen = {})
  {
    const std::string arrived = aPeer.Finish();
    const std::lock_guard lock(m_mutex);
    const bool isFirstCall =
      std::find(m_firstCalls.begin(), m_firstCalls.end(), aId) !=
      m_firstCalls.end();
    if (aOutcome.m_failure == CallFailure::NotSent) {
      EXPECT_EQ(arrived.size(), 0U);
      EXPECT_FALSE(isFirstCall);
      ++m_counts["not sent" + aWhen];
    } else if (aOutcome.m_failure) {
      ++m_counts[(arrived.empty() ? "may have run, nothing seen"
                                  : "may have run, bytes seen") +
                 aWhen];
    } else {
      EXPECT_TRUE(isFirstCall);
      ++m_counts["answered on a new connection"];
    }
  }

  void PrintCounts() const
  {
    for (const auto& [outcome, count] : m_counts) {
      std::cout << outcome << ": " << count << '\n';
    }
  }

  static constexpr const char* kFirst = "first";
  // Whether the server ends each connection when it accepts it, and how.
  std::atomic<bool> m_endsNew = false;
  std::atomic<PeerAction> m_newAction = PeerAction::Close;
  std::atomic<std::uint64_t> m_newSpin = 0;
  Loop m_loop;
  int m_openCalls = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_firstCalls; // ids
  std::deque<std::unique_ptr<Peer>> m_peers;
  std::map<std::string, int> m_counts;
  ThreadedServer m_server{
    [this](RawSocket aSocket, int aHandle, std::uint64_t) {
      Serve(std::move(aSocket), aHandle);
    }
  };
  const std::shared_ptr<ConnectionPool> m_pool =
    std::make_shared<ConnectionPool>(m_loop);
};

TEST_F(NotSentTest, CallOfWhichBytesArriveIsNotSaidToBeUnsent)
{
  constexpr int kCalls = 400;
  Random random(56);
  for (int i = 0; i < kCalls; ++i) {
    PlayCall("n-" + std::to_string(i), random);
  }
  PrintCounts();
  EXPECT_GT(m_counts["not sent"], 0);
  EXPECT_GT(m_counts["may have run, bytes seen"], 0);
  EXPECT_GT(m_counts["answered on a new connection"], 0);
}

TEST_F(NotSentTest, CallOnAConnectionThatEndsAtOnceIsNotSaidToBeUnsent)
{
  constexpr int kCalls = 200;
  m_endsNew = true;
  Random random(57);
  for (int i = 0; i < kCalls; ++i) {
    m_newAction = static_cast<PeerAction>(
      random.Below(static_cast<std::uint64_t>(PeerAction::Count)));
    m_newSpin = random.Below(kMaxSpin);
    const std::string id = "n-" + std::to_string(i);
    const auto connection = m_pool->Acquire(m_server.ListenAddress());
    CallOutcome outcome;
    Begin(connection, EchoedCall(id), outcome);
    const auto peer = TakePeer();
    SpinFor(random.Below(2 * kMaxSpin));
    RunUntilEnded();
    connection->Abort();
    Check(outcome, *peer, id);
  }
  PrintCounts();
  EXPECT_GT(m_counts["not sent"], 0);
}

// The peers' ends and the writes are due in one turn, in either order.
TEST_F(NotSentTest, LateLoopDoesNotCallUnsentWhatArrives)
{
  constexpr int kRounds = 4;
  constexpr int kConnections = 40;
  constexpr milliseconds kBusy{ 120 };
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::shared_ptr<HttpConnection>> connections;
    std::vector<std::unique_ptr<Peer>> peers;
    std::vector<CallOutcome> outcomes(kConnections);
    for (int i = 0; i < kConnections; ++i) {
      connections.push_back(OpenUsed());
      peers.push_back(TakePeer());
    }
    const auto idOf = [&](int aIndex) {
      return "r-" + std::to_string(round * kConnections + aIndex);
    };
    const auto beginHalf = [&](int aFirst) {
      for (int i = aFirst; i < kConnections; i += 2) {
        if (connections[i]->Reusable()) {
          Begin(connections[i], EchoedCall(idOf(i)), outcomes[i]);
        }
      }
    };
    ++m_openCalls; // until both halves have begun
    boost::asio::post(m_loop, [&] {
      beginHalf(0);
      boost::asio::post(m_loop, [&] {
        beginHalf(1);
        --m_openCalls;
      });
      const auto end = std::chrono::steady_clock::now() + kBusy;
      for (int i = 0; i < kConnections; ++i) {
        peers[i]->Act(
          static_cast<PeerAction>(i / 2 % static_cast<int>(PeerAction::Count)));
      }
      std::this_thread::sleep_until(end);
    });
    RunUntilEnded();
    for (int i = 0; i < kConnections; ++i) {
      connections[i]->Abort();
      SCOPED_TRACE(idOf(i));
      ASSERT_TRUE(outcomes[i].m_ended);
      Check(outcomes[i], *peers[i], idOf(i));
    }
  }
  PrintCounts();
  EXPECT_GT(m_counts["not sent"], 0);
}

} // namespace

} // namespace siskindeal
