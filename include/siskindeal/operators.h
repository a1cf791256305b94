#pragma once
// HTTP API for operators on an entry: targets, the fleet configuration and the
// quarantine list. docs/INTERFACES.md lists the calls.

#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/platform.h"
#include "siskindeal/settings.h"
#include "siskindeal/target.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

// Headers for the signature and for the client's unique id of a change.
inline constexpr std::string_view kOperatorAuthHeader = "x-siskindeal-auth";
inline constexpr std::string_view kChangeIdHeader = "x-change-id";

// Maximum clock skew between signer and verifier.
inline constexpr std::chrono::minutes kMaxSignatureClockSkew{ 5 };

// The path as signed: the decoded path, then the query parameters as
// "?NAME=VALUE" and "&NAME=VALUE", sorted by name. Method, time and body are
// signed as well.
std::string
SignedPath(const std::string& aPath, const HttpHeaders& aQuery);

// Returns the value of the signature header, signed with the active key.
std::string
SignOperatorCall(const AuthSettings& aAuth,
                 const std::string& aMethod,
                 const std::string& aSignedPath,
                 const std::string& aBody,
                 WallTime aNow);

// Throws Error (Unauthenticated, "not run") unless the request is signed with a
// key in aAuth and its timestamp is within kMaxSignatureClockSkew of aNow.
void
VerifyOperatorCall(const AuthSettings& aAuth,
                   const HttpRequest& aRequest,
                   WallTime aNow);

// The configuration version in force on one process.
struct ConfigInForce
{
  std::string m_vm;
  std::string m_place;
  std::uint64_t m_version = 0;
  bool m_reachable = true;
};

// A request fingerprint that crashed upstreams.
struct QuarantineEntry
{
  std::uint64_t m_fingerprint = 0;
  std::string m_class; // class of work, or the service
  std::uint32_t m_crashes = 0;
  bool m_quarantined = false; // false: a suspect, which runs alone
};

// Callbacks that give OperatorApi access to the entry's state. Each may be
// called from any thread and does no I/O.
struct OperatorView
{
  std::function<std::optional<TargetStatus>(const std::string& aName)>
    m_statusOf;
  std::function<std::vector<TargetStatus>()> m_allStatus;
  std::function<std::vector<TargetSpec>()> m_targets; // in force on this entry
  std::function<std::vector<ConfigInForce>()> m_configInForce;
  std::function<std::vector<QuarantineEntry>()> m_quarantine;
  std::function<bool(std::uint64_t aFingerprint)> m_release; // false: unknown
  // Throw Error (BadRequest) for an invalid configuration or target class.
  std::function<void(const std::string& aJson)> m_checkConfig;
  std::function<void(const std::string& aClass)> m_checkClass;
};

// Handles the operators' calls. Writes are conditional on the version that the
// operator read. If the platform's response to a write is lost, the outcome is
// resolved by its change id before the operator gets a response.
class OperatorApi
{
public:
  // aPlatform and aClock must outlive all calls in flight.
  OperatorApi(Platform& aPlatform,
              const Clock& aClock,
              AuthSettings aAuth,
              OperatorView aView);

  // Returns whether aPath belongs to the operator API.
  static bool Handles(const std::string& aPath);

  // Checks the signature and handles the call. The response may be sent later,
  // from another thread.
  void Handle(const HttpRequest& aRequest,
              const std::shared_ptr<HttpResponder>& aResponder);

private:
  void Dispatch(const HttpRequest& aRequest,
                const std::shared_ptr<HttpResponder>& aResponder);
  void ListTargets(const std::shared_ptr<HttpResponder>& aResponder) const;
  void ReadTarget(const std::string& aName,
                  const std::shared_ptr<HttpResponder>& aResponder) const;
  void WriteTarget(const std::string& aName,
                   const HttpRequest& aRequest,
                   const std::shared_ptr<HttpResponder>& aResponder);
  void DeleteTarget(const std::string& aName,
                    const HttpRequest& aRequest,
                    const std::shared_ptr<HttpResponder>& aResponder);
  void ReadConfig(const std::shared_ptr<HttpResponder>& aResponder) const;
  void WriteConfig(const HttpRequest& aRequest,
                   const std::shared_ptr<HttpResponder>& aResponder);
  void ListConfigInForce(
    const std::shared_ptr<HttpResponder>& aResponder) const;
  void ListQuarantine(const std::shared_ptr<HttpResponder>& aResponder) const;
  void Release(const std::string& aFingerprint,
               const std::shared_ptr<HttpResponder>& aResponder) const;

  Platform& m_platform;
  const Clock& m_clock;
  const AuthSettings m_auth;
  const std::shared_ptr<const OperatorView> m_view;
};

// Fingerprints as text: 16 hexadecimal digits.
std::string
FormatFingerprint(std::uint64_t aFingerprint);
std::optional<std::uint64_t>
ParseFingerprint(const std::string& aText);

} // namespace siskindeal
