// Fetches a version: gets the piece list, checks what is already staged and
// transfers the missing pieces.

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "stager/list_turn_p.h"
#include "stager/stager_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kListTimeout{ 1500 };
constexpr milliseconds kPieceTimeout{ 2000 };
constexpr milliseconds kListRetryInterval{ 300 };
constexpr std::uint32_t kMaxCorruptPieces = 8;    // then the list is suspect
constexpr milliseconds kPeerDiscoveryTime{ 250 }; // after start
constexpr milliseconds kListHolderTimeout{ 1500 };

} // namespace

void
Stager::BeginVersion()
{
  ++m_epoch;
  m_plan.reset();
  m_buffer.clear();
  m_imported.clear();
  m_corruptPieces = 0;
  EnterFetchStage(FetchStage::Listing);
  ListPieces();
}

void
Stager::ListPieces()
{
  if (const Peer* holder = m_listSuspect ? nullptr : PickListHolder()) {
    RequestPieceList(m_pool,
                     holder->m_stager.m_address,
                     std::string(kListsPath) + m_model + "/" +
                       std::to_string(m_target));
  } else if (!m_origin) {
    ReadConfigIfStale();
    m_retryAt = LoopNow() + kListRetryInterval;
  } else if (MayListFromOrigin()) {
    RequestPieceList(
      m_originPool, *m_origin, dialect::PieceListPath(m_model, m_target));
  }
}

// Returns a random peer that has the list, to spread the load; null for none.
const Stager::Peer*
Stager::PickListHolder()
{
  const Peer* chosen = nullptr;
  std::uint64_t holders = 0;
  for (const auto& [vm, peer] : m_peers) {
    const std::uint64_t version = peer.m_notice.fetching();
    const bool holds =
      version == m_target || peer.m_notice.staged() == m_target;
    const bool has = (m_target == 0 ? version > 0 : holds) &&
                     LoopNow() - peer.m_stager.m_lastSeen < kListHolderTimeout;
    if (has && m_random.Below(++holders) == 0) {
      chosen = &peer;
    }
  }
  return chosen;
}

bool
Stager::MayListFromOrigin() const
{
  const MonotonicTime now = LoopNow();
  if (now - m_startedAt < kPeerDiscoveryTime) {
    return false;
  }
  const std::string key = VersionKey(m_target) + " list ";
  const std::uint64_t own = StableHash(key + m_settings.m_node.m_rpc.m_host);
  std::size_t rank = 0;
  std::size_t stagers = 1;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_stager.m_region == m_region) {
      ++stagers;
      rank += StableHash(key + host) < own ? 1 : 0;
    }
  }
  const auto waited =
    std::chrono::duration_cast<milliseconds>(now - m_fetchStageAt);
  return m_listSuspect || MayAskOriginForList(rank, stagers, waited);
}

void
Stager::RequestPieceList(const std::shared_ptr<ConnectionPool>& aPool,
                         const Address& aFrom,
                         const std::string& aTarget)
{
  m_retryAt = LoopNow() + kListTimeout + kListRetryInterval;
  CallBuffered(m_loop,
               aPool,
               aFrom,
               "GET",
               aTarget,
               {},
               kListTimeout,
               [this, epoch = m_epoch](const BufferedResponse& aAnswer) {
                 if (epoch == m_epoch && m_fetchStage == FetchStage::Listing) {
                   OnPieceList(aAnswer);
                 }
               });
}

void
Stager::RecordIfWithdrawn(const BufferedResponse& aAnswer)
{
  constexpr int kGone = 410;
  if (aAnswer.m_status != kGone || m_withdrawn == m_target) {
    return;
  }
  m_withdrawn = m_target;
  Log(LogLevel::Warning,
      "weights withdrawn by the origin",
      { { "model", m_model }, { "version", m_target } });
}

void
Stager::OnPieceList(const BufferedResponse& aAnswer)
{
  m_retryAt = LoopNow() + kListRetryInterval;
  if (aAnswer.m_status != 200) {
    Log(LogLevel::Warning,
        "piece list fetch failed",
        { { "status", aAnswer.m_status }, { "reason", aAnswer.m_failure } });
    ReadConfigIfStale(); // the origin's address may have changed
    return;
  }
  try {
    m_pieces = dialect::DecodePieceList(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "piece list rejected",
        { { "reason", std::string_view(error.what()) } });
    return;
  }
  if (m_pieces.m_digests.empty() || m_pieces.m_model != m_model ||
      (m_target != 0 && m_pieces.m_version != m_target)) {
    Log(LogLevel::Warning,
        "piece list rejected",
        { { "reason", "no pieces, or another model or version" },
          { "version", m_pieces.m_version } });
    return;
  }
  m_target = m_pieces.m_version;
  m_listText = aAnswer.m_body;
  m_listSuspect = false;
  m_plan = std::make_unique<FetchPlan>(m_settings.m_node.m_rpc.m_host,
                                       m_region,
                                       m_originRegion,
                                       VersionKey(m_target),
                                       m_pieces.m_digests.size(),
                                       LoopNow());
  EnterFetchStage(FetchStage::Checking);
  // Pieces staged for another loaded or pending version need no check. If no
  // version is loaded, the staged pieces may be of any version.
  if (StagingOccupied() ||
      (LoadedVersion() != 0 && LoadedVersion() != m_target)) {
    EnterFetchStage(FetchStage::Fetching);
    StartFetches();
    return;
  }
  CheckPiece(0);
}

void
Stager::CheckPiece(std::size_t aPiece)
{
  if (aPiece >= m_pieces.m_digests.size()) {
    OnCheckDone();
    return;
  }
  CallRunner("GET",
             dialect::StageGetPath(m_model, aPiece),
             {},
             [this, epoch = m_epoch, aPiece](const BufferedResponse& aAnswer) {
               if (epoch == m_epoch) {
                 OnPieceChecked(aPiece, aAnswer);
               }
             });
}

void
Stager::OnPieceChecked(std::size_t aPiece, const BufferedResponse& aAnswer)
{
  if (aAnswer.m_status == 200 &&
      Sha256Hex(aAnswer.m_body) == m_pieces.m_digests[aPiece]) {
    m_plan->MarkHeld(aPiece);
  } else {
    DropPiece(aPiece);
  }
  CheckPiece(aPiece + 1);
}

void
Stager::DropPiece(std::size_t aPiece)
{
  if (m_plan->HeldPieces()[aPiece]) {
    Log(LogLevel::Warning,
        "staged piece missing or corrupt",
        { { "piece", aPiece } });
  }
  m_plan->MarkMissing(aPiece);
}

void
Stager::OnCheckDone()
{
  if (m_plan->Complete()) {
    OnAllPiecesHeld();
  } else {
    EnterFetchStage(FetchStage::Fetching);
    StartFetches();
  }
}

// True while the staging area holds a complete version whose load order the
// runner has not accepted.
bool
Stager::StagingOccupied() const
{
  return m_load && !m_load->m_ordered;
}

void
Stager::OnAllPiecesHeld()
{
  if (StagingOccupied() && m_load->m_stage == LoadStage::Staged) {
    EndLoad(); // replaced by the newer version
  }
  if (StagingOccupied() || !m_buffer.empty()) {
    StoreBuffered();
    return;
  }
  EnterFetchStage(FetchStage::Resting);
  if (LoadedVersion() < m_target) {
    BeginLoad();
  }
}

// Stores buffered pieces at the runner, one at a time.
void
Stager::StoreBuffered()
{
  if (StagingOccupied() || m_storing || m_buffer.empty()) {
    return;
  }
  m_storing = true;
  const std::size_t piece = m_buffer.begin()->first;
  CallRunner("PUT",
             dialect::StagePutPath(m_model, piece),
             m_buffer.begin()->second,
             [this, epoch = m_epoch, piece](const BufferedResponse& aStored) {
               m_storing = false;
               if (epoch != m_epoch || !m_plan) {
                 return;
               }
               m_buffer.erase(piece);
               if (aStored.m_status / 100 != 2) {
                 DropPiece(piece);
               }
               StoreBuffered();
             });
}

void
Stager::StartFetches()
{
  if (m_plan->Complete()) {
    OnAllPiecesHeld();
    return;
  }
  while (const auto fetch =
           m_plan->StartNext(PeersForFetch(), LoopNow(), m_random)) {
    FetchPiece(*fetch);
  }
}

void
Stager::FetchPiece(const PieceFetch& aFetch)
{
  Address from;
  std::string target;
  if (aFetch.m_from.empty()) {
    from = *m_origin;
    target = dialect::PiecePath(m_model, m_target, aFetch.m_piece);
  } else {
    from = m_peers[aFetch.m_from].m_stager.m_address;
    target = std::string(kPiecesPath) + m_model + "/" +
             std::to_string(m_target) + "/" + std::to_string(aFetch.m_piece);
  }
  CallBuffered(
    m_loop,
    aFetch.m_from.empty() ? m_originPool : m_pool,
    from,
    "GET",
    target,
    {},
    kPieceTimeout,
    [this, epoch = m_epoch, aFetch](const BufferedResponse& aAnswer) {
      if (epoch == m_epoch && m_plan) {
        OnPieceFetched(aFetch, aAnswer);
      }
    });
}

void
Stager::OnPieceFetched(const PieceFetch& aFetch,
                       const BufferedResponse& aAnswer)
{
  const bool good =
    aAnswer.m_status == 200 &&
    Sha256Hex(aAnswer.m_body) == m_pieces.m_digests[aFetch.m_piece];
  CountMetric("siskindeal_stager_pieces_total",
              { { "from", aFetch.m_from.empty() ? "origin" : "peer" },
                { "good", good ? "yes" : "no" } });
  if (!good) {
    Log(LogLevel::Info,
        "piece fetch failed",
        { { "piece", aFetch.m_piece },
          { "from", aFetch.m_from.empty() ? "origin" : aFetch.m_from },
          { "status", aAnswer.m_status },
          { "reason", aAnswer.m_failure } });
    m_plan->Finish(aFetch, false, LoopNow());
    if (aFetch.m_from.empty()) {
      RecordIfWithdrawn(aAnswer);
    }
    if (aAnswer.m_status == 200 && ++m_corruptPieces >= kMaxCorruptPieces) {
      m_listSuspect = true;
      BeginVersion();
    }
    return;
  }
  if (StagingOccupied() || !m_buffer.empty()) {
    m_buffer[aFetch.m_piece] = aAnswer.m_body;
    OnPieceStored(aFetch, true);
    return;
  }
  CallRunner("PUT",
             dialect::StagePutPath(m_model, aFetch.m_piece),
             aAnswer.m_body,
             [this, epoch = m_epoch, aFetch](const BufferedResponse& aStored) {
               if (epoch == m_epoch && m_plan) {
                 OnPieceStored(aFetch, aStored.m_status / 100 == 2);
               }
             });
}

void
Stager::OnPieceStored(const PieceFetch& aFetch, bool aStored)
{
  m_plan->Finish(aFetch, aStored, LoopNow());
  const auto from = m_peers.find(aFetch.m_from);
  if (aStored &&
      (from == m_peers.end() || from->second.m_stager.m_region != m_region)) {
    m_imported.emplace_back(LoopNow(), aFetch.m_piece);
    Announce();
  }
  if (m_fetchStage == FetchStage::Fetching) {
    StartFetches();
  }
}

} // namespace siskindeal
