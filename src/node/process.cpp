#include "process_p.h"

#include "node/answer_p.h"

#include "siskindeal/error.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <malloc.h>

namespace siskindeal {

namespace {

constexpr std::chrono::seconds kTrimPeriod{ 20 };
constexpr std::size_t kRetainedFreeBytes = 256 << 10;

} // namespace

Address
AdvertisedAddress(const NodeSettings& aNode, std::uint16_t aPort)
{
  return aNode.m_advertise.m_host.empty() ? Address{ aNode.m_rpc.m_host, aPort }
                                          : aNode.m_advertise;
}

void
StartMemoryTrimming(WorkerPool& aPool)
{
  aPool.Every(kTrimPeriod, [] { malloc_trim(kRetainedFreeBytes); });
}

bool
ServeProcessPage(const HttpRequest& aRequest,
                 HttpResponder& aResponder,
                 const AuthSettings& aAuth,
                 const ProcessPages& aPages)
{
  const auto& path = aRequest.m_path;
  if (path == "/healthz") {
    aResponder.Respond(200, { { "content-type", "text/plain" } }, "ok\n");
    return true;
  }
  if (path == "/readyz") {
    const auto reason = aPages.m_notReady();
    aResponder.Respond(reason.empty() ? 200 : 503,
                       { { "content-type", "text/plain" } },
                       reason.empty() ? "ready\n" : reason + "\n");
    return true;
  }
  if (path == "/metrics") {
    aResponder.Respond(
      200, { { "content-type", "text/plain; version=0.0.4" } }, MetricsText());
    return true;
  }
  if (path != "/state") {
    return false;
  }
  try {
    VerifyOperatorCall(aAuth, aRequest, std::chrono::system_clock::now());
    RespondJson(aResponder, 200, aPages.m_stateJson());
  } catch (const Error& refusal) {
    RespondError(aResponder, refusal);
  }
  return true;
}

} // namespace siskindeal
