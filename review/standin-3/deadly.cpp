// Cases 13 to 15: a request that crashes each runner that runs it: in the
// middle of a response without a length (13), with a silent end and a new id
// (14), and behind a line that is no event (15).

#include "cases.h"
#include "site.h"

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <sstream>
#include <thread>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int kGateways = 2;
constexpr int kRunners = 6;
constexpr int kCallers = 4;
constexpr milliseconds kTrafficTime{ 40000 };
constexpr milliseconds kDarkTrafficTime{ 60000 };
constexpr milliseconds kDeadlyInterval{ 1500 };
constexpr milliseconds kRestartDelay{ 3000 };
constexpr milliseconds kEntryLapse{ 3600 }; // three heartbeats
constexpr milliseconds kDarkTime{ 4000 };
constexpr milliseconds kStableWindow{ 3000 };
constexpr int kAllowedRetries = 3;
const std::string kDeadlyPrefix = "dead";

struct Times
{
  std::atomic<bool> m_done{ false };
  std::atomic<int> m_crashes{ 0 };
  std::atomic<std::int64_t> m_thirdCrash{ 0 }; // Unix ms; 0: not yet
};

void
RecordCrash(int aRunner, int aStart, Record& aRecord, Times& aTimes)
{
  constexpr int kThird = 3;
  const int crashes = ++aTimes.m_crashes;
  if (crashes == kThird) {
    aTimes.m_thirdCrash = UnixMillis();
  }
  aRecord.Write(Site::RunnerId(aRunner, aStart) + " has crashed, crash " +
                std::to_string(crashes));
}

// Starts runners again that have crashed.
void
KeepRunners(Site& aSite, Record& aRecord, Times& aTimes)
{
  std::array<std::optional<milliseconds>, kRunners + 1> endedAt;
  while (!aTimes.m_done) {
    for (int i = 1; i <= kRunners; ++i) {
      std::optional<milliseconds>& ended = endedAt.at(i);
      if (!ended && aSite.RunnerHasEnded(i)) {
        ended = aRecord.Elapsed();
        RecordCrash(i, 0, aRecord, aTimes);
      } else if (ended && aRecord.Elapsed() - *ended >= kRestartDelay) {
        ended.reset();
        aSite.StartRunner(i, "chat", "unframed");
      }
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// Ends runners that have fallen silent, and starts them again with a new id at
// the same address. The store removes a silent runner's entry.
void
KeepDarkRunners(Site& aSite, Record& aRecord, Times& aTimes)
{
  struct Runner
  {
    std::optional<milliseconds> m_darkSince;
    bool m_isListed = true;
    int m_start = 0;
  };
  std::array<Runner, kRunners + 1> runners;
  while (!aTimes.m_done) {
    for (int i = 1; i <= kRunners; ++i) {
      Runner& runner = runners.at(i);
      if (!runner.m_darkSince) {
        if (aSite.TakeRunnerStopped(i)) {
          runner.m_darkSince = aRecord.Elapsed();
          RecordCrash(i, runner.m_start, aRecord, aTimes);
        }
        continue;
      }
      const milliseconds dark = aRecord.Elapsed() - *runner.m_darkSince;
      if (runner.m_isListed && dark >= kEntryLapse) {
        aSite.RemoveEntry(i, runner.m_start);
        runner.m_isListed = false;
      }
      if (dark >= kDarkTime) {
        aSite.KillRunner(i);
        aSite.StartRunner(i, "chat", "unframed", ++runner.m_start);
        runner.m_darkSince.reset();
        runner.m_isListed = true;
      }
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

Response
Book(const Site& aSite,
     const std::string& aId,
     int aGateway,
     const std::string& aPath)
{
  const std::string head =
    "POST " + aPath +
    " HTTP/1.1\r\nHost: club.example\r\nX-Siskindeal-Attempt-Id: " + aId +
    "\r\nX-Siskindeal-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\n";
  return Call(
    aSite.Host(1 + aGateway), kFrontPort, head, "body", milliseconds(4000));
}

void
RecordAnswer(Record& aRecord,
             const std::string& aId,
             int aGateway,
             const Response& aResponse)
{
  aRecord.Write(aId + " at gateway " + std::to_string(aGateway) + ": status " +
                std::to_string(aResponse.m_status) + ", " +
                std::to_string(aResponse.m_body.size()) + " bytes");
}

// Sound bookings.
void
SendSound(const Site& aSite, Record& aRecord, int aCaller, milliseconds aTime)
{
  const auto end = aRecord.Elapsed() + aTime;
  for (int i = 0; aRecord.Elapsed() < end; ++i) {
    const std::string id =
      "50" + std::to_string(aCaller) + "x" + std::to_string(i);
    const int gateway = 1 + i % kGateways;
    RecordAnswer(aRecord,
                 id,
                 gateway,
                 Book(aSite, id, gateway, "/book/" + std::to_string(i)));
  }
}

// The request comes again and again, with the same path, caller and body.
void
SendDeadly(const Site& aSite,
           Record& aRecord,
           const std::string& aPath,
           milliseconds aTime)
{
  const auto end = aRecord.Elapsed() + aTime;
  for (int i = 0; aRecord.Elapsed() < end; ++i) {
    const std::string id = kDeadlyPrefix + std::to_string(i);
    const int gateway = 1 + i % kGateways;
    RecordAnswer(aRecord, id, gateway, Book(aSite, id, gateway, aPath));
    std::this_thread::sleep_for(kDeadlyInterval);
  }
}

// Runs of the request that began too late after its third crash.
int
CountLateRuns(const Site& aSite, Record& aRecord, std::int64_t aThirdCrash)
{
  int late = 0;
  for (int i = 1; i <= kRunners; ++i) {
    aRecord.Write("runs of " + Site::RunnerId(i) + ":\n" + aSite.RunnerLog(i));
    std::istringstream log(aSite.RunnerLog(i));
    std::int64_t time = 0;
    std::string what;
    std::string id;
    while (log >> time >> what >> id) {
      const bool isDeadlyRun =
        what == "runs" && id.rfind(kDeadlyPrefix, 0) == 0;
      const bool isLate =
        aThirdCrash != 0 && time > aThirdCrash + kStableWindow.count();
      if (isDeadlyRun) {
        aRecord.Write(Site::RunnerId(i) + " ran " + id +
                      (isLate ? "  <- late" : ""));
        late += isLate ? 1 : 0;
      }
    }
  }
  return late;
}

// Plays the request at aPath; aKeep starts the runners again.
int
Play(const std::string& aSelf,
     Record& aRecord,
     bool aTrouble,
     const std::string& aPath,
     milliseconds aTime,
     const std::function<void(Site&, Record&, Times&)>& aKeep)
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
  Times times;
  std::thread keeper([&] { aKeep(site, aRecord, times); });
  std::vector<std::thread> threads;
  threads.reserve(kCallers + 1);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] { SendSound(site, aRecord, i, aTime); });
  }
  if (aTrouble) {
    threads.emplace_back([&] { SendDeadly(site, aRecord, aPath, aTime); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  times.m_done = true;
  keeper.join();
  const int late = CountLateRuns(site, aRecord, times.m_thirdCrash);
  aRecord.Write(
    std::to_string(times.m_crashes) + " crashes; the request reached runners " +
    std::to_string(late) + " times later than 3 s after the third, " +
    std::to_string(kAllowedRetries) + " are allowed");
  return late > kAllowedRetries ? kBroken : kHeld;
}

} // namespace

int
RunDeadlyCase(const std::string& aSelf,
              Record& aRecord,
              bool aTrouble,
              const std::string& aPath)
{
  return Play(aSelf, aRecord, aTrouble, aPath, kTrafficTime, KeepRunners);
}

int
RunDarkCase(const std::string& aSelf, Record& aRecord, bool aTrouble)
{
  return Play(
    aSelf, aRecord, aTrouble, kDarkPath, kDarkTrafficTime, KeepDarkRunners);
}

} // namespace review
