#pragma once
// Interface to the platform: versioned objects with conditional writes and
// watches, and the list of VMs, which lags behind the actual state.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

// An object of the platform. The versions of a key increase, even across
// deletes.
struct PlatformObject
{
  std::string m_key;
  std::uint64_t m_version = 0; // 0 if it does not exist
  std::string m_value;         // at most kMaxPlatformValueBytes
  std::string m_changeId;      // of the write that made this version
  bool m_deleted = false;
};

inline constexpr std::size_t kMaxPlatformValueBytes = 1 << 20;

// The outcome of a call to the platform.
enum class PlatformOutcome
{
  Ok,
  Conflict,    // the expected version of a write was not the current one
  NotFound,    // no such object
  Compacted,   // a watch starts before the retained history
  Invalid,     // rejected permanently: too large or malformed
  Unavailable, // had no effect: not sent, rejected, or over budget
  Unknown,     // a write that may have taken effect; read back by change id
};

struct PlatformReply
{
  PlatformOutcome m_outcome = PlatformOutcome::Unavailable;
  // The object for Get and Put; on a conflict, the current object.
  PlatformObject m_object;
  std::chrono::milliseconds m_retryAfter{ 0 };
};

// The result of List and Watch. Watch returns changes after a given revision.
struct PlatformChanges
{
  PlatformOutcome m_outcome = PlatformOutcome::Unavailable;
  std::uint64_t m_revision = 0; // where to resume watching
  std::vector<PlatformObject> m_objects;
};

// An entry of the platform's list of VMs, which lags by seconds.
struct VmListing
{
  std::string m_vm;
  std::string m_place;
  std::string m_service;    // empty for an entry VM
  std::string m_rpcAddress; // of the siskindeal process on it
  bool m_leaving = false;
};

struct VmList
{
  PlatformOutcome m_outcome = PlatformOutcome::Unavailable;
  std::vector<VmListing> m_vms;
};

// The purpose of a call. Each has its own share of the budget and its metrics.
enum class PlatformUse
{
  Config,
  Lease,
  Claim,
  Target,
  Membership,
  Operator,
};

// A write that is applied only if the key is at the expected version.
struct PlatformWrite
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_expectedVersion = 0; // 0 to create
  std::string m_changeId;              // unique, chosen by the writer
};

// The platform's client interface. Calls do not block. The callback runs
// exactly once, on any thread, after the call has returned.
class Platform
{
public:
  using ReplyCallback = std::function<void(PlatformReply)>;
  using ChangesCallback = std::function<void(PlatformChanges)>;
  using VmsCallback = std::function<void(VmList)>;

  virtual ~Platform() = default;
  virtual void Get(PlatformUse aUse,
                   const std::string& aKey,
                   ReplyCallback aDone) = 0;
  virtual void Put(PlatformUse aUse,
                   const PlatformWrite& aWrite,
                   ReplyCallback aDone) = 0;
  // m_value of the write is ignored.
  virtual void Delete(PlatformUse aUse,
                      const PlatformWrite& aWrite,
                      ReplyCallback aDone) = 0;
  virtual void List(PlatformUse aUse,
                    const std::string& aPrefix,
                    ChangesCallback aDone) = 0;
  // Completes as soon as there are changes, or without changes after aWait.
  virtual void Watch(PlatformUse aUse,
                     const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     std::chrono::milliseconds aWait,
                     ChangesCallback aDone) = 0;
  virtual void Vms(VmsCallback aDone) = 0;
};

} // namespace siskindeal
