#pragma once
// The platform over HTTP, as docs/INTERFACES.md describes it.

#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/platform.h"
#include "siskindeal/registry.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <memory>

namespace siskindeal {

// Platform clients by name; "http" is the one that ships.
using PlatformRegistry = Registry<Platform,
                                  const PlatformSettings&,
                                  HttpClient&,
                                  WorkerPool&,
                                  const Clock&>;

// A client that keeps each use within its share of the process's budget, stops
// calling a failing platform for a while, and reads a write back by its change
// id when the answer was lost. Such a write is Unknown only if that couldn't be
// done within the time limit, or if the object has been changed more than once
// since. The client, pool and clock must outlive it and its callbacks.
std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings,
                 HttpClient& aHttp,
                 WorkerPool& aPool,
                 const Clock& aClock);

} // namespace siskindeal
