#pragma once
// A durable log of idempotency keys, so that a request runs at most once.
//
// A key belongs to one of the kClaimShards shards of its service. Each shard
// has one home agent and one head object in the platform, claims/SERVICE/SHARD.
// A request starts only after a conditional write of the head has made its
// claim durable; pending claims are batched into one write. A new home takes
// over with the same conditional write, after which the writes of the old home
// fail. A full head is sealed into a segment object, which is deleted after the
// retention time.

#include "siskindeal/clock.h"
#include "siskindeal/error.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/platform.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace siskindeal {

// Not a setting, because every process must use the same value.
inline constexpr std::uint32_t kClaimShards = 4;

// The claim key of a client's idempotency key. Keys are separate per team.
std::string
ClaimKeyOf(const std::string& aService,
           const std::string& aTeam,
           const std::string& aIdempotencyKey);

// A digest that distinguishes a retry from a different request that reuses the
// key.
std::string
ClaimDigestOf(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody);

std::uint32_t
ClaimShardOf(const std::string& aClaimKey);

// Chooses the home of a shard by rendezvous hashing over aAgents, the service's
// agents that are alive and not leaving. Empty if there are none.
std::string
ClaimHomeOf(const std::string& aService,
            std::uint32_t aShard,
            const std::vector<std::string>& aAgents);

// A response that is stored for duplicate requests.
struct StoredAnswer
{
  int m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

// The request may run once. The caller must call Finish with the same ticket.
struct ClaimGranted
{
  std::uint64_t m_ticket = 0;
};

// A grant, the stored response for a duplicate, or an error. The error's
// verdict applies to the key: "not run" means that it hasn't run and that this
// attempt never will.
using ClaimResult = std::variant<ClaimGranted, StoredAnswer, Error>;

struct ClaimRequest
{
  std::string m_key;    // from ClaimKeyOf
  std::string m_digest; // from ClaimDigestOf
  MonotonicTime m_deadline;
};

// A platform call that a shard requests from its caller.
struct ClaimCall
{
  enum class Kind
  {
    Get,
    Put,
    Delete,
  };
  Kind m_kind = Kind::Get;
  PlatformWrite m_write; // Get uses only the key
};

// The state machine of one shard. At most one platform call is in flight: Next
// returns it, and OnReply handles its reply. Does no I/O; the caller passes the
// time. Not thread-safe.
class ClaimShard
{
public:
  struct Result
  {
    std::uint64_t m_ticket = 0;
    ClaimResult m_result;
  };

  // aHome identifies this incarnation of the agent uniquely in the fleet.
  ClaimShard(const std::string& aService,
             std::uint32_t aShard,
             const std::string& aHome,
             const ClaimSettings& aSettings,
             std::size_t aSealBytes = kSealBytes);

  // Sets whether this agent is the shard's home in its own view of the fleet.
  void SetHome(bool aIsHome);

  // Requests a claim. Its result, which may be available at once, is returned
  // by TakeResults.
  void Claim(std::uint64_t aTicket,
             const ClaimRequest& aRequest,
             MonotonicTime aNow);
  // Records the outcome of a granted request. Without an answer only the
  // verdict is stored.
  void Finish(std::uint64_t aTicket,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer,
              MonotonicTime aNow);

  // Returns the next platform call, if one is due and none is in flight.
  std::optional<ClaimCall> Next(MonotonicTime aNow);
  void OnReply(const PlatformReply& aReply, MonotonicTime aNow);
  // Refuses claims that were not durable in time and removes entries past their
  // retention.
  void Tick(MonotonicTime aNow);
  // The next time at which Next or Tick has work to do, unless another call
  // changes it.
  std::optional<MonotonicTime> DueAt() const;
  std::vector<Result> TakeResults();

  bool IsOwned() const { return m_phase == Phase::Owned; }
  std::uint64_t Epoch() const { return m_head.m_epoch; }
  std::size_t RecordCount() const { return m_entries.size(); }
  std::size_t AnswerBytes() const { return m_answerBytes; }
  std::size_t Waiting() const { return m_pending.size() + m_batch.size(); }
  std::uint64_t HeadWrites() const { return m_headWrites; }
  std::uint64_t Granted() const { return m_granted; }

  // How long a claim waits for the platform, unless its deadline is earlier.
  static constexpr std::chrono::milliseconds kMaxWait{ 2000 };
  // Claims are refused immediately once the platform has failed for this long.
  static constexpr std::chrono::milliseconds kOutageThreshold{ 10000 };
  static constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
  // How long an outcome may wait to share a write with a claim.
  static constexpr std::chrono::milliseconds kOutcomeDelay{ 1000 };
  static constexpr std::chrono::milliseconds kMinBackoff{ 20 };
  static constexpr std::chrono::milliseconds kMaxBackoff{ 250 };
  static constexpr std::size_t kSealBytes = 128 << 10;
  static constexpr std::size_t kMaxPending = 8192;
  static constexpr std::size_t kMaxBatch = 4096; // claims per write
  static constexpr std::size_t kMaxSealed = 2048;

private:
  enum class Phase
  {
    Unowned,  // this agent doesn't own the head, as far as it knows
    TakeOver, // the fencing write is prepared but not confirmed
    Reading,  // fenced; the sealed segments are being read
    Owned,
  };
  enum class Op
  {
    None,
    ReadHead,
    WriteHead, // the fencing write or a commit, depending on the phase
    ReadSegment,
    Seal,
    DeleteSegment, // past its retention
  };
  enum class State
  {
    Claimed, // may have run
    Ran,
    NotRun, // provably; may be claimed again
  };
  struct Record
  {
    std::string m_digest;
    State m_state = State::Claimed;
  };
  using Records = std::map<std::string, Record>; // by key
  struct Entry
  {
    Record m_record;
    MonotonicTime m_retainedSince; // start of the retention time
    std::uint64_t m_ticket = 0;    // of the request that runs here; 0: none
    std::optional<StoredAnswer> m_answer;
  };
  struct Segment
  {
    std::string m_key;
    MonotonicTime m_retainedSince; // by this home's clock
  };
  struct Head
  {
    std::uint64_t m_epoch = 0;
    std::string m_home;
    std::vector<Segment> m_sealed; // oldest first
    Records m_records;             // newer than those in the segments
  };
  struct Pending
  {
    std::uint64_t m_ticket = 0; // 0: timed out while its write was in flight
    ClaimRequest m_request;
    MonotonicTime m_expiresAt;
  };

  void Answer(std::uint64_t aTicket, ClaimResult aResult);
  void RefuseUnavailable(std::uint64_t aTicket, const std::string& aWhat);
  // Answers a request whose key is known. Returns false if the key may be
  // claimed.
  bool AnswerDuplicate(std::uint64_t aTicket, const ClaimRequest& aRequest);
  void RefusePending(const std::string& aWhat);

  ClaimCall Get(Op aOp, const std::string& aKey);
  ClaimCall WriteHead();
  void PrepareHeadWrite(Head aHead);
  std::optional<ClaimCall> NextOwned(MonotonicTime aNow);
  void PrepareCommit(MonotonicTime aNow);
  void PrepareSeal();

  void OnHeadRead(const PlatformReply& aReply, MonotonicTime aNow);
  void OnHeadWritten(const PlatformReply& aReply, MonotonicTime aNow);
  void OnSegmentRead(const PlatformReply& aReply, MonotonicTime aNow);
  void OnSegmentSealed(const PlatformReply& aReply, MonotonicTime aNow);
  void OnSegmentDeleted(const PlatformReply& aReply, MonotonicTime aNow);
  void CommitHead(std::uint64_t aVersion, MonotonicTime aNow);
  void Grant(const Pending& aPending, MonotonicTime aNow);
  void LoseOwnership(const std::string& aWhat);
  void RecordFailure(MonotonicTime aNow, std::chrono::milliseconds aRetryAfter);
  void RecordSuccess();
  void Merge(const Records& aRecords, MonotonicTime aNow);
  void StartRetention(const std::string& aKey,
                      Entry& aEntry,
                      MonotonicTime aNow);
  ClaimCall DeleteSegment();
  void FinishTakeOver(MonotonicTime aNow);
  void RemoveEntry(const std::string& aKey);
  void StoreAnswer(const std::string& aKey, StoredAnswer aAnswer);
  void QueueOutcome(const std::string& aKey, MonotonicTime aNow);

  static std::string EncodeRecords(const Records& aRecords);
  static Records DecodeRecords(const std::string& aText);
  static std::string EncodeHead(const Head& aHead);
  // Throws Error (Internal) if aJson is malformed.
  static Head DecodeHead(const std::string& aJson);

  const std::string m_headKey;
  const std::string m_home;
  const ClaimSettings m_settings;
  const std::size_t m_sealBytes;
  bool m_isHome = false;

  Phase m_phase = Phase::Unowned;
  Op m_op = Op::None;
  Head m_head; // as confirmed, with any seal that is not yet written to it
  std::uint64_t m_version = 0; // of the head object

  // The prepared head write. It is retried unchanged until its outcome is
  // known: the change id of the stored object shows whether an earlier attempt
  // took effect.
  std::optional<PlatformWrite> m_write;
  Head m_preparedHead;
  std::vector<Pending> m_batch; // claims in m_write
  std::vector<Segment> m_expiredSegments;

  std::deque<Pending> m_pending;
  // Ticket by key. 0: timed out while its write was in flight.
  std::unordered_map<std::string, std::uint64_t> m_waitingKeys;
  // Keys whose outcome isn't in a head write yet.
  std::vector<std::string> m_queuedOutcomes;
  std::optional<MonotonicTime> m_outcomeDue;

  std::optional<PlatformWrite> m_sealWrite;
  std::size_t m_segmentsRead = 0;
  std::deque<std::string> m_segmentsToDelete;
  // Deletes the first of m_segmentsToDelete.
  std::optional<PlatformWrite> m_deleteWrite;
  std::uint64_t m_writeSequence = 0; // for change ids
  std::uint64_t m_sealSequence = 0;

  std::unordered_map<std::string, Entry> m_entries;
  std::deque<std::pair<MonotonicTime, std::string>> m_byAge;
  std::unordered_map<std::uint64_t, std::string> m_running; // ticket to key
  std::deque<std::string> m_answerOrder;
  std::size_t m_answerBytes = 0;

  MonotonicTime m_nextCommit;
  MonotonicTime m_notBefore;
  std::chrono::milliseconds m_backoff{ kMinBackoff };
  std::optional<MonotonicTime> m_failingSince;
  std::uint64_t m_headWrites = 0;
  std::uint64_t m_granted = 0;
  std::vector<Result> m_results;
};

// Runs the claim shards of an agent's service against the platform.
// Thread-safe.
class ClaimLog
{
public:
  using Done = std::function<void(ClaimResult)>;

  ClaimLog(const std::string& aService,
           const std::string& aVm,
           const ClaimSettings& aSettings,
           Platform& aPlatform,
           WorkerPool& aWorkers,
           const Clock& aClock);
  ~ClaimLog();
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  // Sets the service's agents that are alive and not leaving, including this
  // one unless it is leaving.
  void SetAgents(const std::vector<std::string>& aAgents);
  // Calls aDone exactly once, without locks held and possibly before Claim
  // returns.
  void Claim(const ClaimRequest& aRequest, Done aDone);
  void Finish(std::uint64_t aTicket,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer);
  std::string StateJson() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace siskindeal
