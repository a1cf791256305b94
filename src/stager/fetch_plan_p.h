#pragma once
// Selects the next piece of a weight version to fetch and its source. Together
// the stagers fetch about one copy from the origin and one into each further
// region, without a coordinator: rendezvous hashing over VM names assigns each
// piece to a stager, and the next in rank takes over if the region gets no new
// pieces. Does no I/O; the caller passes the time and the random source.

#include "siskindeal/clock.h"
#include "siskindeal/random.h"
#include "siskindeal/settings.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

using PieceSet = std::vector<bool>;

// Another stager of the service.
struct StagerPeer
{
  std::string m_vm;  // host, as in the list of runners
  Address m_address; // serves pieces
  std::string m_region;
  PieceSet m_held; // pieces of the version being fetched
  MonotonicTime m_lastSeen{};
};

struct PieceFetch
{
  std::size_t m_piece = 0;
  std::string m_from; // VM; empty for the origin
};

class FetchPlan
{
public:
  // aVersionKey is hashed with the VM name, so that ranks differ per version.
  FetchPlan(std::string aVm,
            std::string aRegion,
            std::string aOriginRegion,
            std::string aVersionKey,
            std::size_t aPieceCount,
            MonotonicTime aStartedAt);

  void MarkHeld(std::size_t aPiece);
  void MarkMissing(std::size_t aPiece);
  const PieceSet& HeldPieces() const { return m_held; }
  bool Complete() const;

  // Returns the next fetch to start, if another is allowed. It counts as in
  // flight until Finish.
  std::optional<PieceFetch> StartNext(const std::vector<StagerPeer>& aPeers,
                                      MonotonicTime aNow,
                                      Random& aRandom);
  void Finish(const PieceFetch& aFetch, bool aSucceeded, MonotonicTime aNow);

  // Returns those of aVms, the stagers of another region, that rank first for
  // fetching aPiece into it.
  std::vector<std::string> RegionImporters(std::size_t aPiece,
                                           std::vector<std::string> aVms) const;

private:
  // Rank of this VM for a piece among the stagers of its region; 0 is first.
  std::size_t RankFor(std::size_t aPiece,
                      const std::vector<const StagerPeer*>& aRegion) const;
  std::optional<PieceFetch> PickFromRegion(
    const std::vector<const StagerPeer*>& aRegion,
    MonotonicTime aNow,
    Random& aRandom) const;
  std::optional<PieceFetch> PickIntoRegion(
    const std::vector<StagerPeer>& aPeers,
    const std::vector<const StagerPeer*>& aRegion,
    MonotonicTime aNow,
    Random& aRandom) const;
  // Updates which pieces have reached the region, and how many further ranks
  // may fetch the missing ones. Time since the start would say nothing of a
  // stager's loss where the origin needs long for one copy.
  void RecordProgress(const std::vector<const StagerPeer*>& aRegion,
                      MonotonicTime aNow);
  bool NeedsFetch(std::size_t aPiece) const;
  bool IsBackedOff(const std::string& aVm, MonotonicTime aNow) const;
  std::size_t InFlightFrom(const std::string& aVm) const;
  std::size_t InFlightIntoRegion(
    const std::vector<const StagerPeer*>& aRegion) const;

  std::string m_vm;
  std::string m_region;
  std::string m_originRegion;
  std::string m_versionKey;
  PieceSet m_held;
  PieceSet m_seen;            // have been held in the region
  MonotonicTime m_progressAt; // of the last new piece there, or of the start
  std::optional<MonotonicTime::duration> m_longestGap; // between new pieces
  std::size_t m_takeoverSteps = 0;
  std::map<std::size_t, std::string> m_inFlight;       // piece to source VM
  std::map<std::string, MonotonicTime> m_backoffUntil; // failed sources
};

} // namespace siskindeal
