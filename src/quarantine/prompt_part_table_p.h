#pragma once
// Finds parts of prompts that crash every runner which starts a response to
// them. A crash implicates the parts of all requests that were in flight; a
// completed response shows that its parts are sound. Does no I/O; the caller
// passes the time.

#include "datagram.pb.h"
#include "siskindeal/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace siskindeal {

using PromptPart = std::uint64_t; // hash of the part's id

// One crash of one incarnation of a runner.
struct RunnerCrash
{
  std::uint64_t m_id = 0; // the same at all gateways
  MonotonicTime m_at{};
};

// What may be done with a request because of the parts of its prompt.
enum class PartVerdict
{
  Send,
  Trial,  // send it, and no other request with its suspected parts meanwhile
  Refuse, // it may crash its runner
};

struct PartDecision
{
  PartVerdict m_verdict = PartVerdict::Send;
  std::chrono::milliseconds m_retryAfter{ 0 };
  PromptPart m_part = 0; // that decided, unless Send
};

// A part that crashes are attributed to.
struct SuspectedPart
{
  PromptPart m_part = 0;
  std::size_t m_crashes = 0;
  bool m_quarantined = false; // otherwise one request at a time tries it
};

// The evidence against parts, as far as one gateway knows. A request that
// completes clears its parts of the crashes that happened before it was sent.
// The fewest parts that explain the other crashes are suspected; parts that
// were in flight beside them are not.
class PromptPartTable
{
public:
  // Whether this gateway is the one that may try a suspected part.
  using MayTry = std::function<bool(PromptPart)>;

  // aParts: of this gateway's requests in flight at the crash.
  void RecordCrash(const RunnerCrash& aCrash,
                   const std::vector<PromptPart>& aParts);
  void RecordCompletion(const std::vector<PromptPart>& aParts,
                        MonotonicTime aSentAt,
                        MonotonicTime aNow);
  // Records that a request is sent. Returns whether any of its parts are
  // suspected, which makes it their trial.
  bool RecordTrial(const std::vector<PromptPart>& aParts, MonotonicTime aNow);

  PartDecision Decide(const std::vector<PromptPart>& aParts,
                      const MayTry& aMayTry,
                      MonotonicTime aNow) const;

  // Merges the evidence of another gateway. Returns whether it changed any.
  bool Merge(const v1::PartSuspicion& aSuspicion, MonotonicTime aNow);

  // The parts that crashes are attributed to.
  std::vector<SuspectedPart> Suspected() const;
  // The parts whose evidence changed after sequence number aNumber.
  std::vector<PromptPart> ChangedSince(std::uint64_t aNumber) const;
  // The sequence number of the last change.
  std::uint64_t Number() const { return m_sequence; }
  // Returns an empty suspicion for a part without evidence. Holds the latest
  // kMaxExported crashes of each kind, so that many fit into a datagram.
  v1::PartSuspicion Export(PromptPart aPart, MonotonicTime aNow) const;
  // The crashes that no completion has cleared.
  std::size_t CrashCount(PromptPart aPart) const;
  std::size_t Size() const { return m_evidence.size(); }

  static constexpr std::size_t kMaxParts = 2048;
  static constexpr std::size_t kMaxCrashes = 32; // recorded per part
  static constexpr std::size_t kMaxCleared = 32;
  static constexpr std::size_t kMaxExported = 8;
  // Runners that crash together may have one cause that is no request, such as
  // a power failure, so only some of the crashes of an episode count.
  static constexpr std::chrono::milliseconds kEpisode{ 300 };
  static constexpr std::size_t kMaxPerEpisode = 2;

private:
  using Crashes = std::map<std::uint64_t, MonotonicTime>; // by id

  struct Completion
  {
    MonotonicTime m_at{};
    std::size_t m_othersSince = 0; // completions without the part
  };

  struct Evidence
  {
    Crashes m_crashes;
    // Crashes from before a completion. They stay known, since gateways that
    // haven't heard of the completion still report them.
    Crashes m_cleared;
    // Requests without the part have completed since its first crash.
    bool m_othersComplete = false;
    std::optional<Completion> m_lastCompletion; // at this gateway
    std::uint64_t m_sequence = 0; // of the last change in this process
    MonotonicTime m_trialUntil{};
  };

  using Candidates = std::vector<std::pair<PromptPart, const Evidence*>>;

  struct Blame
  {
    std::size_t m_weight = 0; // the crashes that count
    MonotonicTime m_lastCrash{};
    std::size_t m_group = 0; // in m_groups
  };

  // Whether a completion suggests that the part is sound, although its request
  // may have been sent before the crashes.
  static bool CompletedLately(const Evidence& aEvidence, MonotonicTime aNow);
  // The number of crashes that count as evidence.
  static std::size_t WeightOf(const Crashes& aCrashes);
  Crashes Unexplained(const Evidence& aEvidence,
                      const Crashes& aExplained) const;
  // Recomputes m_blamed and m_groups.
  void Attribute(MonotonicTime aNow);
  // Suspects parts with many crashes, not all of them explained by the blamed
  // parts: a part that was only beside the culprit may have more crashes.
  void BlameRivals(const Candidates& aCandidates, const Crashes& aExplained);
  void AddCrash(Evidence& aEvidence, std::uint64_t aId, MonotonicTime aAt);
  void ClearCrash(Evidence& aEvidence, std::uint64_t aId, MonotonicTime aAt);
  void MarkChanged(Evidence& aEvidence);
  bool IsConfirmed(const Blame& aBlame,
                   const std::vector<PromptPart>& aParts) const;
  PartDecision DecidePart(PromptPart aPart,
                          const Blame& aBlame,
                          bool aConfirmed,
                          const MayTry& aMayTry,
                          MonotonicTime aNow) const;
  void Evict();

  std::map<PromptPart, Evidence> m_evidence;
  std::map<PromptPart, Blame> m_blamed;
  // Blamed parts that were in flight at the same crashes, and so can't be told
  // from each other.
  std::vector<std::vector<PromptPart>> m_groups;
  std::uint64_t m_sequence = 0;
};

} // namespace siskindeal
