#pragma once
// The record of requests that run at most once.
//
// A key belongs to one of kClaimShards shards of its service. Each shard has
// one home, an agent, and one head object in the platform,
// claims/SERVICE/SHARD. A request starts only after a conditional write of the
// head has made its claim durable; one write carries every claim that waits. A
// new home takes over by the same conditional write, after which the old home's
// writes fail. Full heads are sealed into segment objects, which are dropped
// after the retention time.

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

// Every process must agree on it, so it is no setting.
inline constexpr std::uint32_t kClaimShards = 4;

// The record's name of a caller's key. Teams don't share keys.
std::string
ClaimKeyOf(const std::string& aService,
           const std::string& aTeam,
           const std::string& aIdempotencyKey);

// What tells a repeated request from another one under the same key.
std::string
ClaimDigestOf(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody);

std::uint32_t
ClaimShardOf(const std::string& aClaimKey);

// The home of a shard among the service's agents that are alive and not
// leaving, by rendezvous hashing; empty when there is none.
std::string
ClaimHomeOf(const std::string& aService,
            std::uint32_t aShard,
            const std::vector<std::string>& aAgents);

// An answer kept for duplicates.
struct StoredAnswer
{
  int m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

// The request may run now, once; to be ended by Finish with the same ticket.
struct ClaimGranted
{
  std::uint64_t m_ticket = 0;
};

// Granted, a duplicate's stored answer, or a refusal. A refusal's verdict is
// that of the key: "not run" only when it hasn't run and this attempt never
// will.
using ClaimResult = std::variant<ClaimGranted, StoredAnswer, Error>;

struct ClaimRequest
{
  std::string m_key;    // of ClaimKeyOf
  std::string m_digest; // of ClaimDigestOf
  MonotonicTime m_deadline;
};

// A call that a shard wants made to the platform.
struct ClaimCall
{
  enum class Kind
  {
    Get,
    Put,
    Delete,
  };
  Kind m_kind = Kind::Get;
  PlatformWrite m_write; // of Get only the key
};

// The decisions of one shard. One platform call is out at a time: Next gives
// it, OnReply takes its answer. Not thread-safe; without I/O.
class ClaimShard
{
public:
  struct Result
  {
    std::uint64_t m_ticket = 0;
    ClaimResult m_result;
  };

  // aHome names this start of this agent, uniquely over the fleet.
  ClaimShard(const std::string& aService,
             std::uint32_t aShard,
             const std::string& aHome,
             const ClaimSettings& aSettings,
             std::size_t aSealBytes = kSealBytes);

  // Whether this agent is the shard's home by its own view of the fleet.
  void SetHome(bool aIsHome);

  // Asks for a claim; the result comes from TakeResults, perhaps at once.
  void Claim(std::uint64_t aTicket,
             const ClaimRequest& aRequest,
             MonotonicTime aNow);
  // A granted request is over. Without an answer only its verdict is kept.
  void Finish(std::uint64_t aTicket,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer,
              MonotonicTime aNow);

  std::optional<ClaimCall> Next(MonotonicTime aNow);
  void OnReply(const PlatformReply& aReply, MonotonicTime aNow);
  // Gives up claims that can't be made durable in time, and forgets what is
  // past its retention.
  void Tick(MonotonicTime aNow);
  // When Next or Tick has something to do, if nothing happens before.
  std::optional<MonotonicTime> DueAt() const;
  std::vector<Result> TakeResults();

  bool IsOwned() const { return m_phase == Phase::Owned; }
  std::uint64_t Epoch() const { return m_head.m_epoch; }
  std::size_t Remembered() const { return m_entries.size(); }
  std::size_t AnswerBytes() const { return m_answerBytes; }
  std::size_t Waiting() const { return m_pending.size() + m_batch.size(); }
  std::uint64_t HeadWrites() const { return m_headWrites; }
  std::uint64_t Granted() const { return m_granted; }

  // A claim waits this long for the platform, if its deadline allows.
  static constexpr std::chrono::milliseconds kLongestWait{ 2000 };
  // Once the platform has failed for this long claims are refused at once.
  static constexpr std::chrono::milliseconds kOutage{ 10000 };
  static constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
  // An outcome waits this long for a claim to share its write.
  static constexpr std::chrono::milliseconds kOutcomeDelay{ 1000 };
  static constexpr std::chrono::milliseconds kLeastBackoff{ 20 };
  static constexpr std::chrono::milliseconds kMostBackoff{ 250 };
  static constexpr std::size_t kSealBytes = 128 << 10;
  static constexpr std::size_t kMostPending = 8192;
  static constexpr std::size_t kMostBatch = 4096; // claims a write
  static constexpr std::size_t kMostSealed = 2048;

private:
  enum class Phase
  {
    Unowned,  // the head isn't ours, as far as we know
    TakeOver, // its fencing write is decided and not confirmed
    Reading,  // fenced; the sealed segments are being read
    Owned,
  };
  enum class Op
  {
    None,
    ReadHead,
    WriteHead, // the fencing write or a commit, by the phase
    ReadSegment,
    Seal,
    Drop, // of a segment past its retention
  };
  enum class State
  {
    Claimed, // may have run
    Ran,
    NotRun, // provably not; may be claimed again
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
    MonotonicTime m_since;      // remembered from here on for the retention
    std::uint64_t m_ticket = 0; // running here now; 0: not
    std::optional<StoredAnswer> m_answer;
  };
  struct Sealed
  {
    std::string m_key;
    MonotonicTime m_kept; // since; by this home's clock
  };
  struct Head
  {
    std::uint64_t m_epoch = 0;
    std::string m_home;
    std::vector<Sealed> m_sealed; // oldest first
    Records m_records;            // newer than any sealed
  };
  struct Pending
  {
    std::uint64_t m_ticket = 0; // 0: given up while its write was out
    ClaimRequest m_request;
    MonotonicTime m_giveUpAt;
  };

  void Answer(std::uint64_t aTicket, ClaimResult aResult);
  void RefuseUnavailable(std::uint64_t aTicket, const std::string& aWhat);
  // Answers a request whose key is known; false when the key may be claimed.
  bool AnswerDuplicate(std::uint64_t aTicket, const ClaimRequest& aRequest);
  void RefusePending(const std::string& aWhat);

  ClaimCall Get(Op aOp, const std::string& aKey);
  ClaimCall WriteHead();
  void DecideWrite(Head aHead);
  std::optional<ClaimCall> NextOwned(MonotonicTime aNow);
  void DecideCommit(MonotonicTime aNow);
  void DecideSeal();

  void OnHead(const PlatformReply& aReply, MonotonicTime aNow);
  void OnHeadWritten(const PlatformReply& aReply, MonotonicTime aNow);
  void OnSegment(const PlatformReply& aReply, MonotonicTime aNow);
  void OnSealed(const PlatformReply& aReply, MonotonicTime aNow);
  void OnDropped(const PlatformReply& aReply, MonotonicTime aNow);
  void Written(std::uint64_t aVersion, MonotonicTime aNow);
  void Grant(const Pending& aPending, MonotonicTime aNow);
  void LoseHead(const std::string& aWhat);
  void Failed(MonotonicTime aNow, std::chrono::milliseconds aRetryAfter);
  void Worked();
  void Merge(const Records& aRecords, MonotonicTime aNow);
  void Remember(const std::string& aKey, Entry& aEntry, MonotonicTime aNow);
  ClaimCall DropSegment();
  void FinishReading(MonotonicTime aNow);
  void Forget(const std::string& aKey);
  void KeepAnswer(const std::string& aKey, StoredAnswer aAnswer);
  void MarkOutcome(const std::string& aKey, MonotonicTime aNow);

  static std::string ToText(const Records& aRecords);
  static Records RecordsOf(const std::string& aText);
  static std::string ToJson(const Head& aHead);
  // Throws Error (Internal) for a text that ToJson didn't write.
  static Head HeadOf(const std::string& aJson);

  const std::string m_headKey;
  const std::string m_home;
  const ClaimSettings m_settings;
  const std::size_t m_sealBytes;
  bool m_isHome = false;

  Phase m_phase = Phase::Unowned;
  Op m_op = Op::None;
  Head m_head;                 // as confirmed, and what the next write adds
  std::uint64_t m_version = 0; // of the head object

  // The head write that is decided. It stays as it is until its fate is known:
  // trying it again shows, by its change id, whether an earlier try took
  // effect.
  std::optional<PlatformWrite> m_write;
  Head m_writing;
  std::vector<Pending> m_batch; // claims in m_write
  std::vector<Sealed> m_dropping;

  std::deque<Pending> m_pending;
  std::unordered_map<std::string, std::uint64_t> m_waitingKeys; // to ticket
  std::vector<std::string> m_outcomes; // keys, that no write carries yet
  std::optional<MonotonicTime> m_outcomeDue;

  std::optional<PlatformWrite> m_seal;
  std::size_t m_segmentsRead = 0;
  std::deque<std::string> m_drop;        // segments to delete
  std::optional<PlatformWrite> m_delete; // of the first of them
  std::uint64_t m_writes = 0;            // numbers the change ids
  std::uint64_t m_seals = 0;

  std::unordered_map<std::string, Entry> m_entries;
  std::deque<std::pair<MonotonicTime, std::string>> m_byAge;
  std::unordered_map<std::uint64_t, std::string> m_running; // ticket to key
  std::deque<std::string> m_answerOrder;
  std::size_t m_answerBytes = 0;

  MonotonicTime m_nextCommit;
  MonotonicTime m_notBefore;
  std::chrono::milliseconds m_backoff{ kLeastBackoff };
  std::optional<MonotonicTime> m_failingSince;
  std::uint64_t m_headWrites = 0;
  std::uint64_t m_granted = 0;
  std::vector<Result> m_results;
};

// The claims of one agent: its service's shards over the platform. Thread-safe.
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

  // The service's agents that are alive and not leaving, this one included
  // unless it is leaving.
  void SetAgents(const std::vector<std::string>& aAgents);
  // aDone runs exactly once, perhaps before Claim returns, under no lock.
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
