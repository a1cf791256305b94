#pragma once
// Callers of a fleet of real processes: threads that keep the answer of GET
// /v1/entry for its lifetime and check that each answer is whole and their own.

#include "siskindeal/http.h"
#include "support/fleet.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal::bench {

using Time = std::chrono::steady_clock::time_point;

enum class Work
{
  Chat,    // whole
  Stream,  // streamed
  Booking, // runs at most once, with a key
  Lookup,  // of a plain service, may be repeated
};

enum class Ending
{
  Whole,
  NotRun,  // refused with this verdict
  NotSent, // no connection to the entry
  CutOff,  // anything else
};

// One request as its caller saw it.
struct Asked
{
  Work m_work = Work::Chat;
  std::string m_address; // of the entry, or of the upstream
  std::string m_key;
  Time m_sent;
  Time m_ended;
  Ending m_ending = Ending::CutOff;
  std::string m_what; // of an answer that isn't whole
};

struct CallOptions
{
  std::string m_content; // SHA-256 of the weights that answer
  int m_chatTokens = 1;
  int m_streamTokens = 1;
};

// The request of aWork to http://aAddress, and what came of it. aNumber makes
// the prompt or key.
Asked
Ask(HttpClient& aClient,
    const CallOptions& aOptions,
    Work aWork,
    const std::string& aAddress,
    const std::string& aNumber);

// The same, straight to the upstream at aAddress.
Asked
AskUpstream(HttpClient& aClient,
            const CallOptions& aOptions,
            Work aWork,
            const std::string& aAddress,
            const std::string& aNumber);

class Callers
{
public:
  // Starts a thread for each of aWorks, which pauses aPause between requests.
  Callers(const Fleet& aFleet,
          CallOptions aOptions,
          const std::vector<Work>& aWorks,
          std::chrono::milliseconds aPause);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Lets each request in progress end; what was asked.
  std::vector<Asked> Stop();

private:
  void Run(Work aWork, std::size_t aIndex);
  void Add(Asked aAsked);

  const CallOptions m_options;
  const std::chrono::milliseconds m_pause;
  std::vector<std::string> m_entries; // "IP:PORT"
  HttpClient m_client;
  std::atomic<bool> m_stopping{ false };
  absl::Mutex m_mutex;
  std::vector<Asked> m_asked ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_threads;
};

} // namespace siskindeal::bench
