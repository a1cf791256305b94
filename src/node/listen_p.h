#pragma once
// Waits for the addresses of a process that is starting. The process that it
// replaces may still be stopping and have them bound.

#include "siskindeal/settings.h"

#include <chrono>
#include <functional>
#include <string_view>
#include <vector>

namespace siskindeal {

// The time beyond its grace period after which a stopping process is gone.
inline constexpr std::chrono::milliseconds kStopReserve{ 5000 };

struct ListenAddress
{
  std::string_view m_setting; // that names it, for the log
  Address m_address;
  bool m_datagrams = false; // UDP instead of TCP
};

// Calls aListen, which binds aAddresses, once all can be bound: a process must
// not accept callers at one while it waits for another. Throws StoppedAtStart
// if a stop signal arrives meanwhile, and std::system_error with the address if
// one can't be bound, or not within aLimit.
void
ListenWhenFree(const std::vector<ListenAddress>& aAddresses,
               std::chrono::milliseconds aLimit,
               const std::function<void()>& aListen);

} // namespace siskindeal
