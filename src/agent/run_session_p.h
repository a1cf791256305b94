#pragma once
// One request on its way through the agent to the upstream and back.

#include "run_p.h"

#include "siskindeal/error.h"

#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Keeps itself alive while its HTTP call is out. Sends Started, Body... and
// Finished, or Failed with the verdict.
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

  // Keeps the weights loaded until this session is gone.
  void HoldWeights(std::shared_ptr<void> aWeights)
  {
    m_weights = std::move(aWeights);
  }

  // Passes the request on; one that runs at most once is claimed first.
  void Start();

  // The entry gave the request up: ends it at the upstream.
  void Cancel();

  // Ends the call with a failure; a request that never started is "not run".
  void Fail(Reason aReason,
            Verdict aVerdict,
            const std::string& aWhat,
            const std::vector<wire::Suspicion>& aSuspicions = {},
            std::chrono::milliseconds aRetryAfter = {});

private:
  void Claim();
  void OnClaimed(const ClaimResult& aResult);
  void SendStored(const StoredAnswer& aAnswer);
  void EndClaim(Verdict aVerdict);
  void PassOn();
  HttpClientRequest ToHttp() const;
  void OnHeaders(int aStatus, const HttpHeaders& aHeaders);
  bool OnBytes(std::string_view aBytes);
  void OnDone(const HttpReply& aReply);
  void OnAnswered(const HttpReply& aReply);
  // The answer has broken off: looks whether the upstream has crashed.
  void OnLost(const Error& aFailure, int aProbesLeft);
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
  // Only the HTTP client's thread uses these.
  std::optional<std::uint64_t> m_ticket; // of the claim
  std::optional<StoredAnswer> m_answer;  // kept for duplicates
  std::string m_instance; // of the upstream when the request was sent
  bool m_started = false;
  bool m_wrongWeights = false;
  std::uint64_t m_bodyBytes = 0;
  std::string m_tail; // last bytes of a stream, to find its end marker
};

} // namespace siskindeal
