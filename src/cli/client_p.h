#pragma once
// The operators' client: sends signed calls to the first entry that responds.

#include "cli/exit_status_p.h"
#include "siskindeal/http.h"
#include "siskindeal/settings.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <optional>

namespace siskindeal {

// A change of one object, conditional on the version that the operator read.
struct OperatorChange
{
  std::string m_method; // PUT or DELETE
  std::string m_path;   // decoded
  std::uint64_t m_expectedVersion = 0;
  std::string m_body{};
};

// Tries the entries in order. If the response to a change is lost, the client
// reads the object back and compares its change id before it retries, so that
// the change is applied at most once.
class OperatorClient
{
public:
  explicit OperatorClient(ClientSettings aSettings);

  // Returns the JSON body of a 200 response. Throws CommandError: Unreachable
  // if no entry responds, else a status that matches the entry's error.
  nlohmann::json Read(const std::string& aPath);

  // Returns the changed object. Throws CommandError, with Unknown if neither
  // the response nor reading back shows whether the change took effect.
  nlohmann::json Change(const OperatorChange& aChange);

  // Sends a call that is safe to repeat.
  nlohmann::json CallIdempotent(const std::string& aMethod,
                                const std::string& aPath);

  // Returns the state of the process with the given HTTP address.
  nlohmann::json State(const Address& aProcess);

private:
  struct PendingChange;

  HttpReply Send(const Address& aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const HttpHeaders& aQuery,
                 const std::string& aBody,
                 const std::string& aChangeId);
  bool TryChange(const Address& aEntry, PendingChange& aPending);
  bool TryReadBack(const Address& aEntry, PendingChange& aPending);

  const ClientSettings m_settings;
  HttpClient m_http;
};

// Adds --client, --entry and --key-id.
void
AddClientOptions(cxxopts::Options& aOptions);

// Settings from the options, or from the file named by SISKINDEAL_CLIENT.
ClientSettings
ResolveClientSettings(const cxxopts::ParseResult& aArguments);

// Percent-encodes a path or query value.
std::string
PercentEncoded(const std::string& aText);

// Path of the list of targets.
inline constexpr const char* kTargetsPath = "/v1/operator/targets";

// Path of one target.
std::string
TargetPath(const std::string& aName);

// Appended to the Explanation of commands that call an entry.
inline constexpr const char* kClientExplanation =
  "Entries and the signing key come from the file that --client or "
  "SISKINDEAL_CLIENT\nnames, or from --entry, --key-id and the secret in "
  "SISKINDEAL_KEY. If an entry is down,\nthe next one is tried.";

} // namespace siskindeal
