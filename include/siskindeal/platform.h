#pragma once
// What siskindeal asks of the platform: objects with versions, conditional
// updates and watches, and the lagging list of VMs.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

// An object of the platform. Versions of one key only grow, also over a delete.
struct PlatformObject
{
  std::string m_key;
  std::uint64_t m_version = 0; // 0: doesn't exist
  std::string m_value;         // at most kPlatformValueBytes
  std::string m_changeId;      // of the write that made this version
  bool m_deleted = false;
};

inline constexpr std::size_t kPlatformValueBytes = 1 << 20;

// What is known of a call to the platform.
enum class PlatformOutcome
{
  Ok,
  Conflict,    // a write's expected version was not the current one
  NotFound,    // no such object
  Compacted,   // a watch from before the kept history
  Invalid,     // refused for good: too large or malformed
  Unavailable, // provably took no effect: not sent, refused, or out of budget
  Unknown,     // a write that may have taken effect; read back by change id
};

struct PlatformReply
{
  PlatformOutcome m_outcome = PlatformOutcome::Unavailable;
  // Get and Put: the object. On a conflict, the object as it stands.
  PlatformObject m_object;
  std::chrono::milliseconds m_retryAfter{ 0 };
};

// List and Watch. A watch answers the changes after the revision it was given.
struct PlatformChanges
{
  PlatformOutcome m_outcome = PlatformOutcome::Unavailable;
  std::uint64_t m_revision = 0; // to watch from next
  std::vector<PlatformObject> m_objects;
};

// A line of the platform's list of VMs, seconds behind the truth.
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

// What a call is for; each use has its own budget and metrics.
enum class PlatformUse
{
  Config,
  Lease,
  Claim,
  Target,
  Membership,
  Operator,
};

// A write that takes effect only if the key is at the expected version.
struct PlatformWrite
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_expectedVersion = 0; // 0: create
  std::string m_changeId;              // unique, made by the writer
};

// The platform. Calls return at once; the callback runs exactly once, on any
// thread, never before the call has returned.
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
  // Deletes; m_value of the write is ignored.
  virtual void Delete(PlatformUse aUse,
                      const PlatformWrite& aWrite,
                      ReplyCallback aDone) = 0;
  virtual void List(PlatformUse aUse,
                    const std::string& aPrefix,
                    ChangesCallback aDone) = 0;
  // Answers as soon as there are changes, or with none after aWait.
  virtual void Watch(PlatformUse aUse,
                     const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     std::chrono::milliseconds aWait,
                     ChangesCallback aDone) = 0;
  virtual void Vms(VmsCallback aDone) = 0;
};

} // namespace siskindeal
