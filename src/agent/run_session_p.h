#pragma once
// Forwards one request to the upstream and its response back to the entry.

#include "run_p.h"

#include "siskindeal/error.h"

#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Keeps itself alive while its HTTP call is in flight. Sends Started, Body
// events and Finished, or Failed with a verdict.
class RunSession : public std::enable_shared_from_this<RunSession>
{
public:
  RunSession(std::shared_ptr<RunService> aService,
             wire::RunRequest aRequest,
             std::shared_ptr<RunSink> aSink);

  const wire::RunRequest& Request() const { return m_request; }
  std::string Key() const
  {
    return AttemptKey(m_request.request_id(), m_request.attempt());
  }

  // Keeps the weights loaded until the session is destroyed.
  void HoldWeights(std::shared_ptr<void> aWeights)
  {
    m_weights = std::move(aWeights);
  }

  // Sends the request to the upstream, after claiming it if it must run at most
  // once.
  void Start();

  // Cancels the request at the upstream.
  void Cancel();

  // Ends the session with a failure. The verdict of a request that was never
  // sent is NotRun.
  void Fail(Reason aReason,
            Verdict aVerdict,
            const std::string& aWhat,
            const std::vector<wire::Suspicion>& aSuspicions = {},
            std::chrono::milliseconds aRetryAfter = {});

private:
  void Claim();
  void OnClaimed(const ClaimResult& aResult);
  void SendStoredAnswer(const StoredAnswer& aAnswer);
  void FinishClaim(Verdict aVerdict);
  void SendToUpstream();
  HttpClientRequest MakeHttpRequest() const;
  void OnHeaders(int aStatus, const HttpHeaders& aHeaders);
  bool OnBytes(std::string_view aBytes);
  void OnDone(const HttpReply& aReply);
  void OnResponse(const HttpReply& aReply);
  // Called when the response was cut off. Probes whether the upstream crashed.
  void OnConnectionLost(const Error& aFailure, int aProbesLeft);
  bool HasCrashed(const HttpReply& aProbe);
  void SendStarted(int aStatus, const HttpHeaders& aHeaders);
  void SendBody(std::string_view aBytes);
  void Finish(wire::RunEvent aLast);

  const std::shared_ptr<RunService> m_service;
  std::shared_ptr<void> m_weights;
  const wire::RunRequest m_request;
  const std::shared_ptr<RunSink> m_sink;
  OrderedMutex m_mutex{ LockLevel::Session };
  std::shared_ptr<HttpCall> m_call ABSL_GUARDED_BY(m_mutex);
  bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
  // Only used on the HTTP client's thread.
  std::optional<std::uint64_t> m_ticket; // of the claim
  std::optional<StoredAnswer> m_answer;  // stored for duplicates
  std::string m_instance; // upstream instance the request was sent to
  bool m_started = false;
  bool m_weightsMismatch = false;
  std::uint64_t m_bodyBytes = 0;
  std::string m_tail; // last bytes of a stream, searched for its end marker
};

} // namespace siskindeal
