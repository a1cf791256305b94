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
  bool m_staged = false;  // waits for its turn
  bool m_loading = false; // takes no new work
};

struct TurnInputs
{
  std::string m_vm;
  std::string m_versionKey;
  bool m_empty = false; // the runner serves no weights at all
  bool m_newerWaits = false; // a newer version can't begin before this one
  std::chrono::milliseconds m_sinceNamed{ 0 };
  std::chrono::milliseconds m_within{ 0 }; // to be done by then
  std::vector<TurnPeer> m_peers;           // heard lately
};

bool
MayLoadNow(const TurnInputs& aInputs);

} // namespace siskindeal
