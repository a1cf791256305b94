#pragma once
// The last line of the log of a process that doesn't end by itself.

#include <exception>
#include <functional>
#include <string_view>

namespace siskindeal {

// Thrown by a role to which SIGTERM or SIGINT was sent before it served.
class StoppedAtStart final : public std::exception
{
public:
  const char* what() const noexcept override
  {
    return "stop signal during the start";
  }
};

// From now on an uncaught exception, std::abort and a fatal signal write a last
// line, "process ended", to aDescriptor. The signal then has its default
// effect. An overflow of the stack is told if it happens on the calling thread.
void
InstallEndOfProcessLog(int aDescriptor,
                       std::string_view aRole,
                       std::string_view aVm);

// Runs a role. An exception that ends it is logged as the last line, unless it
// is StoppedAtStart, and thrown on.
void
RunToEnd(const std::function<void()>& aRole);

} // namespace siskindeal
