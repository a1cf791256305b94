#pragma once
// What every role's process does alike: stop signals and the plain HTTP pages.

#include "siskindeal/http.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

// Keeps SIGTERM and SIGINT from ending the process; call before any thread is
// started.
void
BlockStopSignals();

// Waits until SIGTERM or SIGINT comes.
void
WaitForStopSignal();

// Where other processes reach this one, which listens for them on aPort.
Address
AdvertisedAddress(const NodeSettings& aNode, std::uint16_t aPort);

// Gives memory that was freed back to the system, now and then: what a start or
// a rush needed would stay resident otherwise, spread over the allocator's
// pages.
void
ReturnFreedMemory(WorkerPool& aPool);

// What the plain pages show.
struct ProcessPages
{
  // Empty when the process takes work, else why it doesn't.
  std::function<std::string()> m_notReady;
  std::function<std::string()> m_stateJson;
};

// Answers /healthz, /readyz, /metrics and /state (which has to be signed).
// False when the path is none of these.
bool
AnswerProcessPage(const HttpRequest& aRequest,
                  HttpResponder& aResponder,
                  const AuthSettings& aAuth,
                  const ProcessPages& aPages);

} // namespace siskindeal
