#pragma once
// The verdict that every answer and every refusal carries.

#include <optional>
#include <string_view>

namespace siskindeal {

// Says whether a request may have run at its upstream. Ordered: a later value
// claims more execution than an earlier one.
enum class Verdict
{
  NotRun,     // provably never reached the upstream
  MayHaveRun, // was sent, or may have been; the outcome is unknown
  Ran,        // the upstream executed it
};

// The header and metadata name that carries the verdict.
inline constexpr std::string_view kVerdictHeader = "x-siskindeal-verdict";

// The text used in headers, logs and JSON: "not run", "may have run", "ran".
std::string_view
ToString(Verdict aVerdict);

// The verdict of a text written by ToString; nothing for any other text.
std::optional<Verdict>
ParseVerdict(std::string_view aText);

// The verdict of a request that was tried more than once: the one that claims
// the most execution.
Verdict
Combine(Verdict aFirst, Verdict aSecond);

} // namespace siskindeal
