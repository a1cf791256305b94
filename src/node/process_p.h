#pragma once
// Functions shared by the processes of every role: memory trimming
// and the process's HTTP pages.

#include "siskindeal/http.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

// The address at which other processes reach this one, which listens on aPort.
Address
AdvertisedAddress(const NodeSettings& aNode, std::uint16_t aPort);

// Periodically returns freed memory to the system. Otherwise memory used at
// startup or under peak load would stay resident in the allocator.
void
StartMemoryTrimming(WorkerPool& aPool);

// The contents of the pages.
struct ProcessPages
{
  // Returns why the process is not ready. Empty if it is.
  std::function<std::string()> m_notReady;
  std::function<std::string()> m_stateJson;
};

// Serves /healthz, /readyz, /metrics and /state, which requires a signed
// request. Returns false for any other path.
bool
ServeProcessPage(const HttpRequest& aRequest,
                 HttpResponder& aResponder,
                 const AuthSettings& aAuth,
                 const ProcessPages& aPages);

} // namespace siskindeal
