#pragma once
// A runner that fails requests after it has run them, in the ways that the
// platform's protocol describes, and writes responses more than once.

#include "support/threaded_server.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace siskindeal {

class Random;

// What a runner is asked for, and the texts of a sound answer.
struct FaultyRunnerRequest
{
  std::string m_id;
  int m_workMs = 0;
  int m_events = 0; // 0: no stream
  int m_lastEvent = 0;
  std::string m_body;                          // of the answer
  std::function<std::string(int)> m_eventText; // by number
};

struct FaultyRunnerOptions
{
  std::uint64_t m_seed = 0;
  double m_faulty = 0.5; // share of the requests
  // Share of the copies that lack the request's id.
  double m_untied = 0.5;
  bool m_copiesAnswers = true; // not only rejections
  // Share of the copies that break off, and of those that precede the response
  // to the connection's next request.
  double m_cut = 0;
  double m_held = 0;
  // Requests that run at once; it rejects others. 0: any number.
  std::size_t m_slots = 0;
};

class FaultyRunner
{
public:
  // Completes a request from the head that arrived. Returns false for one that
  // isn't a caller's. Thread-safe, as is Record.
  using Describe = std::function<bool(const std::string& aHead,
                                      FaultyRunnerRequest& aRequest)>;
  // Called when a request begins to run.
  using Record = std::function<void(const std::string& aId)>;

  FaultyRunner(const FaultyRunnerOptions& aOptions,
               Describe aDescribe,
               Record aRecord);

  Address ListenAddress() const { return m_server.ListenAddress(); }

private:
  // A caller's connection.
  struct Connection
  {
    RawSocket m_socket;
    Random& m_random;
    std::string m_heldCopy; // written before the next response
  };

  void Serve(RawSocket aSocket, std::uint64_t aSeed);
  // Returns whether the connection is kept, as the next ones do.
  bool Answer(Connection& aConnection, const FaultyRunnerRequest& aRequest);
  bool Run(Connection& aConnection,
           const FaultyRunnerRequest& aRequest,
           bool aIsFaulty);
  bool Respond(Connection& aConnection,
               const FaultyRunnerRequest& aRequest) const;
  bool FailAfterRun(Connection& aConnection,
                    const FaultyRunnerRequest& aRequest) const;
  bool Stream(Connection& aConnection,
              const FaultyRunnerRequest& aRequest,
              bool aIsFaulty) const;
  // Sends a response and, at times, a copy of it: at once, late, or before the
  // next response.
  void SendWithCopy(Connection& aConnection,
                    const FaultyRunnerRequest& aRequest,
                    const std::string& aStatus,
                    const std::string& aBody,
                    bool aIsCopied) const;
  // Takes a slot, if one is free.
  bool TakeSlot();

  FaultyRunnerOptions m_options;
  Describe m_describe;
  Record m_record;
  std::atomic<std::size_t> m_running = 0;
  ThreadedServer m_server; // its threads use the members above
};

} // namespace siskindeal
