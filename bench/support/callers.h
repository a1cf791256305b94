#pragma once
// Caller threads for a fleet of real processes. A caller caches the response of
// GET /v1/entry for its lifetime and checks that each response is complete and
// belongs to its request.

#include "siskindeal/http.h"
#include "support/fleet.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal::bench {

using TimePoint = std::chrono::steady_clock::time_point;

enum class RequestKind
{
  Chat,    // buffered
  Stream,  // streamed
  Booking, // plain service, idempotency key, runs at most once
  Lookup,  // plain service, idempotent
};

enum class CallOutcome
{
  Complete,
  NotRun,  // refused with this verdict
  NotSent, // no connection to the entry
  Failed,  // anything else
};

// A request and its outcome at the caller.
struct CallResult
{
  RequestKind m_kind = RequestKind::Chat;
  std::string m_address; // of the entry or the upstream
  std::string m_key;
  TimePoint m_sent;
  TimePoint m_ended;
  CallOutcome m_outcome = CallOutcome::Failed;
  std::string m_detail; // status, error and body unless complete
};

struct CallOptions
{
  std::string m_content; // SHA-256 of the loaded weights
  int m_chatTokens = 1;
  int m_streamTokens = 1;
};

// Sends a request to http://aAddress and returns its outcome. The prompt or the
// idempotency key is derived from aId.
CallResult
SendRequest(HttpClient& aClient,
            const CallOptions& aOptions,
            RequestKind aKind,
            const std::string& aAddress,
            const std::string& aId);

// Sends the same request directly to the upstream at aAddress.
CallResult
SendToUpstream(HttpClient& aClient,
               const CallOptions& aOptions,
               RequestKind aKind,
               const std::string& aAddress,
               const std::string& aId);

class Callers
{
public:
  // Starts a thread for each of aKinds. Each pauses aPause between requests.
  Callers(const Fleet& aFleet,
          CallOptions aOptions,
          const std::vector<RequestKind>& aKinds,
          std::chrono::milliseconds aPause);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Waits for the requests in flight and returns all requests sent.
  std::vector<CallResult> Stop();

private:
  void Run(RequestKind aKind, std::size_t aIndex);
  void Add(CallResult aResult);

  const CallOptions m_options;
  const std::chrono::milliseconds m_pause;
  std::vector<std::string> m_entries; // "IP:PORT"
  HttpClient m_client;
  std::atomic<bool> m_stopping{ false };
  absl::Mutex m_mutex;
  std::vector<CallResult> m_results ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_threads;
};

} // namespace siskindeal::bench
