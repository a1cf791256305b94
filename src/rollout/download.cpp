#include "rollout/download_p.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kBusyBackoff{ 30 };
constexpr std::chrono::milliseconds kMinChunkTimeout{ 1000 };
constexpr std::chrono::milliseconds kTurnChangePause{ 250 };
constexpr int kTimeoutLatencyFactor = 10;
constexpr int kHedgeLatencyFactor = 3;
constexpr std::chrono::milliseconds kMinHedgeDelay{ 200 };
constexpr int kLatencySmoothing = 8; // a new sample weighs 1/8

std::chrono::nanoseconds
Smooth(std::chrono::nanoseconds aOld, std::chrono::nanoseconds aNew)
{
  return aOld.count() == 0 ? aNew : aOld + (aNew - aOld) / kLatencySmoothing;
}

} // namespace

Download::Download(const Manifest& aManifest,
                   const std::string& aVm,
                   const std::string& aPlace,
                   const std::string& aPolicy,
                   const DownloadLimits& aLimits,
                   std::uint64_t aSeed)
  : m_manifest(aManifest)
  , m_limits(aLimits)
  , m_policy(RolloutPolicyRegistry::Instance().Make(aPolicy))
  , m_random(aSeed)
{
  m_view.m_vm = aVm;
  m_view.m_place = aPlace;
  m_view.m_have = ChunkSet(aManifest.ChunkCount());
  m_view.m_wanted = ChunkSet(aManifest.ChunkCount());
  for (std::uint32_t i = 0; i < aManifest.ChunkCount(); ++i) {
    m_view.m_wanted.Add(i);
  }
  m_view.m_holders.resize(aManifest.ChunkCount());
  m_view.m_window = aLimits.m_window;
  m_view.m_takeoverAfter = aLimits.m_takeoverAfter;
}

void
Download::MarkHeld(std::uint32_t aChunk, MonotonicTime aNow)
{
  m_view.m_have.Add(aChunk);
  m_view.m_wanted.Remove(aChunk);
  RecordProgress(aChunk, true, aNow);
}

// Called when turns change during a download. Pauses origin fetches and polls
// all peers, so that chunks already fetched under the old turns are not fetched
// from the origin again.
void
Download::PauseOrigin(MonotonicTime aNow)
{
  m_originPausedUntil = aNow + kTurnChangePause;
  for (auto& [vm, state] : m_peers) {
    state.m_pollAt = aNow;
  }
}

// Progress after a stall restarts the takeover time of every turn.
void
Download::RecordProgress(std::uint32_t aChunk,
                         bool aInPlace,
                         MonotonicTime aNow)
{
  if (m_turnProgressAt.empty()) {
    m_lastProgressAt = aNow;
    return;
  }
  if (aNow - m_lastProgressAt >= m_limits.m_takeoverAfter) {
    std::fill(m_turnProgressAt.begin(), m_turnProgressAt.end(), aNow);
    std::fill(m_placeTurnProgressAt.begin(), m_placeTurnProgressAt.end(), aNow);
  }
  m_lastProgressAt = aNow;
  m_turnProgressAt[aChunk % m_turnProgressAt.size()] = aNow;
  if (aInPlace) {
    m_placeTurnProgressAt[aChunk % m_placeTurnProgressAt.size()] = aNow;
  }
}

void
Download::RefreshStalledTimes(MonotonicTime aNow)
{
  m_view.m_stalledFor = aNow - m_lastProgressAt;
  m_view.m_turnStalledFor.clear();
  m_view.m_placeTurnStalledFor.clear();
  const auto inPlace =
    std::count_if(m_view.m_peers.begin(),
                  m_view.m_peers.end(),
                  [](const auto& aPeer) { return aPeer.m_samePlace; });
  const auto& turns = m_view.m_turns;
  const auto peerCount = turns.m_originByPlace
                           ? static_cast<std::size_t>(inPlace)
                           : m_view.m_peers.size();
  if (peerCount + 1 >= OriginTurns(turns)) {
    for (const auto progressAt : m_turnProgressAt) {
      m_view.m_turnStalledFor.push_back(aNow - progressAt);
    }
  }
  if (inPlace + 1 >= static_cast<std::ptrdiff_t>(turns.m_placeCount)) {
    for (const auto progressAt : m_placeTurnProgressAt) {
      m_view.m_placeTurnStalledFor.push_back(aNow - progressAt);
    }
  }
}

void
Download::MarkMissing(std::uint32_t aChunk)
{
  if (m_view.m_have.Remove(aChunk)) {
    m_view.m_wanted.Add(aChunk);
  }
}

std::vector<Pull>
Download::Next(MonotonicTime aNow)
{
  std::vector<Pull> pulls;
  if (Complete()) {
    return pulls;
  }
  RefreshUsable(aNow);
  RefreshStalledTimes(aNow);
  m_view.m_unreplicatedCount = UnreplicatedCount();
  while (m_pulls.size() < m_limits.m_window) {
    const auto choice = m_policy->Next(m_view, m_random);
    if (!choice) {
      break;
    }
    pulls.push_back(StartPull(*choice, aNow));
  }
  HedgeLatePulls(pulls, aNow);
  return pulls;
}

// Uses free slots to request late chunks from a second peer.
void
Download::HedgeLatePulls(std::vector<Pull>& aPulls, MonotonicTime aNow)
{
  const auto hedgeDelay = std::max(std::chrono::nanoseconds(kMinHedgeDelay),
                                   m_latency * kHedgeLatencyFactor);
  std::vector<std::uint32_t> chunks;
  for (auto& [id, pull] : m_pulls) {
    const bool hedgeable = !pull.m_vm.empty() && !pull.m_hedged;
    if (hedgeable && aNow - pull.m_start >= hedgeDelay) {
      chunks.push_back(pull.m_chunk);
    }
  }
  for (const auto chunk : chunks) {
    if (m_pulls.size() >= m_limits.m_window) {
      return;
    }
    if (const auto peer = FindHedgePeer(chunk)) {
      for (auto& [id, pull] : m_pulls) {
        pull.m_hedged = pull.m_hedged || pull.m_chunk == chunk;
      }
      aPulls.push_back(StartPull({ chunk, peer }, aNow));
      m_pulls[aPulls.back().m_id].m_hedged = true;
    }
  }
}

std::optional<std::size_t>
Download::FindHedgePeer(std::uint32_t aChunk) const
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < m_view.m_peers.size(); ++i) {
    const auto& peer = m_view.m_peers[i];
    const bool requested =
      std::any_of(m_pulls.begin(), m_pulls.end(), [&](const auto& aPull) {
        return aPull.second.m_chunk == aChunk &&
               aPull.second.m_vm == peer.m_info.m_vm;
      });
    if (requested || !peer.m_usable || peer.m_unhealthy || !peer.m_samePlace ||
        !peer.m_have.Has(aChunk)) {
      continue;
    }
    if (!best || peer.m_inFlight < m_view.m_peers[*best].m_inFlight) {
      best = i;
    }
  }
  return best;
}

bool
Download::IsInFlight(std::uint32_t aChunk) const
{
  return std::any_of(m_pulls.begin(), m_pulls.end(), [&](const auto& aPull) {
    return aPull.second.m_chunk == aChunk;
  });
}

Pull
Download::StartPull(const ChunkChoice& aChoice, MonotonicTime aNow)
{
  SISKINDEAL_INVARIANT(m_view.m_wanted.Has(aChoice.m_chunk) ||
                         (aChoice.m_peer && IsInFlight(aChoice.m_chunk)),
                       "a chunk in flight is requested again only from a peer");
  Pull pull{ ++m_lastPullId, aChoice.m_chunk, std::nullopt, PullTimeout() };
  PullState state{ aChoice.m_chunk, "", aNow };
  if (aChoice.m_peer) {
    auto& peer = m_view.m_peers[*aChoice.m_peer];
    SISKINDEAL_INVARIANT(
      !m_peers[peer.m_info.m_vm].m_corrupt,
      "no chunk is requested from a peer that sent a corrupt one");
    ++peer.m_inFlight;
    pull.m_peer = peer.m_info;
    state.m_vm = peer.m_info.m_vm;
  } else {
    ++m_view.m_originInFlight;
  }
  m_view.m_wanted.Remove(aChoice.m_chunk);
  m_pulls[pull.m_id] = state;
  return pull;
}

Download::PullState
Download::FinishPull(std::uint64_t aPull)
{
  const auto found = m_pulls.find(aPull);
  SISKINDEAL_INVARIANT(found != m_pulls.end(), "each pull ends exactly once");
  if (found == m_pulls.end()) {
    return {};
  }
  PullState state = found->second;
  m_pulls.erase(found);
  if (state.m_vm.empty()) {
    --m_view.m_originInFlight;
  } else if (auto* peer = FindPeer(state.m_vm); peer && peer->m_inFlight > 0) {
    --peer->m_inFlight;
  }
  return state;
}

void
Download::OnPullVerified(std::uint64_t aPull, MonotonicTime aNow)
{
  const auto state = FinishPull(aPull);
  const auto latency = aNow - state.m_start;
  m_latency = Smooth(m_latency, latency);
  if (state.m_vm.empty()) {
    m_origin.m_failures = 0;
    m_unreplicated.push_back(state.m_chunk);
  } else if (auto* peer = FindPeer(state.m_vm)) {
    peer->m_latency = Smooth(peer->m_latency, latency);
    m_peers[state.m_vm].m_failures = 0;
    UpdateHealth(*peer);
  }
  MarkHeld(state.m_chunk, aNow);
}

void
Download::OnPullFailed(std::uint64_t aPull,
                       PullFailure aFailure,
                       MonotonicTime aNow)
{
  const auto state = FinishPull(aPull);
  if (!m_view.m_have.Has(state.m_chunk) && !IsInFlight(state.m_chunk)) {
    m_view.m_wanted.Add(state.m_chunk);
  }
  if (state.m_vm.empty()) {
    BackOff(m_origin, aNow);
    return;
  }
  auto* peer = FindPeer(state.m_vm);
  if (peer == nullptr) {
    return;
  }
  auto& peerState = m_peers[state.m_vm];
  switch (aFailure) {
    case PullFailure::Busy:
      peerState.m_backoffUntil = aNow + kBusyBackoff;
      break;
    case PullFailure::Missing:
      AddHolderCounts(*peer, -1);
      peer->m_have.Remove(state.m_chunk);
      AddHolderCounts(*peer, 1);
      break;
    case PullFailure::Lost:
      peer->m_latency = Smooth(peer->m_latency, aNow - state.m_start);
      BackOff(peerState, aNow);
      UpdateHealth(*peer);
      break;
    case PullFailure::Corrupt:
      peerState.m_corrupt = true;
      UpdateHealth(*peer);
      break;
  }
}

ChunkSet
Download::FetchingFromOrigin() const
{
  ChunkSet fetching(m_manifest.ChunkCount());
  for (const auto& [id, pull] : m_pulls) {
    if (pull.m_vm.empty()) {
      fetching.Add(pull.m_chunk);
    }
  }
  return fetching;
}

std::uint32_t
Download::UnreplicatedCount() const
{
  return m_peers.empty() ? 0
                         : static_cast<std::uint32_t>(m_unreplicated.size());
}

std::chrono::milliseconds
Download::PullTimeout() const
{
  if (m_latency.count() == 0) {
    return m_limits.m_chunkTimeout;
  }
  const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_latency * kTimeoutLatencyFactor);
  return std::min(m_limits.m_chunkTimeout,
                  std::max(kMinChunkTimeout, expected));
}

} // namespace siskindeal
