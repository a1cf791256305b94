#pragma once
// The operators' client: signed calls to whichever entry answers.

#include "cli/exit_status_p.h"
#include "siskindeal/http.h"
#include "siskindeal/settings.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <optional>

namespace siskindeal {

// A change of one object, conditional on the version that the operator saw.
struct OperatorChange
{
  std::string m_method; // PUT or DELETE
  std::string m_path;   // decoded
  std::uint64_t m_expectedVersion = 0;
  std::string m_body{};
};

// Tries the entries in their order. A change whose answer is lost is resolved
// by its id before it is sent again, so that it is made at most once.
class OperatorClient
{
public:
  explicit OperatorClient(ClientSettings aSettings);

  // The JSON of a 200. Throws CommandError: Unreachable when no entry answers,
  // else by what the entry refused.
  nlohmann::json Read(const std::string& aPath);

  // The object as changed. Throws CommandError; Unknown when neither an answer
  // nor reading back says whether the change was made.
  nlohmann::json Change(const OperatorChange& aChange);

  // A call that may be repeated without harm.
  nlohmann::json Repeatable(const std::string& aMethod,
                            const std::string& aPath);

  // The state of one process, by its HTTP address.
  nlohmann::json State(const Address& aProcess);

private:
  struct Sent;

  HttpReply Send(const Address& aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const HttpHeaders& aQuery,
                 const std::string& aBody,
                 const std::string& aChangeId);
  bool TryChange(const Address& aEntry, Sent& aSent);
  bool TryReadBack(const Address& aEntry, Sent& aSent);

  const ClientSettings m_settings;
  HttpClient m_http;
};

// Adds --client, --entry and --key-id.
void
AddClientOptions(cxxopts::Options& aOptions);

// The client of the options, or of the file that SISKINDEAL_CLIENT names.
ClientSettings
ClientSettingsOf(const cxxopts::ParseResult& aArguments);

// The percent-encoded form of a decoded path or query value.
std::string
PercentEncoded(const std::string& aText);

// Where an entry answers about targets.
inline constexpr const char* kTargetsPath = "/v1/operator/targets";

// Where an entry answers about one target.
std::string
TargetPath(const std::string& aName);

// For a command's Explanation.
inline constexpr const char* kClientExplanation =
  "Entries and the signing key come from the file that --client or "
  "SISKINDEAL_CLIENT\nnames, or from --entry, --key-id and the secret in "
  "SISKINDEAL_KEY. The next entry is\ntried when one is down.";

} // namespace siskindeal
