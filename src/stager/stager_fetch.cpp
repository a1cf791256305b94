// The stager's way from the list of pieces to all of them lying at the runner.

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "stager/stager_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kListTime{ 1500 };
constexpr milliseconds kPieceTime{ 2000 };
constexpr milliseconds kListRetry{ 300 };
constexpr std::uint32_t kMostBadPieces = 8; // then the list itself is doubted
// Of a region, so many ask the origin for the list at once; each further one
// waits a step more for a peer that has it. All at once would be more than the
// origin takes connections.
constexpr std::size_t kFirstToList = 2;
constexpr milliseconds kListStep{ 80 };
constexpr milliseconds kMostListWait{ 1500 };
constexpr milliseconds kHearPeers{ 250 }; // after the start
constexpr milliseconds kListHolderSilence{ 1500 };

} // namespace

void
Stager::BeginVersion()
{
  ++m_epoch;
  m_plan.reset();
  m_buffer.clear();
  m_brought.clear();
  m_badPieces = 0;
  Enter(Stage::Listing);
  ListPieces();
}

void
Stager::ListPieces()
{
  if (const Peer* holder = m_listDoubted ? nullptr : HolderOfList()) {
    AskForList(m_pool,
               holder->m_stager.m_address,
               std::string(kListsPath) + m_model + "/" +
                 std::to_string(m_target));
  } else if (!m_origin) {
    MaybeReadConfig();
    m_retryAt = LoopNow() + kListRetry;
  } else if (MayAskOrigin()) {
    AskForList(
      m_originPool, *m_origin, dialect::PieceListPath(m_model, m_target));
  }
}

// A peer that has the list, a random one so that they share the work.
const Stager::Peer*
Stager::HolderOfList()
{
  const Peer* chosen = nullptr;
  std::uint64_t holders = 0;
  for (const auto& [vm, peer] : m_peers) {
    const std::uint64_t version = peer.m_notice.fetching();
    const bool holds =
      version == m_target || peer.m_notice.staged() == m_target;
    const bool has = (m_target == 0 ? version > 0 : holds) &&
                     LoopNow() - peer.m_stager.m_heardAt < kListHolderSilence;
    if (has && m_random.Below(++holders) == 0) {
      chosen = &peer;
    }
  }
  return chosen;
}

std::size_t
Stager::ListRank() const
{
  const std::string key = VersionKey(m_target) + " list ";
  const std::uint64_t own = StableHash(key + m_settings.m_node.m_rpc.m_host);
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return aEntry.second.m_stager.m_region == m_region &&
             StableHash(key + aEntry.first) < own;
    }));
}

bool
Stager::MayAskOrigin() const
{
  const MonotonicTime now = LoopNow();
  if (now - m_startedAt < kHearPeers) {
    return false;
  }
  const std::size_t rank = ListRank();
  const milliseconds wait = std::min<milliseconds>(
    kListStep * static_cast<std::int64_t>(rank), kMostListWait);
  return m_listDoubted || rank < kFirstToList || now - m_stageAt >= wait;
}

void
Stager::AskForList(const std::shared_ptr<ConnectionPool>& aPool,
                   const Address& aFrom,
                   const std::string& aTarget)
{
  m_retryAt = LoopNow() + kListTime + kListRetry;
  CallWhole(m_loop,
            aPool,
            aFrom,
            "GET",
            aTarget,
            {},
            kListTime,
            [this, epoch = m_epoch](const WholeAnswer& aAnswer) {
              if (epoch == m_epoch && m_stage == Stage::Listing) {
                OnPieceList(aAnswer);
              }
            });
}

void
Stager::OnPieceList(const WholeAnswer& aAnswer)
{
  m_retryAt = LoopNow() + kListRetry;
  if (aAnswer.m_status != 200) {
    Log(LogLevel::Warning,
        "list of pieces not had",
        { { "status", aAnswer.m_status }, { "reason", aAnswer.m_failure } });
    MaybeReadConfig(); // the origin may have moved
    return;
  }
  try {
    m_pieces = dialect::DecodePieceList(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "list of pieces left out",
        { { "reason", std::string_view(error.what()) } });
    return;
  }
  if (m_pieces.m_digests.empty() || m_pieces.m_model != m_model ||
      (m_target != 0 && m_pieces.m_version != m_target)) {
    Log(LogLevel::Warning,
        "list of pieces left out",
        { { "reason", "it is of other weights" },
          { "version", m_pieces.m_version } });
    return;
  }
  m_target = m_pieces.m_version;
  m_listText = aAnswer.m_body;
  m_listDoubted = false;
  m_plan = std::make_unique<FetchPlan>(m_settings.m_node.m_rpc.m_host,
                                       m_region,
                                       m_originRegion,
                                       VersionKey(m_target),
                                       m_pieces.m_digests.size(),
                                       LoopNow());
  Enter(Stage::Checking);
  // What lies there is of the version that is loaded or is about to be; with
  // none loaded it may be of any.
  if (StagingIsTaken() || (Loaded() != 0 && Loaded() != m_target)) {
    Enter(Stage::Fetching);
    FetchMore();
    return;
  }
  CheckPiece(0);
}

void
Stager::CheckPiece(std::size_t aPiece)
{
  if (aPiece >= m_pieces.m_digests.size()) {
    AfterCheck();
    return;
  }
  CallRunner("GET",
             dialect::StageGetPath(m_model, aPiece),
             {},
             [this, epoch = m_epoch, aPiece](const WholeAnswer& aAnswer) {
               if (epoch == m_epoch) {
                 OnChecked(aPiece, aAnswer);
               }
             });
}

void
Stager::OnChecked(std::size_t aPiece, const WholeAnswer& aAnswer)
{
  if (aAnswer.m_status == 200 &&
      Sha256Hex(aAnswer.m_body) == m_pieces.m_digests[aPiece]) {
    m_plan->Have(aPiece);
  } else {
    LosePiece(aPiece);
  }
  CheckPiece(aPiece + 1);
}

void
Stager::LosePiece(std::size_t aPiece)
{
  if (m_plan->Held()[aPiece]) {
    Log(LogLevel::Warning, "staged piece is spoilt", { { "piece", aPiece } });
  }
  m_plan->Lost(aPiece);
}

// All pieces at the runner have been read.
void
Stager::AfterCheck()
{
  if (m_plan->Complete()) {
    OnComplete();
  } else {
    Enter(Stage::Fetching);
    FetchMore();
  }
}

// Whether the runner's staging holds a version that it hasn't taken yet.
bool
Stager::StagingIsTaken() const
{
  return m_load && !m_load->m_ordered;
}

void
Stager::OnComplete()
{
  if (StagingIsTaken() && m_load->m_stage == LoadStage::Staged) {
    EndLoad(); // the newer one takes its turn
  }
  if (StagingIsTaken() || !m_buffer.empty()) {
    StoreBuffered();
    return;
  }
  Enter(Stage::Resting);
  if (Loaded() < m_target) {
    BeginLoad();
  }
}

// Brings the pieces that waited to the runner, one after the other.
void
Stager::StoreBuffered()
{
  if (StagingIsTaken() || m_storing || m_buffer.empty()) {
    return;
  }
  m_storing = true;
  const std::size_t piece = m_buffer.begin()->first;
  CallRunner("PUT",
             dialect::StagePutPath(m_model, piece),
             m_buffer.begin()->second,
             [this, epoch = m_epoch, piece](const WholeAnswer& aStored) {
               m_storing = false;
               if (epoch != m_epoch || !m_plan) {
                 return;
               }
               m_buffer.erase(piece);
               if (aStored.m_status / 100 != 2) {
                 LosePiece(piece);
               }
               StoreBuffered();
             });
}

void
Stager::FetchMore()
{
  if (m_plan->Complete()) {
    OnComplete();
    return;
  }
  while (const auto fetch = m_plan->Next(FetchPeers(), LoopNow(), m_random)) {
    Fetch(*fetch);
  }
}

void
Stager::Fetch(const PieceFetch& aFetch)
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
  CallWhole(m_loop,
            aFetch.m_from.empty() ? m_originPool : m_pool,
            from,
            "GET",
            target,
            {},
            kPieceTime,
            [this, epoch = m_epoch, aFetch](const WholeAnswer& aAnswer) {
              if (epoch == m_epoch && m_plan) {
                OnPiece(aFetch, aAnswer);
              }
            });
}

void
Stager::OnPiece(const PieceFetch& aFetch, const WholeAnswer& aAnswer)
{
  const bool good =
    aAnswer.m_status == 200 &&
    Sha256Hex(aAnswer.m_body) == m_pieces.m_digests[aFetch.m_piece];
  CountMetric("siskindeal_stager_pieces_total",
              { { "from", aFetch.m_from.empty() ? "origin" : "peer" },
                { "good", good ? "yes" : "no" } });
  if (!good) {
    Log(LogLevel::Info,
        "piece not had",
        { { "piece", aFetch.m_piece },
          { "from", aFetch.m_from.empty() ? "origin" : aFetch.m_from },
          { "status", aAnswer.m_status },
          { "reason", aAnswer.m_failure } });
    m_plan->Ended(aFetch, false, LoopNow());
    if (aAnswer.m_status == 200 && ++m_badPieces >= kMostBadPieces) {
      m_listDoubted = true;
      BeginVersion();
    }
    return;
  }
  if (StagingIsTaken() || !m_buffer.empty()) {
    m_buffer[aFetch.m_piece] = aAnswer.m_body;
    OnStored(aFetch, true);
    return;
  }
  CallRunner("PUT",
             dialect::StagePutPath(m_model, aFetch.m_piece),
             aAnswer.m_body,
             [this, epoch = m_epoch, aFetch](const WholeAnswer& aStored) {
               if (epoch == m_epoch && m_plan) {
                 OnStored(aFetch, aStored.m_status / 100 == 2);
               }
             });
}

void
Stager::OnStored(const PieceFetch& aFetch, bool aStored)
{
  m_plan->Ended(aFetch, aStored, LoopNow());
  const auto from = m_peers.find(aFetch.m_from);
  if (aStored &&
      (from == m_peers.end() || from->second.m_stager.m_region != m_region)) {
    m_brought.emplace_back(LoopNow(), aFetch.m_piece);
    Tell();
  }
  if (m_stage == Stage::Fetching) {
    FetchMore();
  }
}

} // namespace siskindeal
