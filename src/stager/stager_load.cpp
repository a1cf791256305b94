// Which version a stager brings to its runner next, and its turn to load it.

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
// in the fleet; the next one can wait so long and still be there in time.
constexpr milliseconds kUnderWay{ 1500 };
constexpr milliseconds kNewerWaits{ 2200 };
// It waits longer for a version of which so much is here.
constexpr double kNearlyThere = 0.75;
constexpr milliseconds kNewerWaitsLonger{ 3500 };
constexpr milliseconds kLeastTurns{ 1000 }; // for all runners to load it
constexpr milliseconds kPeerSilence{ 3500 };
} // namespace

const char*
Stager::StageName(Stage aStage)
{
  constexpr const char* kNames[] = { "resting",   "listing", "checking",
                                     "fetching",  "staged",  "draining",
                                     "verifying", "loading" };
  return kNames[static_cast<int>(aStage)];
}

void
Stager::Enter(Stage aStage)
{
  if (m_stage == aStage) {
    return;
  }
  Log(LogLevel::Info,
      "weights stage",
      { { "stage", StageName(aStage) },
        { "version", m_target },
        { "loaded", Loaded() },
        { "since_named_ms", SinceNamed(m_target).count() } });
  m_stage = aStage;
  m_stageAt = LoopNow();
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

// Whether the version being brought goes first although a newer one is named:
// it is well on its way, will be due before the newer one can be there, and the
// newer one still has time.
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
  const std::uint64_t newest = m_named.Newest(m_model);
  if (newest > m_target && m_stage != Stage::Loading &&
      !FinishesTargetFirst(newest)) {
    m_target = newest;
    BeginVersion();
    return;
  }
  const MonotonicTime now = LoopNow();
  switch (m_stage) {
    case Stage::Resting:
      // With no list yet it isn't known what can be passed on to peers.
      if (Loaded() == 0 || Loaded() < m_target || !m_plan) {
        BeginVersion();
      } else if (!m_plan->Complete()) {
        Enter(Stage::Fetching); // a piece was found spoilt
      }
      break;
    case Stage::Listing:
      if (now >= m_retryAt) {
        ListPieces();
      }
      break;
    case Stage::Fetching:
      FetchMore();
      break;
    case Stage::Staged:
      MaybeTakeTurn();
      break;
    case Stage::Draining: {
      const bool free = m_report.m_running + m_report.m_waiting == 0 &&
                        m_pollAt > m_stageAt && !m_polling;
      if (free || now - m_stageAt >= m_drain) {
        AfterCheck();
      }
      break;
    }
    case Stage::Loading:
      if (Loaded() >= m_target) {
        Enter(Stage::Resting);
      } else if (now - m_stageAt >= kLoadTime && !m_report.m_busy) {
        BeginVersion();
      }
      break;
    case Stage::Checking:
    case Stage::Verifying:
      break;
  }
}

void
Stager::MaybeTakeTurn()
{
  const MonotonicTime now = LoopNow();
  TurnInputs inputs;
  inputs.m_vm = m_settings.m_node.m_rpc.m_host;
  inputs.m_versionKey = VersionKey();
  inputs.m_empty = Loaded() == 0;
  inputs.m_timeLeft =
    m_settings.m_stager.m_versionWithin - kDoneBefore - SinceNamed(m_target);
  if (m_named.Newest(m_model) > m_target) {
    inputs.m_timeLeft = std::min(
      inputs.m_timeLeft,
      std::max(kLeastTurns, kNewerWaits - SinceNamed(m_named.Newest(m_model))));
  }
  for (const auto& [vm, peer] : m_peers) {
    // Each region keeps enough of its own runners.
    if (peer.m_stager.m_region == m_region &&
        now - peer.m_stager.m_heardAt < kPeerSilence) {
      inputs.m_peers.push_back({ vm,
                                 peer.m_notice.loaded() >= m_target,
                                 peer.m_notice.turn() == v1::TURN_STAGED,
                                 peer.m_notice.turn() == v1::TURN_LOADING });
    }
  }
  const Turn turn = DecideTurn(inputs);
  if (!turn.m_now) {
    return;
  }
  m_drain = m_mayCut ? turn.m_drain : kLongestDrain;
  Enter(Stage::Draining);
}

void
Stager::OrderLoad()
{
  Enter(Stage::Loading);
  CallRunner("POST",
             std::string(dialect::kOrderPath),
             dialect::EncodeLoadOrder(m_model,
                                      m_target,
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
      { { "version", m_target },
        { "status", aAnswer.m_status },
        { "body", std::string_view(aAnswer.m_body).substr(0, 200) },
        { "reason", aAnswer.m_failure } });
  CountMetric("siskindeal_stager_orders_total",
              { { "status", std::to_string(aAnswer.m_status) } });
}

} // namespace siskindeal
