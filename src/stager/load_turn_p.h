#pragma once
// Decides when a runner may load its staged weights, so that only a share of a
// service's runners is unavailable at once. Each stager decides for its own
// runner from the state its peers announce. Does no I/O; the caller passes the
// time.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace siskindeal {

// Announced state of another stager of the service.
struct TurnPeer
{
  std::string m_vm;
  bool m_loaded = false;  // the runner serves the version
  bool m_staged = false;  // waiting for its turn
  bool m_loading = false; // draining or loading
};

struct TurnInputs
{
  std::string m_vm;
  std::string m_versionKey;
  bool m_empty = false;                      // the runner has no weights loaded
  std::chrono::milliseconds m_timeLeft{ 0 }; // until all must have loaded
  std::vector<TurnPeer> m_peers;             // seen recently
};

struct Turn
{
  bool m_mayStart = false;
  // How long the runner drains before remaining requests are interrupted.
  std::chrono::milliseconds m_drain{ 0 };
};

Turn
DecideTurn(const TurnInputs& aInputs);

} // namespace siskindeal
