// Cases 11 to 13: runners whose responses have neither a length nor chunks;
// one of them crashes. Case 11 has streams, case 12 bookings;
// deadly.cpp has case 13.

#include "cases.h"
#include "site.h"

#include <csignal>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <thread>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kGateways = 2;
constexpr int kRunners = 6;
constexpr int kCallers = 30;
constexpr int kEvents = 24;
constexpr milliseconds kEventInterval{ 50 };
// Between the starts of two callers, so that they aren't in step.
constexpr milliseconds kCallerOffset{ 40 };
constexpr milliseconds kTrafficTime{ 16000 };
constexpr milliseconds kCrashAt{ 5000 };
constexpr milliseconds kEntryLapse{ 3600 }; // three heartbeats
constexpr milliseconds kDownTime{ 4500 };
constexpr int kParts = 8; // of a booking's response

std::string
EventText(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: {\"n\":" + number + "}\n\n";
}

// The whole response to a booking, 800 bytes as on the users' sheets.
std::string
BookingText(int aPart)
{
  constexpr std::size_t kPartBytes = 100;
  std::string text = (aPart == 1 ? "{" : "") + std::string("\"part") +
                     std::to_string(aPart) + "\":\"";
  const std::string end = aPart == kParts ? "\"}" : "\",";
  text.append(kPartBytes - text.size() - end.size(), 'b');
  return text + end;
}

std::string
WholeBody(bool aIsStream)
{
  std::string whole;
  for (int i = 1; i <= (aIsStream ? kEvents : kParts); ++i) {
    whole += aIsStream ? EventText(i) : BookingText(i);
  }
  return whole;
}

void
AppendLine(const std::string& aFile, const std::string& aLine)
{
  const std::string time = std::to_string(UnixMillis());
  std::ofstream(aFile, std::ios::app) << time + " " + aLine + "\n";
}

json
Route(const char* aName, const char* aPrefix, const char* aKind)
{
  return { { "name", aName },
           { "host", "club.example" },
           { "path_prefix", aPrefix },
           { "kind", aKind },
           { "timeout_ms", 6000 },
           { "target_latency_ms", 400 },
           { "target_gap_ms", 300 },
           { "priority", 1 },
           { "service", "chat" },
           { "max_attempts", 2 },
           { "anonymous", false },
           { "resumable", std::string(aKind) == "streaming" } };
}

// What the callers have seen.
struct Seen
{
  std::mutex m_mutex;
  int m_answers = 0;
  int m_brokenOff = 0;
  int m_failures = 0;
  int m_short = 0; // complete for the caller, but not the runner's whole body
};

void
SendOne(const Site& aSite,
        Record& aRecord,
        Seen& aSeen,
        const std::string& aId,
        int aGateway,
        bool aIsStream)
{
  const std::string head =
    std::string(aIsStream ? "POST /chat/1" : "POST /book/1") +
    " HTTP/1.1\r\nHost: club.example\r\nX-Siskindeal-Attempt-Id: " + aId +
    "\r\nX-Siskindeal-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n";
  const Response response =
    Call(aSite.Host(1 + aGateway), kFrontPort, head, {}, milliseconds(8000));
  const std::string expected = WholeBody(aIsStream);
  const bool claimsWhole = response.m_status == 200 && response.m_isComplete;
  const bool isShort = claimsWhole && response.m_body != expected;
  aRecord.Write(aId + (aIsStream ? " stream" : " booking") + " at gateway " +
                std::to_string(aGateway) + ": status " +
                std::to_string(response.m_status) + ", " +
                std::to_string(response.m_body.size()) + " of " +
                std::to_string(expected.size()) + " bytes, " +
                (response.m_isComplete ? "complete" : "broken off") +
                (isShort ? "  <- complete for the caller, but not whole" : ""));
  const std::lock_guard lock(aSeen.m_mutex);
  ++aSeen.m_answers;
  aSeen.m_brokenOff += response.m_isComplete ? 0 : 1;
  aSeen.m_failures += response.m_status == 200 ? 0 : 1;
  aSeen.m_short += isShort ? 1 : 0;
}

void
Call(const Site& aSite,
     Record& aRecord,
     Seen& aSeen,
     int aCaller,
     bool aIsStream)
{
  const auto end = aRecord.Elapsed() + kTrafficTime;
  std::this_thread::sleep_for(kCallerOffset * aCaller);
  for (int i = 0; aRecord.Elapsed() < end; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "%08x%08x", aCaller + 1, i + 1);
    SendOne(
      aSite, aRecord, aSeen, id, 1 + (aCaller + i) % kGateways, aIsStream);
  }
}

void
Crash(Site& aSite, Record& aRecord)
{
  std::this_thread::sleep_for(kCrashAt);
  aSite.KillRunner(1);
  std::this_thread::sleep_for(kEntryLapse);
  aSite.RemoveEntry(1);
  std::this_thread::sleep_for(kDownTime - kEntryLapse);
  aSite.StartRunner(1, "chat", "unframed");
  aRecord.Write("the runner is back");
}

// Writes a part of a stream in chunks, a line of its crash, and ends.
[[noreturn]] void
CrashInStream(Peer& aPeer,
              const std::string& aAttempt,
              const std::string& aRuns)
{
  const auto chunk = [](const std::string& aText) {
    std::ostringstream text;
    text << std::hex << aText.size() << "\r\n" << aText << "\r\n";
    return text.str();
  };
  AppendLine(aRuns, "runs " + aAttempt);
  aPeer.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\nX-Siskindeal-Attempt-Id: " +
             aAttempt + "\r\nX-Siskindeal-Runner-Signature: s." + aAttempt +
             "\r\n\r\n" + chunk(EventText(1)));
  std::this_thread::sleep_for(kEventInterval);
  aPeer.Send(chunk("Fatal: out of memory in decode()\n\n"));
  AppendLine(aRuns, "crashes " + aAttempt);
  std::_Exit(1);
}

} // namespace

json
ClubConfig()
{
  return { { "version", 1 },
           { "routes",
             { Route("chat", "/chat/", "streaming"),
               Route("book", "/book/", "non_idempotent") } },
           { "services",
             { { { "name", "chat" },
                 { "health_path", "/healthz" },
                 { "max_conns", 434 },
                 { "protocol", "h1" },
                 { "tls", false } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 5000 },
               { "idle_timeout_ms", 30000 } } } };
}

void
RunUnframedRunner(const std::string& aHost,
                  const std::string& aId,
                  const std::string& aRuns)
{
  const Server server(
    aHost, kRunnerPort, [&](const Request& aRequest, Peer& aPeer) {
      const std::string attempt = aRequest.Field("x-siskindeal-attempt-id");
      if (aRequest.Field("x-siskindeal-expect-instance") != aId) {
        aPeer.Answer(421, { { "x-siskindeal-attempt-id", attempt } }, {});
        return;
      }
      const bool isStream = aRequest.m_path.rfind("/chat/", 0) == 0;
      if (aRequest.m_path == kDarkPath) {
        AppendLine(aRuns, "runs " + attempt);
        std::raise(SIGSTOP); // silent until it is killed
      }
      if (aRequest.m_path == kDeadlyStreamPath) {
        CrashInStream(aPeer, attempt, aRuns);
      }
      AppendLine(aRuns, "runs " + attempt);
      aPeer.CloseAfter();
      aPeer.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: " +
        std::string(isStream ? "text/event-stream" : "application/json") +
        "\r\nConnection: close\r\nX-Siskindeal-Attempt-Id: " + attempt +
        "\r\nX-Siskindeal-Runner-Signature: s." + attempt + "\r\n\r\n");
      const bool isDeadly = aRequest.m_path == kDeadlyPath;
      const std::string last = aRequest.Field("last-event-id");
      const int first = last.empty() ? 1 : std::stoi(last) + 1;
      for (int i = first; i <= (isStream ? kEvents : kParts); ++i) {
        if (aPeer.HasLeft() ||
            !aPeer.Send(isStream ? EventText(i) : BookingText(i))) {
          AppendLine(aRuns, "left " + attempt);
          return;
        }
        std::this_thread::sleep_for(kEventInterval);
        if (isDeadly) {
          AppendLine(aRuns, "crashes " + attempt);
          std::_Exit(1);
        }
      }
      AppendLine(aRuns, "ends " + attempt);
    });
  pause();
}

int
RunUnframedCase(const std::string& aSelf,
                Record& aRecord,
                bool aTrouble,
                bool aIsStream)
{
  Site site(aSelf, aRecord);
  site.Objects().Put("config", "main", ClubConfig());
  for (int i = 1; i <= kRunners; ++i) {
    site.StartRunner(i, "chat", "unframed");
  }
  for (int i = 1; i <= kGateways; ++i) {
    site.StartGateway(i);
  }
  if (!site.AwaitReady(std::chrono::seconds(20))) {
    aRecord.Write("the gateways didn't get ready");
    return kCouldNotRun;
  }
  Seen seen;
  std::vector<std::thread> threads;
  threads.reserve(kCallers + 1);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] { Call(site, aRecord, seen, i, aIsStream); });
  }
  if (aTrouble) {
    threads.emplace_back([&] { Crash(site, aRecord); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (int i = 1; i <= kRunners; ++i) {
    aRecord.Write("runs of " + Site::RunnerId(i) + ":\n" + site.RunnerLog(i));
  }
  aRecord.Write(std::to_string(seen.m_answers) +
                (aIsStream ? " streams, " : " bookings, ") +
                std::to_string(seen.m_brokenOff) + " visibly broken off, " +
                std::to_string(seen.m_failures) +
                " not answered with 200; complete for the caller but not "
                "whole: " +
                std::to_string(seen.m_short));
  return seen.m_short > 0 ? kBroken : kHeld;
}

} // namespace review
