#pragma once
// What the stand-ins share: an HTTP server, faults that are switched on by
// name, and the answers that the interfaces have in common.

#include "siskindeal/http.h"
#include "standin/scheduler.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal::standin {

// A fault that is on. Faults by name:
//   outage         503 to everything
//   refuse         429 to everything
//   slow           waits m_value milliseconds before it works
//   late           works at once, answers m_value milliseconds later
//   lose_answer    works, then closes the connection without an answer
//   reset          closes the connection without working
//   truncate       sends half of the answer, then closes the connection
//   freeze         neither works nor answers until the fault is cleared
//   crash_on_body  a request whose body has the text m_value ends the stand-in
//   crash_on_token engine: a chat whose prompt has the text m_value ends the
//                  stand-in before its sixth token, if it made the fifth
//   no_resume      engine: answers from the start when asked to resume
//   watch_gap      platform: watches are answered 410
//   corrupt_chunk  a byte of the weights sent is wrong
struct Fault
{
  std::string m_value;
  int m_times = -1;           // how often still; -1: until cleared
  std::string m_client{};     // only requests of this client, see OpenFor
  std::string m_pathPrefix{}; // only requests under this path
};

// The faults of one stand-in. Thread-safe.
class Faults
{
public:
  void Set(const std::string& aName, Fault aFault = {});
  void Clear(const std::string& aName);
  // The value of the fault if it is on for this request; counts it.
  std::optional<std::string> Take(const std::string& aName,
                                  const HttpRequest& aRequest);
  // The same for a fault whose value must occur in the body.
  bool TakeOnBody(const std::string& aName, const HttpRequest& aRequest);
  // The same where no request is at hand.
  std::optional<std::string> Take(const std::string& aName);

private:
  Fault* Find(const std::string& aName, const HttpRequest& aRequest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  absl::Mutex m_mutex;
  std::map<std::string, Fault> m_faults ABSL_GUARDED_BY(m_mutex);
};

constexpr std::chrono::milliseconds kRestart{ 1000 };

// Where a stand-in listens, and whether it ends the process when it crashes; if
// not, it counts the crash, closes every connection and listens again later. A
// restart of 0 is too fast to be seen from outside: the connections of requests
// break, and no connection is refused.
struct StandInOptions
{
  std::string m_host = "127.0.0.1";
  std::uint16_t m_port = 0;
  bool m_exitOnCrash = false;
  std::chrono::milliseconds m_restart = kRestart; // after a crash
};

using Responder = std::shared_ptr<HttpResponder>;

class StandIn
{
public:
  explicit StandIn(StandInOptions aOptions);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  std::uint16_t Port() const;
  std::string Url() const;
  // Another address of the same stand-in, for one client alone: requests that
  // come through it are that client's, so that it can be cut off. Returns the
  // URL.
  std::string OpenFor(const std::string& aClient);
  Faults& GetFaults() { return m_faults; }
  // Clears the fault and lets frozen requests go on.
  void Unfreeze();
  // Requests that a freeze holds.
  std::size_t Frozen();
  int Crashes() const { return m_crashes; }
  // Names this start of the stand-in; another after each crash.
  std::string Instance() const;

protected:
  // Called by the constructor and the destructor of the most derived class.
  void Start();
  void Stop();

  virtual void Handle(HttpRequest aRequest, const Responder& aResponder) = 0;
  // What a crash loses.
  virtual void OnCrash() {}

  // The stand-in dies while it works on the request of this responder.
  void Crash(const Responder& aResponder);
  Scheduler& GetScheduler() { return m_scheduler; }

private:
  std::unique_ptr<HttpServer> Listen(std::uint16_t aPort,
                                     const std::string& aClient);
  void OnRequest(HttpRequest aRequest, Responder aResponder);
  void Admit(HttpRequest aRequest, const Responder& aResponder);
  void OnFaultRequest(const HttpRequest& aRequest, const Responder& aResponder);

  const StandInOptions m_options;
  Scheduler m_scheduler;
  Faults m_faults;
  std::atomic<int> m_crashes{ 0 };
  const std::string m_start;
  absl::Mutex m_mutex;
  std::vector<std::pair<HttpRequest, Responder>> m_frozen
    ABSL_GUARDED_BY(m_mutex);
  std::uint16_t m_port = 0;
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::unique_ptr<HttpServer>> m_clientServers;
};

// Answers with a JSON body.
void
Answer(const Responder& aResponder, int aStatus, const nlohmann::json& aBody);
void
AnswerError(const Responder& aResponder, int aStatus, const std::string& aWhy);
// The same, naming the start of the stand-in that answers.
void
AnswerFrom(const StandIn& aStandIn,
           const Responder& aResponder,
           const nlohmann::json& aBody);
// 429 or 503 with retry-after-ms, without effect.
void
AnswerRetry(const Responder& aResponder,
            int aStatus,
            std::chrono::milliseconds aAfter);

// The part of a path after aPrefix; nothing where it doesn't begin so.
std::optional<std::string>
After(const std::string& aPath, const std::string& aPrefix);

// A query's or header's number; aOtherwise where it is missing or malformed.
std::uint64_t
Number(const HttpHeaders& aFrom,
       const std::string& aName,
       std::uint64_t aOtherwise);
std::string
Text(const HttpHeaders& aFrom, const std::string& aName);

} // namespace siskindeal::standin
