#pragma once
// The operators' calls on an entry: stating and reading targets, changing the
// configuration, the quarantine list. docs/INTERFACES.md lists them.

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

// The header that carries the signature, and the one that carries the unique id
// that a client gives its change.
inline constexpr std::string_view kOperatorAuthHeader = "x-siskindeal-auth";
inline constexpr std::string_view kChangeIdHeader = "x-change-id";

// How far the clocks of signer and checker may be apart.
inline constexpr std::chrono::minutes kSignatureAllowance{ 5 };

// The part of a call that is signed besides its method, time and body: the
// decoded path, then "?NAME=VALUE" and "&NAME=VALUE" in the order of names.
std::string
SignedPath(const std::string& aPath, const HttpHeaders& aQuery);

// The value of the signature header, made with the active key.
std::string
SignOperatorCall(const AuthSettings& aAuth,
                 const std::string& aMethod,
                 const std::string& aSignedPath,
                 const std::string& aBody,
                 WallTime aNow);

// Throws Error (Unauthenticated, "not run") unless the request is signed with a
// key that aAuth lists, at a time within the allowance.
void
CheckOperatorCall(const AuthSettings& aAuth,
                  const HttpRequest& aRequest,
                  WallTime aNow);

// The configuration version in force at one process.
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
  std::string m_class; // of work, or the service
  std::uint32_t m_crashes = 0;
  bool m_quarantined = false; // else a suspect, which runs alone
};

// What the entry tells the operators' calls. Each may be called from any thread
// and answers from memory.
struct OperatorView
{
  std::function<std::optional<TargetStatus>(const std::string& aName)>
    m_statusOf;
  std::function<std::vector<TargetStatus>()> m_allStatus;
  std::function<std::vector<TargetSpec>()> m_targets; // in force here
  std::function<std::vector<ConfigInForce>()> m_configInForce;
  std::function<std::vector<QuarantineEntry>()> m_quarantine;
  std::function<bool(std::uint64_t aFingerprint)> m_release; // false: unknown
  // Throw Error (BadRequest) for a configuration, or a target's class, that is
  // not accepted.
  std::function<void(const std::string& aJson)> m_checkConfig;
  std::function<void(const std::string& aClass)> m_checkClass;
};

// Answers the operators' calls. Writes are conditional on the version that the
// operator saw; one whose answer from the platform is lost is resolved by its
// change id before the operator is told.
class OperatorApi
{
public:
  // The platform and the clock must outlive the calls in progress.
  OperatorApi(Platform& aPlatform,
              const Clock& aClock,
              AuthSettings aAuth,
              OperatorView aView);

  // Whether a path is one of the operators'.
  static bool Handles(const std::string& aPath);

  // Checks the signature and answers, perhaps later and on another thread.
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

// A fingerprint as operators read and write it: 16 hexadecimal digits.
std::string
FingerprintText(std::uint64_t aFingerprint);
std::optional<std::uint64_t>
ParseFingerprint(const std::string& aText);

} // namespace siskindeal
