#include "support/faulty_runner.h"

#include "siskindeal/random.h"

#include <chrono>
#include <thread>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPoll{ 50 };
constexpr std::uint64_t kMaxCopyDelayMs = 60;
const std::string kRejected =
  "503 Service Unavailable\r\nX-Siskindeal-Not-Executed: 1\r\n"
  "At-Server: i-71122a3d";
const std::string kMisdirected =
  "421 Misdirected Request\r\nAt-Server: i-71122a3d";

// What a runner does with a request that it has run.
enum class Fault
{
  NoAnswer,
  Cut,           // in the middle of the body
  CutWithoutEnd, // a body that ends with the connection
  Garbage,
  Error,         // 500
  RanAndRefused, // 503 that doesn't say that it hasn't run
};
constexpr std::uint64_t kFaults = 6;

std::string
ResponseText(const std::string& aStatus,
             const std::string& aId,
             const std::string& aBody)
{
  const std::string id =
    aId.empty() ? "" : "X-Siskindeal-Attempt-Id: " + aId + "\r\n";
  return "HTTP/1.1 " + aStatus + "\r\n" + id +
         "X-Siskindeal-Runner-Signature: sig-" + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

std::string
StreamHead(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: " + aId +
         "\r\nX-Siskindeal-Runner-Signature: sig-" + aId +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
Chunk(const std::string& aText)
{
  constexpr const char* kDigits = "0123456789abcdef";
  const std::size_t size = aText.size();
  return std::string{ kDigits[size / 16 % 16], kDigits[size % 16] } + "\r\n" +
         aText + "\r\n";
}

// Reads the rest of a request's body.
void
ReadBody(RawSocket& aSocket, std::string& aIn, std::size_t aLength)
{
  while (aIn.size() < aLength) {
    const std::string more = aSocket.ReadSome();
    if (more.empty()) {
      return;
    }
    aIn += more;
  }
  aIn.erase(0, aLength);
}

std::size_t
LengthOf(const std::string& aHead)
{
  const std::string name = "Content-Length: ";
  const auto at = aHead.find(name);
  return at == std::string::npos ? 0
                                 : std::stoul(aHead.substr(at + name.size()));
}

} // namespace

FaultyRunner::FaultyRunner(const FaultyRunnerOptions& aOptions,
                           Describe aDescribe,
                           Record aRecord)
  : m_options(aOptions)
  , m_describe(std::move(aDescribe))
  , m_record(std::move(aRecord))
  , m_server([this](RawSocket aSocket, int, std::uint64_t aNumber) {
    Serve(std::move(aSocket), m_options.m_seed + aNumber);
  })
{
}

void
FaultyRunner::Serve(RawSocket aSocket, std::uint64_t aSeed)
{
  Random random(aSeed);
  Connection connection{ std::move(aSocket), random, {} };
  std::string in;
  while (!m_server.IsStopping()) {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (!connection.m_socket.HasInput(kPoll)) {
        continue;
      }
      const std::string more = connection.m_socket.ReadSome();
      if (more.empty()) {
        return;
      }
      in += more;
      continue;
    }
    const std::string head = in.substr(0, end + 4);
    in.erase(0, end + 4);
    ReadBody(connection.m_socket, in, LengthOf(head));
    FaultyRunnerRequest request;
    if (!m_describe(head, request)) {
      connection.m_socket.Send(ResponseText("404 Not Found", {}, {}));
      continue;
    }
    if (!Answer(connection, request)) {
      return;
    }
  }
}

bool
FaultyRunner::TakeSlot()
{
  if (m_running++ < m_options.m_slots || m_options.m_slots == 0) {
    return true;
  }
  --m_running;
  return false;
}

bool
FaultyRunner::Answer(Connection& aConnection,
                     const FaultyRunnerRequest& aRequest)
{
  constexpr double kRejectedShare = 0.3; // of the faulty
  Random& random = aConnection.m_random;
  const bool isFaulty = random.Chance(m_options.m_faulty);
  if ((isFaulty && random.Chance(kRejectedShare)) || !TakeSlot()) {
    const bool isMisdirected = m_options.m_cut > 0 && random.Chance(0.5);
    SendWithCopy(aConnection,
                 aRequest,
                 isMisdirected ? kMisdirected : kRejected,
                 {},
                 true);
    return true;
  }
  const bool isKept = Run(aConnection, aRequest, isFaulty);
  --m_running;
  if (!isKept && random.Chance(0.5)) {
    aConnection.m_socket.Reset();
  }
  return isKept;
}

bool
FaultyRunner::Run(Connection& aConnection,
                  const FaultyRunnerRequest& aRequest,
                  bool aIsFaulty)
{
  m_record(aRequest.m_id);
  if (aRequest.m_events > 0) {
    return Stream(aConnection, aRequest, aIsFaulty);
  }
  std::this_thread::sleep_for(milliseconds(aRequest.m_workMs));
  return aIsFaulty ? FailAfterRun(aConnection, aRequest)
                   : Respond(aConnection, aRequest);
}

bool
FaultyRunner::Respond(Connection& aConnection,
                      const FaultyRunnerRequest& aRequest) const
{
  const bool isCopied = aConnection.m_random.Chance(m_options.m_faulty / 2);
  SendWithCopy(aConnection, aRequest, "200 OK", aRequest.m_body, isCopied);
  return true;
}

bool
FaultyRunner::FailAfterRun(Connection& aConnection,
                           const FaultyRunnerRequest& aRequest) const
{
  RawSocket& socket = aConnection.m_socket;
  Random& random = aConnection.m_random;
  const std::string sound =
    ResponseText("200 OK", aRequest.m_id, aRequest.m_body);
  switch (static_cast<Fault>(random.Below(kFaults))) {
    case Fault::NoAnswer:
      return false;
    case Fault::Cut:
      socket.Send(sound.substr(0, sound.size() - 1 - random.Below(60)));
      return false;
    case Fault::CutWithoutEnd:
      socket.Send("HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: " +
                  aRequest.m_id + "\r\n\r\n" + aRequest.m_body.substr(3));
      return false;
    case Fault::Garbage:
      socket.Send("\x01\x02 503 \r\n\r\n no answer");
      return false;
    case Fault::Error:
      SendWithCopy(aConnection,
                   aRequest,
                   "500 Internal Server Error",
                   "failed",
                   random.Chance(0.5));
      return true;
    case Fault::RanAndRefused:
      SendWithCopy(aConnection,
                   aRequest,
                   "503 Service Unavailable",
                   {},
                   random.Chance(0.5));
      return true;
  }
  return false;
}

bool
FaultyRunner::Stream(Connection& aConnection,
                     const FaultyRunnerRequest& aRequest,
                     bool aIsFaulty) const
{
  RawSocket& socket = aConnection.m_socket;
  Random& random = aConnection.m_random;
  const int events = aRequest.m_events - aRequest.m_lastEvent;
  // A faulty one ends before its head, between two events or inside one.
  const int sound =
    aIsFaulty ? static_cast<int>(random.Below(events + 1)) - 1 : events;
  if (sound < 0) {
    return false;
  }
  socket.Send(std::exchange(aConnection.m_heldCopy, {}) +
              StreamHead(aRequest.m_id));
  for (int event = 1; event <= sound; ++event) {
    std::this_thread::sleep_for(milliseconds(aRequest.m_workMs));
    const std::string text = aRequest.m_eventText(aRequest.m_lastEvent + event);
    if (!socket.Send(Chunk(text))) {
      return false;
    }
  }
  if (!aIsFaulty) {
    return socket.Send("0\r\n\r\n");
  }
  if (random.Chance(0.5)) {
    socket.Send(Chunk("id: 99"));
  }
  return false;
}

void
FaultyRunner::SendWithCopy(Connection& aConnection,
                           const FaultyRunnerRequest& aRequest,
                           const std::string& aStatus,
                           const std::string& aBody,
                           bool aIsCopied) const
{
  Random& random = aConnection.m_random;
  aConnection.m_socket.Send(std::exchange(aConnection.m_heldCopy, {}) +
                            ResponseText(aStatus, aRequest.m_id, aBody));
  const bool mayCopy = m_options.m_copiesAnswers || aStatus == kRejected ||
                       aStatus == kMisdirected;
  if (!aIsCopied || !mayCopy) {
    return;
  }
  const milliseconds delay(random.Below(kMaxCopyDelayMs));
  const bool isUntied = random.Chance(m_options.m_untied);
  std::string copy =
    ResponseText(aStatus, isUntied ? std::string() : aRequest.m_id, aBody);
  if (m_options.m_cut > 0 && random.Chance(m_options.m_cut)) {
    copy.resize(1 + random.Below(copy.size() - 1));
  }
  if (m_options.m_held > 0 && random.Chance(m_options.m_held)) {
    aConnection.m_heldCopy = std::move(copy);
    return;
  }
  std::this_thread::sleep_for(delay);
  aConnection.m_socket.Send(copy);
}

} // namespace siskindeal
