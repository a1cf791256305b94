#pragma once
// When a runner that has new weights staged may take them, so that only a share
// of a service's runners is out at once. Every stager decides for its own
// runner, from what the others tell. Pure: time is given.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace siskindeal {

// Where another stager of the service stands.
struct TurnPeer
{
  std::string m_vm;
  bool m_loaded = false;  // its runner has the version
  bool m_staged = false;  // waits for its turn
  bool m_loading = false; // takes no new work
};

struct TurnInputs
{
  std::string m_vm;
  std::string m_versionKey;
  bool m_empty = false; // the runner serves no weights at all
  std::chrono::milliseconds m_timeLeft{ 0 }; // until all must be done
  std::vector<TurnPeer> m_peers;             // heard lately
};

struct Turn
{
  bool m_now = false;
  // How long the runner takes no new work before what still runs is cut.
  std::chrono::milliseconds m_drain{ 0 };
};

Turn
DecideTurn(const TurnInputs& aInputs);

} // namespace siskindeal
