#pragma once
// Containment of exceptions: what one handler throws fails what it handled, and
// not the process with all that it has in progress.

#include <exception>
#include <string_view>
#include <utility>

namespace siskindeal {

// Counts an exception that left a handler of the kind aHandler. Logs at most
// once a second for each kind, with the number since the last line, so that
// handlers that fail without end are seen and don't fill the log. The process
// goes on: its end would cut off all requests, and the next process would get
// the same input.
void
RecordHandlerFailure(std::string_view aHandler,
                     std::string_view aReason) noexcept;

// Runs aTask. Returns false, and records the failure, if it throws.
template<typename Task>
bool
Contain(std::string_view aHandler, Task&& aTask) noexcept
{
  try {
    std::forward<Task>(aTask)();
    return true;
  } catch (const std::exception& failure) {
    RecordHandlerFailure(aHandler, failure.what());
  } catch (...) {
    RecordHandlerFailure(aHandler, "not a standard exception");
  }
  return false;
}

} // namespace siskindeal
