#pragma once
// Platform client over HTTP. The API is described in docs/INTERFACES.md.

#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/platform.h"
#include "siskindeal/registry.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <memory>

namespace siskindeal {

// Platform clients by name. "http" is built in.
using PlatformRegistry = Registry<Platform,
                                  const PlatformSettings&,
                                  HttpClient&,
                                  WorkerPool&,
                                  const Clock&>;

// Creates a client that reserves each use a share of the call budget, opens a
// circuit breaker while the platform fails, and reads a write back by its
// change id if the reply was lost. Such a write is Unknown only if it could not
// be read back before the deadline or if the object was changed more than once
// since. aHttp, aPool and aClock must outlive the client and its callbacks.
std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings,
                 HttpClient& aHttp,
                 WorkerPool& aPool,
                 const Clock& aClock);

} // namespace siskindeal
