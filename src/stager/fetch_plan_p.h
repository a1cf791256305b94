#pragma once
// Which piece of new weights a stager fetches next, and from where, so that all
// together draw about one copy from the origin and one into each further
// region. No stager is in charge: each works out from the same names who brings
// which piece into a region, and the next in order takes over from one that
// doesn't. Pure: time and randomness are given.

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
  std::string m_vm;  // its host, which the list of runners names too
  Address m_address; // for pieces
  std::string m_region;
  PieceSet m_held; // of the version being fetched
  MonotonicTime m_heardAt{};
};

struct PieceFetch
{
  std::size_t m_piece = 0;
  std::string m_from; // VM; empty: the origin
};

class FetchPlan
{
public:
  // aVersionKey tells versions apart in the order of stagers.
  FetchPlan(std::string aVm,
            std::string aRegion,
            std::string aOriginRegion,
            std::string aVersionKey,
            std::size_t aPieces,
            MonotonicTime aBegan);

  void Have(std::size_t aPiece);
  void Lost(std::size_t aPiece); // was held and is spoilt
  const PieceSet& Held() const { return m_held; }
  bool Complete() const;

  // The next fetch to begin, if one more may run now. It counts as running
  // until Ended.
  std::optional<PieceFetch> Next(const std::vector<StagerPeer>& aPeers,
                                 MonotonicTime aNow,
                                 Random& aRandom);
  void Ended(const PieceFetch& aFetch, bool aGood, MonotonicTime aNow);

  // Of the stagers of another region, those that bring a piece into it.
  std::vector<std::string> Bringers(std::size_t aPiece,
                                    std::vector<std::string> aVms) const;

private:
  // The place of this VM among its region's stagers for a piece; 0 is first.
  std::size_t RankFor(std::size_t aPiece,
                      const std::vector<const StagerPeer*>& aRegion) const;
  std::optional<PieceFetch> FromRegion(
    const std::vector<const StagerPeer*>& aRegion,
    MonotonicTime aNow,
    Random& aRandom) const;
  std::optional<PieceFetch> IntoRegion(
    const std::vector<StagerPeer>& aPeers,
    const std::vector<const StagerPeer*>& aRegion,
    MonotonicTime aNow,
    Random& aRandom) const;
  bool Wanted(std::size_t aPiece) const;
  bool Blocked(const std::string& aVm, MonotonicTime aNow) const;
  std::size_t RunningFrom(const std::string& aVm) const;
  std::size_t RunningIntoRegion(
    const std::vector<const StagerPeer*>& aRegion) const;

  std::string m_vm;
  std::string m_region;
  std::string m_originRegion;
  std::string m_versionKey;
  PieceSet m_held;
  MonotonicTime m_began;
  std::map<std::size_t, std::string> m_running;        // piece to VM
  std::map<std::string, MonotonicTime> m_blockedUntil; // sources that failed
};

} // namespace siskindeal
