#pragma once
// The verdict of a request, included in every response and refusal.

#include <optional>
#include <string_view>

namespace siskindeal {

// Whether a request may have run at its upstream. Ordered from least to most
// execution.
enum class Verdict
{
  NotRun,     // certainly not executed by the upstream
  MayHaveRun, // was sent, or may have been; the outcome is unknown
  Ran,        // the upstream executed it
};

// Name of the HTTP header and gRPC metadata key of the verdict.
inline constexpr std::string_view kVerdictHeader = "x-siskindeal-verdict";

// Returns the text used in headers, logs and JSON: "not run", "may have run",
// "ran".
std::string_view
ToString(Verdict aVerdict);

// Parses a text written by ToString; returns nullopt for any other text.
std::optional<Verdict>
ParseVerdict(std::string_view aText);

// Returns the verdict of a request after two attempts: the one with more
// execution.
Verdict
Combine(Verdict aFirst, Verdict aSecond);

} // namespace siskindeal
