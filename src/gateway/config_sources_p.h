#pragma once
// Decides where a gateway reads the configuration. One gateway of a region
// reads it from the platform's store and the others ask that one, so that a
// large configuration crosses the links between regions once. Does no I/O.

#include "siskindeal/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Another gateway that is alive, and what it advertises of the configuration.
struct ConfigHolder
{
  std::string m_vm;
  Address m_address; // answers requests for the configuration
  bool m_isInOwnRegion = true;
  std::uint64_t m_version = 0; // 0: none
  // Time since which it may have missed a change; unset if it has no
  // configuration. Advertised, so not proven.
  std::optional<std::chrono::milliseconds> m_age;
  // It has no configuration and is reading one from the store.
  bool m_readsFirst = false;
};

// What this gateway knows of the configuration.
struct ConfigKnowledge
{
  std::uint64_t m_version = 0;
  std::optional<std::chrono::milliseconds> m_age; // as in ConfigHolder
  // For how long this process has known which gateways are registered, which
  // then hear of each other; negative if it doesn't yet.
  std::chrono::milliseconds m_knowsOthersFor{ 0 };
  bool m_readsFirst = false; // as in ConfigHolder
};

struct ConfigSources
{
  bool m_store = false;               // watch the platform's store
  std::optional<ConfigHolder> m_peer; // ask this gateway
};

// A gateway that may have missed changes for longer isn't asked.
inline constexpr std::chrono::milliseconds kMaxConfigSourceAge{ 1200 };
// Time in which a gateway that starts hears of the others.
inline constexpr std::chrono::milliseconds kConfigDiscoveryTime{ 400 };
// Gateways that get nothing from the others turn to the store one after the
// other, since the first that succeeds passes it on. The first few do so
// quickly, as the one before may have lost the store; if these get nothing
// either, the link to the store is probably full, and each further copy delays
// all.
inline constexpr std::chrono::milliseconds kStoreTurnTime{ 100 };
inline constexpr std::chrono::milliseconds kLateStoreTurnTime{ 500 };
inline constexpr std::int64_t kQuickStoreTurns = 5;
// Likewise for gateways that have no configuration. Two heartbeats, so that
// each hears whether the one before it is reading; and the longest wait, in
// case none of these reads ends.
inline constexpr std::chrono::milliseconds kFirstReadTurnTime{ 300 };
inline constexpr std::chrono::milliseconds kMaxFirstReadTurnTime{ 6000 };
// How many gateways ask the same one.
inline constexpr std::size_t kConfigFanOut = 16;

// For how long a gateway that aPreceding others precede waits for its turn.
constexpr std::chrono::milliseconds
StoreTurn(std::int64_t aPreceding)
{
  const std::int64_t quick =
    aPreceding < kQuickStoreTurns ? aPreceding : kQuickStoreTurns;
  return kStoreTurnTime * quick + kLateStoreTurnTime * (aPreceding - quick);
}

// Gateways that hear the same beacons agree on an order, in which each asks one
// before it. A gateway whose sources fail turns to others as soon as its own
// knowledge is too old. One that starts waits while another is reading: when
// all of a region start at once, a copy for each would fill the link to the
// store, so that none arrives.
ConfigSources
ChooseConfigSources(const std::string& aOwnVm,
                    const ConfigKnowledge& aOwn,
                    const std::vector<ConfigHolder>& aHolders);

} // namespace siskindeal
