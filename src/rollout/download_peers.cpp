#include "rollout/download_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kMinBackoff{ 250 };
constexpr std::chrono::milliseconds kMaxBackoff{ 8000 };
constexpr int kPollsPerLatency = 2;
constexpr std::uint32_t kUnhealthyThreshold = 2; // consecutive failures
constexpr std::ptrdiff_t kMinRefusingPeers = 2;
constexpr std::uint32_t kMaxBackoffExponent = 8;
constexpr double kMinJitterFactor = 0.5;
constexpr int kOtherPlacePollFactor = 2; // multiplies the poll period

} // namespace

void
Download::SetPeers(const std::vector<PeerInfo>& aPeers,
                   const ChunkTurns& aTurns,
                   bool aAllowOrigin,
                   MonotonicTime aNow)
{
  std::vector<PeerView> views;
  std::map<std::string, PeerState> states;
  for (const auto& peer : aPeers) {
    if (peer.m_vm == m_view.m_vm) {
      continue;
    }
    if (const auto* known = FindPeer(peer.m_vm)) {
      views.push_back(*known);
      states[peer.m_vm] = m_peers[peer.m_vm];
    } else {
      views.emplace_back();
      views.back().m_have = ChunkSet(m_manifest.ChunkCount());
      views.back().m_fetching = ChunkSet(m_manifest.ChunkCount());
      states[peer.m_vm] = PeerState{};
    }
    views.back().m_info = peer;
    views.back().m_samePlace = peer.m_place == m_view.m_place;
  }
  m_view.m_peers = std::move(views);
  m_peers = std::move(states);
  RebuildHolderCounts();
  auto turns = aTurns;
  turns.m_fleetCount = std::max(1U, aTurns.m_fleetCount);
  turns.m_placeCount = std::max(1U, aTurns.m_placeCount);
  if (!m_turnProgressAt.empty() && !(turns == m_view.m_turns)) {
    PauseOrigin(aNow);
  }
  m_view.m_turns = turns;
  m_allowOrigin = aAllowOrigin;
  m_lastProgressAt = aNow;
  m_turnProgressAt.assign(OriginTurns(turns), aNow);
  m_placeTurnProgressAt.assign(turns.m_placeCount, aNow);
}

bool
Download::CanFetchFrom(const PeerView& aPeer) const
{
  return !aPeer.m_unhealthy &&
         (aPeer.m_samePlace || !m_view.m_turns.m_originByPlace);
}

void
Download::AddHolderCounts(const PeerView& aPeer, int aSign)
{
  if (aPeer.m_unhealthy) {
    return;
  }
  for (std::uint32_t i = 0; i < aPeer.m_have.Size(); ++i) {
    auto& holders = m_view.m_holders[i];
    if (aPeer.m_have.Has(i)) {
      (aPeer.m_samePlace ? holders.m_samePlace : holders.m_elsewhere) += aSign;
    }
    if (aPeer.m_fetching.Has(i)) {
      (aPeer.m_samePlace ? holders.m_fetchingInPlace
                         : holders.m_fetchingElsewhere) += aSign;
    }
  }
}

void
Download::RebuildHolderCounts()
{
  m_view.m_holders.assign(m_manifest.ChunkCount(), ChunkHolders{});
  for (const auto& peer : m_view.m_peers) {
    AddHolderCounts(peer, 1);
  }
}

void
Download::UpdateHealth(PeerView& aPeer)
{
  const auto& state = m_peers[aPeer.m_info.m_vm];
  const bool unhealthy = state.m_corrupt ||
                         state.m_failures >= kUnhealthyThreshold ||
                         state.m_pollFailures >= kUnhealthyThreshold;
  if (aPeer.m_unhealthy != unhealthy) {
    AddHolderCounts(aPeer, -1);
    aPeer.m_unhealthy = unhealthy;
    AddHolderCounts(aPeer, 1);
  }
}

void
Download::SetPeerRefuses(const std::string& aVm, bool aRefuses)
{
  const auto found = m_peers.find(aVm);
  if (found == m_peers.end()) {
    return;
  }
  found->second.m_refuses = aRefuses;
  const auto refusing =
    std::count_if(m_peers.begin(), m_peers.end(), [](const auto& aPeer) {
      return aPeer.second.m_refuses;
    });
  m_view.m_refusedByPeers = refusing >= kMinRefusingPeers;
}

void
Download::BackOff(PeerState& aState, MonotonicTime aNow)
{
  const auto exponent = std::min(aState.m_failures, kMaxBackoffExponent);
  const auto wait = std::min(kMaxBackoff, kMinBackoff * (1U << exponent));
  ++aState.m_failures;
  aState.m_backoffUntil =
    aNow + std::chrono::duration_cast<std::chrono::nanoseconds>(
             wait * (kMinJitterFactor + m_random.Unit()));
}

std::vector<Download::Poll>
Download::NextPolls(MonotonicTime aNow)
{
  std::vector<Poll> due;
  if (Complete() || !m_policy->NeedsPeers()) {
    return due;
  }
  for (const auto& peer : m_view.m_peers) {
    auto& state = m_peers[peer.m_info.m_vm];
    const bool complete = peer.m_have.Full() && !peer.m_unhealthy;
    if (aNow < state.m_pollAt || complete) {
      continue;
    }
    state.m_pollAt =
      aNow + PollPeriod() * (peer.m_samePlace ? 1 : kOtherPlacePollFactor);
    due.push_back(Poll{ peer.m_info, peer.m_unhealthy });
  }
  return due;
}

void
Download::OnPeerHave(const std::string& aVm,
                     const std::string& aHave,
                     const std::string& aFetching,
                     MonotonicTime aNow)
{
  auto* peer = FindPeer(aVm);
  if (peer == nullptr) {
    return;
  }
  auto have = ChunkSet::FromBytes(aHave, m_manifest.ChunkCount());
  have.ForEach([&](std::uint32_t aChunk) {
    if (CanFetchFrom(*peer) && !peer->m_have.Has(aChunk) &&
        !m_view.m_have.Has(aChunk)) {
      RecordProgress(aChunk, peer->m_samePlace, aNow);
    }
  });
  m_unreplicated.erase(
    std::remove_if(m_unreplicated.begin(),
                   m_unreplicated.end(),
                   [&](auto aChunk) { return have.Has(aChunk); }),
    m_unreplicated.end());
  m_peers[aVm].m_pollFailures = 0;
  UpdateHealth(*peer);
  AddHolderCounts(*peer, -1);
  peer->m_have = std::move(have);
  peer->m_fetching = ChunkSet::FromBytes(aFetching, m_manifest.ChunkCount());
  AddHolderCounts(*peer, 1);
}

void
Download::OnPollFailed(const std::string& aVm, MonotonicTime aNow)
{
  if (auto* peer = FindPeer(aVm)) {
    AddHolderCounts(*peer, -1);
    peer->m_fetching = ChunkSet(m_manifest.ChunkCount());
    AddHolderCounts(*peer, 1);
    auto& state = m_peers[aVm];
    ++state.m_pollFailures;
    state.m_backoffUntil = std::max(state.m_backoffUntil, aNow + kMinBackoff);
    UpdateHealth(*peer);
  }
}

std::vector<std::string>
Download::CorruptPeers() const
{
  std::vector<std::string> names;
  for (const auto& [vm, state] : m_peers) {
    if (state.m_corrupt) {
      names.push_back(vm);
    }
  }
  return names;
}

PeerView*
Download::FindPeer(const std::string& aVm)
{
  for (auto& peer : m_view.m_peers) {
    if (peer.m_info.m_vm == aVm) {
      return &peer;
    }
  }
  return nullptr;
}

void
Download::RefreshUsable(MonotonicTime aNow)
{
  m_view.m_originUsable = m_allowOrigin && aNow >= m_origin.m_backoffUntil;
  m_view.m_originPaused = aNow < m_originPausedUntil;
  for (auto& peer : m_view.m_peers) {
    const auto& state = m_peers[peer.m_info.m_vm];
    peer.m_usable = !state.m_corrupt && aNow >= state.m_backoffUntil;
  }
}

std::chrono::nanoseconds
Download::PollPeriod() const
{
  return std::clamp(std::chrono::nanoseconds(m_latency / kPollsPerLatency),
                    std::chrono::nanoseconds(m_limits.m_minPollPeriod),
                    std::chrono::nanoseconds(m_limits.m_maxPollPeriod));
}

} // namespace siskindeal
