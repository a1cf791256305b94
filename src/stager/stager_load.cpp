// Selects the next version to fetch and has the runner load staged ones.

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "stager/stager_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNonRepeatableDrain{ 2500 };
constexpr milliseconds kDeadlineMargin{ 1000 }; // before the version is due
constexpr milliseconds kLoadTimeout{ 2500 };    // then the load is retried
constexpr milliseconds kPeerTimeout{ 3500 };
constexpr std::size_t kMaxLoggedBodyBytes = 200;

} // namespace

const char*
Stager::StageName(FetchStage aStage)
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
        { "loaded", LoadedVersion() },
        { "since_named_ms", SinceNamed(aVersion).count() } });
}

void
Stager::EnterFetchStage(FetchStage aStage)
{
  if (m_fetchStage == aStage) {
    return;
  }
  LogStage(StageName(aStage), m_target);
  m_fetchStage = aStage;
  m_fetchStageAt = LoopNow();
  Announce();
}

void
Stager::EnterLoadStage(LoadStage aStage)
{
  LogStage(StageName(aStage), m_load->m_pieces.m_version);
  m_load->m_stage = aStage;
  m_load->m_since = LoopNow();
  Announce();
}

milliseconds
Stager::SinceNamed(std::uint64_t aVersion) const
{
  // An unnamed version isn't due.
  const auto namedAt = m_named.NamedAt(m_model, aVersion);
  return namedAt ? BootTime() - *namedAt : milliseconds(0);
}

double
Stager::HeldFraction() const
{
  if (!m_plan) {
    return 0;
  }
  const PieceSet& held = m_plan->HeldPieces();
  return static_cast<double>(std::count(held.begin(), held.end(), true)) /
         static_cast<double>(held.size());
}

FetchProgress
Stager::Progress() const
{
  const std::uint64_t loading = m_load ? m_load->m_pieces.m_version : 0;
  return { m_target,
           m_target != m_withdrawn && m_fetchStage != FetchStage::Resting &&
             m_fetchStage != FetchStage::Listing,
           HeldFraction(),
           std::max(LoadedVersion(), loading) };
}

void
Stager::Step()
{
  if (m_model.empty() || !m_runnerReachable) {
    return;
  }
  StepLoad();
  StepFetch();
}

bool
Stager::NeedsWeights() const
{
  const bool loadPending = m_load && m_load->m_pieces.m_version == m_target;
  // Without a piece list nothing can be served to peers.
  return !loadPending &&
         (LoadedVersion() == 0 || LoadedVersion() < m_target || !m_plan);
}

bool
Stager::KnowsPeers() const
{
  // Peers answer a newcomer's notice at once, and send theirs this often.
  constexpr milliseconds kNoticeTime{ 1100 };
  return m_peersAnsweredAt &&
         (!m_peers.empty() || LoopNow() - *m_peersAnsweredAt >= kNoticeTime);
}

void
Stager::StepFetch()
{
  const auto newest = m_named.Newest(m_model);
  if (newest && *newest > m_target && KnowsPeers() &&
      !ShouldFinishTargetFirst(
        Progress(), m_named, m_model, *newest, BootTime())) {
    m_target = *newest;
    BeginVersion();
    return;
  }
  switch (m_fetchStage) {
    case FetchStage::Resting:
      if (NeedsWeights() && KnowsPeers()) {
        BeginVersion();
      } else if (m_plan && !m_plan->Complete()) {
        EnterFetchStage(FetchStage::Fetching); // a piece was dropped
      }
      break;
    case FetchStage::Listing:
      if (LoopNow() >= m_retryAt) {
        ListPieces();
      }
      break;
    case FetchStage::Fetching:
      StoreBuffered();
      StartFetches();
      break;
    case FetchStage::Checking:
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
      const bool drained = m_report.m_running + m_report.m_waiting == 0 &&
                           m_lastPollAt > m_load->m_since && !m_polling;
      if (drained || since >= m_load->m_drain) {
        EnterLoadStage(LoadStage::Verifying);
        ContinueVerifying();
      }
      break;
    }
    case LoadStage::Loading:
      if (LoadedVersion() >= m_load->m_pieces.m_version ||
          (since >= kLoadTimeout && !m_report.m_busy)) {
        EndLoad();
      }
      break;
    case LoadStage::Verifying:
      break;
  }
}

// Called when all pieces of m_target are staged.
void
Stager::BeginLoad()
{
  m_load = Load{ ++m_loads,
                 m_pieces,
                 m_listText,
                 PieceVerification(m_pieces.m_digests.size()),
                 LoadStage::Staged,
                 {},
                 {},
                 false };
  EnterLoadStage(LoadStage::Staged);
}

void
Stager::EndLoad()
{
  LogStage("load ended", m_load->m_pieces.m_version);
  m_load.reset();
  Announce();
}

void
Stager::MaybeTakeTurn()
{
  const MonotonicTime now = LoopNow();
  const std::uint64_t version = m_load->m_pieces.m_version;
  TurnInputs inputs;
  inputs.m_vm = m_settings.m_node.m_rpc.m_host;
  inputs.m_versionKey = VersionKey(version);
  inputs.m_empty = LoadedVersion() == 0;
  inputs.m_timeLeft =
    m_settings.m_stager.m_versionWithin - kDeadlineMargin - SinceNamed(version);
  for (const auto& [host, peer] : m_peers) {
    // Turns are decided per region, so that each keeps enough runners serving.
    if (peer.m_stager.m_region == m_region &&
        now - peer.m_stager.m_lastSeen < kPeerTimeout) {
      inputs.m_peers.push_back({ host,
                                 peer.m_notice.loaded() >= version,
                                 peer.m_notice.turn() == v1::TURN_STAGED,
                                 peer.m_notice.turn() == v1::TURN_LOADING });
    }
  }
  const Turn turn = DecideTurn(inputs);
  if (!turn.m_mayStart) {
    return;
  }
  m_load->m_drain = m_requestsRepeatable ? turn.m_drain : kNonRepeatableDrain;
  EnterLoadStage(LoadStage::Draining);
}

void
Stager::ContinueVerifying()
{
  const milliseconds now = BootTime();
  PieceVerification& verification = m_load->m_verification;
  if (verification.IsTooSlow()) {
    Log(LogLevel::Warning,
        "staged pieces are read too slowly to be loaded",
        { { "version", m_load->m_pieces.m_version },
          { "reads", verification.Reads() } });
    CountMetric("siskindeal_stager_slow_verifications_total");
    EndLoad();
    return;
  }
  while (const auto piece = verification.StartNext(now)) {
    VerifyPiece(*piece);
  }
  if (verification.IsComplete(now)) {
    SendLoadOrder();
  }
}

void
Stager::VerifyPiece(std::size_t aPiece)
{
  CallRunner(
    "GET",
    dialect::StageGetPath(m_model, aPiece),
    {},
    [this, aPiece, load = m_load->m_id](const BufferedResponse& aAnswer) {
      if (m_load && m_load->m_id == load &&
          m_load->m_stage == LoadStage::Verifying) {
        OnPieceVerified(aPiece, aAnswer);
      }
    });
}

void
Stager::OnPieceVerified(std::size_t aPiece, const BufferedResponse& aAnswer)
{
  const PieceList& list = m_load->m_pieces;
  if (aAnswer.m_status == 200 &&
      Sha256Hex(aAnswer.m_body) == list.m_digests[aPiece]) {
    m_load->m_verification.RecordIntact(aPiece);
    ContinueVerifying();
    return;
  }
  // If this version is still the target, the piece is fetched and loaded again.
  if (m_plan && list.m_version == m_pieces.m_version) {
    DropPiece(aPiece);
  }
  EndLoad();
}

void
Stager::SendLoadOrder()
{
  const milliseconds expiresAt = m_load->m_verification.ExpiresAt();
  Log(LogLevel::Info,
      "staged pieces verified",
      { { "version", m_load->m_pieces.m_version },
        { "reads", m_load->m_verification.Reads() },
        { "order_within_ms", (expiresAt - BootTime()).count() } });
  EnterLoadStage(LoadStage::Loading);
  CallRunner(
    "POST",
    std::string(dialect::kOrderPath),
    dialect::EncodeLoadOrder(m_model,
                             m_load->m_pieces.m_version,
                             m_report.m_sequence,
                             m_requestsRepeatable
                               ? dialect::RunningWork::Cut
                               : dialect::RunningWork::Finish),
    [this, load = m_load->m_id](const BufferedResponse& aAnswer) {
      OnLoadOrderReply(load, aAnswer);
    },
    expiresAt);
}

void
Stager::OnLoadOrderReply(std::uint64_t aLoad, const BufferedResponse& aAnswer)
{
  Log(LogLevel::Info,
      "load ordered",
      { { "status", aAnswer.m_status },
        { "body",
          std::string_view(aAnswer.m_body).substr(0, kMaxLoggedBodyBytes) },
        { "reason", aAnswer.m_failure } });
  CountMetric("siskindeal_stager_orders_total",
              { { "status", std::to_string(aAnswer.m_status) } });
  if (m_load && m_load->m_id == aLoad) {
    m_load->m_ordered = aAnswer.m_status / 100 == 2;
  }
}

} // namespace siskindeal
