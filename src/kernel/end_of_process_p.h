#pragma once
// The last line of the log of a process that doesn't end by itself.

#include <functional>
#include <string_view>

namespace siskindeal {

// From now on an uncaught exception, std::abort and a fatal signal write a last
// line, "process ended", to aDescriptor. The signal then has its default
// effect. An overflow of the stack is told if it happens on the calling thread.
void
InstallEndOfProcessLog(int aDescriptor,
                       std::string_view aRole,
                       std::string_view aVm);

// Runs a role. An exception that ends it is logged as the last line and thrown
// on.
void
RunToEnd(const std::function<void()>& aRole);

} // namespace siskindeal
