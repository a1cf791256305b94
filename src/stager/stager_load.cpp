// Which version a stager brings to its runner next, and its turn to load it.

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "stager/stager_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestDrain{ 2500 }; // of work that can't go on
constexpr milliseconds kDoneBefore{ 1000 };   // the version is due
constexpr milliseconds kLoadTime{ 2500 };     // then the order is given again
// A version that was named so long before the next one has most of its pieces
// in the fleet; the next one's fetch can wait so long and still be in time.
constexpr milliseconds kUnderWay{ 1500 };
constexpr milliseconds kNewerWaits{ 2200 };
// It waits longer for a version of which so much is here.
constexpr double kNearlyThere = 0.75;
constexpr milliseconds kNewerWaitsLonger{ 3500 };
constexpr milliseconds kPeerSilence{ 3500 };
} // namespace

const char*
Stager::StageName(Stage aStage)
{
  constexpr const char* kNames[] = {
    "resting", "listing", "checking", "fetching"
  };
  return kNames[static_cast<int>(aStage)];
}

const char*
Stager::StageName(LoadStage aStage)
{
  constexpr const char* kNames[] = {
    "staged", "draining", "verifying", "loading"
  };
  return kNames[static_cast<int>(aStage)];
}

void
Stager::LogStage(const char* aStage, std::uint64_t aVersion) const
{
  Log(LogLevel::Info,
      "weights stage",
      { { "stage", aStage },
        { "version", aVersion },
        { "loaded", Loaded() },
        { "since_named_ms", SinceNamed(aVersion).count() } });
}

void
Stager::Enter(Stage aStage)
{
  if (m_stage == aStage) {
    return;
  }
  LogStage(StageName(aStage), m_target);
  m_stage = aStage;
  m_stageAt = LoopNow();
  Tell();
}

void
Stager::EnterLoad(LoadStage aStage)
{
  LogStage(StageName(aStage), m_load->m_pieces.m_version);
  m_load->m_stage = aStage;
  m_load->m_since = LoopNow();
  Tell();
}

milliseconds
Stager::SinceNamed(std::uint64_t aVersion) const
{
  return BootTime() - m_named.NamedAt(m_model, aVersion);
}

double
Stager::HeldShare() const
{
  if (!m_plan) {
    return 0;
  }
  const PieceSet& held = m_plan->Held();
  return static_cast<double>(std::count(held.begin(), held.end(), true)) /
         static_cast<double>(held.size());
}

// Whether the pieces of the version being fetched are all fetched first
// although a newer one is named: they are well on their way, will be due before
// the newer one can be there, and the newer one still has time.
bool
Stager::FinishesTargetFirst(std::uint64_t aNewest) const
{
  const milliseconds newer = SinceNamed(aNewest);
  const milliseconds apart = SinceNamed(m_target) - newer;
  return m_stage != Stage::Resting && m_stage != Stage::Listing &&
         Loaded() < m_target &&
         m_named.NamedAt(m_model, m_target).count() > 0 && apart >= kUnderWay &&
         newer <
           (HeldShare() >= kNearlyThere ? kNewerWaitsLonger : kNewerWaits);
}

// Goes on with what the runner needs next.
void
Stager::Step()
{
  if (m_model.empty() || !m_runnerAnswers) {
    return;
  }
  StepLoad();
  StepFetch();
}

bool
Stager::NeedsWeights() const
{
  const bool coming = m_load && m_load->m_pieces.m_version == m_target;
  // With no list yet it isn't known what can be passed on to peers.
  return !coming && (Loaded() == 0 || Loaded() < m_target || !m_plan);
}

void
Stager::StepFetch()
{
  const std::uint64_t newest = m_named.Newest(m_model);
  if (newest > m_target && !FinishesTargetFirst(newest)) {
    m_target = newest;
    BeginVersion();
    return;
  }
  switch (m_stage) {
    case Stage::Resting:
      if (NeedsWeights()) {
        BeginVersion();
      } else if (m_plan && !m_plan->Complete()) {
        Enter(Stage::Fetching); // a piece was found spoilt
      }
      break;
    case Stage::Listing:
      if (LoopNow() >= m_retryAt) {
        ListPieces();
      }
      break;
    case Stage::Fetching:
      StoreBuffered();
      FetchMore();
      break;
    case Stage::Checking:
      break;
  }
}

void
Stager::StepLoad()
{
  if (!m_load) {
    return;
  }
  const auto since = LoopNow() - m_load->m_since;
  switch (m_load->m_stage) {
    case LoadStage::Staged:
      MaybeTakeTurn();
      break;
    case LoadStage::Draining: {
      const bool free = m_report.m_running + m_report.m_waiting == 0 &&
                        m_pollAt > m_load->m_since && !m_polling;
      if (free || since >= m_load->m_drain) {
        EnterLoad(LoadStage::Verifying);
        VerifyPiece(0);
      }
      break;
    }
    case LoadStage::Loading:
      if (Loaded() >= m_load->m_pieces.m_version ||
          (since >= kLoadTime && !m_report.m_busy)) {
        EndLoad();
      }
      break;
    case LoadStage::Verifying:
      break;
  }
}

// All pieces of m_target lie at the runner.
void
Stager::BeginLoad()
{
  m_load = Load{ m_pieces, m_listText, LoadStage::Staged, {}, {}, false };
  EnterLoad(LoadStage::Staged);
}

void
Stager::EndLoad()
{
  LogStage("load ended", m_load->m_pieces.m_version);
  m_load.reset();
  Tell();
}

void
Stager::MaybeTakeTurn()
{
  const MonotonicTime now = LoopNow();
  const std::uint64_t version = m_load->m_pieces.m_version;
  TurnInputs inputs;
  inputs.m_vm = m_settings.m_node.m_rpc.m_host;
  inputs.m_versionKey = VersionKey(version);
  inputs.m_empty = Loaded() == 0;
  inputs.m_timeLeft =
    m_settings.m_stager.m_versionWithin - kDoneBefore - SinceNamed(version);
  for (const auto& [host, peer] : m_peers) {
    // Each region keeps enough of its own runners.
    if (peer.m_stager.m_region == m_region &&
        now - peer.m_stager.m_heardAt < kPeerSilence) {
      inputs.m_peers.push_back({ host,
                                 peer.m_notice.loaded() >= version,
                                 peer.m_notice.turn() == v1::TURN_STAGED,
                                 peer.m_notice.turn() == v1::TURN_LOADING });
    }
  }
  const Turn turn = DecideTurn(inputs);
  if (!turn.m_now) {
    return;
  }
  m_load->m_drain = m_mayCut ? turn.m_drain : kLongestDrain;
  EnterLoad(LoadStage::Draining);
}

void
Stager::VerifyPiece(std::size_t aPiece)
{
  if (aPiece >= m_load->m_pieces.m_digests.size()) {
    OrderLoad();
    return;
  }
  CallRunner("GET",
             dialect::StageGetPath(m_model, aPiece),
             {},
             [this, aPiece](const WholeAnswer& aAnswer) {
               if (m_load && m_load->m_stage == LoadStage::Verifying) {
                 OnVerified(aPiece, aAnswer);
               }
             });
}

void
Stager::OnVerified(std::size_t aPiece, const WholeAnswer& aAnswer)
{
  const PieceList& list = m_load->m_pieces;
  if (aAnswer.m_status == 200 &&
      Sha256Hex(aAnswer.m_body) == list.m_digests[aPiece]) {
    VerifyPiece(aPiece + 1);
    return;
  }
  // Fetched again; it takes a turn again then, if it is still wanted.
  if (m_plan && list.m_version == m_pieces.m_version) {
    LosePiece(aPiece);
  }
  EndLoad();
}

void
Stager::OrderLoad()
{
  EnterLoad(LoadStage::Loading);
  CallRunner("POST",
             std::string(dialect::kOrderPath),
             dialect::EncodeLoadOrder(m_model,
                                      m_load->m_pieces.m_version,
                                      m_report.m_sequence,
                                      m_mayCut ? dialect::RunningWork::Cut
                                               : dialect::RunningWork::Finish),
             [this](const WholeAnswer& aAnswer) { OnOrdered(aAnswer); });
}

void
Stager::OnOrdered(const WholeAnswer& aAnswer)
{
  Log(LogLevel::Info,
      "load ordered",
      { { "status", aAnswer.m_status },
        { "body", std::string_view(aAnswer.m_body).substr(0, 200) },
        { "reason", aAnswer.m_failure } });
  CountMetric("siskindeal_stager_orders_total",
              { { "status", std::to_string(aAnswer.m_status) } });
  if (m_load) {
    m_load->m_ordered = aAnswer.m_status / 100 == 2;
  }
}

} // namespace siskindeal
