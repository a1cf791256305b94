#pragma once
// Base of the stand-ins: an HTTP server, fault injection by name, and helpers
// for requests and responses.

#include "siskindeal/http.h"
#include "standin/scheduler.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal::standin {

// An active fault. The faults are:
//   outage         responds 503 to every request
//   refuse         responds 429 to every request
//   slow           delays handling by m_value milliseconds
//   late           handles at once, delays the response by m_value milliseconds
//   lose_answer    handles, then closes the connection without a response
//   reset          closes the connection without handling the request
//   truncate       sends part of the response, then closes the connection
//   freeze         holds requests unhandled until the fault is cleared
//   crash_on_body  crashes on a request whose body contains m_value
//   crash_on_token engine: crashes before the sixth token of a chat whose
//                  prompt contains m_value, unless it resumed after the fifth
//   no_resume      engine: ignores a resume offset and starts over
//   watch_gap      platform: responds 410 to watches
//   corrupt_chunk  corrupts a byte of the weights sent
struct Fault
{
  std::string m_value;
  int m_times = -1;           // uses left; -1: until cleared
  std::string m_client{};     // only for this client, see OpenFor
  std::string m_pathPrefix{}; // only for paths with this prefix
};

// The faults of one stand-in. Thread-safe.
class Faults
{
public:
  void Set(const std::string& aName, Fault aFault = {});
  void Clear(const std::string& aName);
  // Returns the fault's value and consumes a use, if the fault applies to this
  // request.
  std::optional<std::string> Take(const std::string& aName,
                                  const HttpRequest& aRequest);
  // Consumes a use if the fault applies and the body contains its value.
  bool TakeIfInBody(const std::string& aName, const HttpRequest& aRequest);
  // Without a request; ignores faults that are limited to a client or path.
  std::optional<std::string> Take(const std::string& aName);

private:
  Fault* Find(const std::string& aName, const HttpRequest& aRequest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  absl::Mutex m_mutex;
  std::map<std::string, Fault> m_faults ABSL_GUARDED_BY(m_mutex);
};

constexpr std::chrono::milliseconds kDefaultRestartDelay{ 1000 };

struct StandInOptions
{
  std::string m_host = "127.0.0.1";
  std::uint16_t m_port = 0;
  // A crash exits the process. Otherwise the crash is counted, every connection
  // is closed, and the stand-in listens again after m_restart.
  bool m_exitOnCrash = false;
  // With 0, requests in progress are aborted but no connection is refused.
  std::chrono::milliseconds m_restart = kDefaultRestartDelay;
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
  // Opens a further port for one client and returns its URL. Requests on it are
  // attributed to the client, so faults can be limited to it.
  std::string OpenFor(const std::string& aClient);
  Faults& GetFaults() { return m_faults; }
  // Clears the freeze fault and resumes the held requests.
  void Unfreeze();
  // Number of requests held by the freeze fault.
  std::size_t Frozen();
  int Crashes() const { return m_crashes; }
  // Identifies the instance; changes with each crash.
  std::string Instance() const;

protected:
  // Called by the constructor and destructor of the most derived class.
  void Start();
  void Stop();

  virtual void Handle(HttpRequest aRequest, const Responder& aResponder) = 0;
  // Drops the state that a crash loses.
  virtual void OnCrash() {}

  // Crashes while handling the request of this responder.
  void Crash(const Responder& aResponder);
  Scheduler& GetScheduler() { return m_scheduler; }

private:
  std::unique_ptr<HttpServer> Listen(std::uint16_t aPort,
                                     const std::string& aClient);
  void OnRequest(HttpRequest aRequest, Responder aResponder);
  void HandleWithFaults(HttpRequest aRequest, const Responder& aResponder);
  void OnFaultRequest(const HttpRequest& aRequest, const Responder& aResponder);

  const StandInOptions m_options;
  Scheduler m_scheduler;
  Faults m_faults;
  std::atomic<int> m_crashes{ 0 };
  const std::string m_startId;
  absl::Mutex m_mutex;
  std::vector<std::pair<HttpRequest, Responder>> m_frozen
    ABSL_GUARDED_BY(m_mutex);
  std::uint16_t m_port = 0;
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::unique_ptr<HttpServer>> m_clientServers;
};

// Sends a JSON response.
void
Answer(const Responder& aResponder, int aStatus, const nlohmann::json& aBody);
void
AnswerError(const Responder& aResponder,
            int aStatus,
            const std::string& aReason);
// Sends a JSON response with the header x-upstream-instance.
void
AnswerWithInstance(const StandIn& aStandIn,
                   const Responder& aResponder,
                   const nlohmann::json& aBody);
// Sends a 429 or 503 response with retry-after-ms, for a request that had no
// effect.
void
AnswerRetryAfter(const Responder& aResponder,
                 int aStatus,
                 std::chrono::milliseconds aAfter);

// Returns aPath without aPrefix, or nullopt if it does not start with it.
std::optional<std::string>
StripPrefix(const std::string& aPath, const std::string& aPrefix);

// Returns a number from a query or headers, or aDefault if it is missing or
// malformed.
std::uint64_t
GetNumber(const HttpHeaders& aFields,
          const std::string& aName,
          std::uint64_t aDefault);
// Returns a value from a query or headers, or "" if it is missing.
std::string
GetString(const HttpHeaders& aFields, const std::string& aName);

} // namespace siskindeal::standin
