#include "rollout/download_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kFirstAvoid{ 250 };
constexpr std::chrono::milliseconds kLongestAvoid{ 8000 };
constexpr int kPollsALatency = 2;
constexpr std::uint32_t kLostFailures = 2; // in a row
constexpr std::ptrdiff_t kRefusals = 2;    // peers that need to agree

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
  CountAll();
  auto turns = aTurns;
  turns.m_fleetCount = std::max(1U, aTurns.m_fleetCount);
  turns.m_placeCount = std::max(1U, aTurns.m_placeCount);
  if (!m_turnGains.empty() && !(turns == m_view.m_turns)) {
    Settle(aNow);
  }
  m_view.m_turns = turns;
  m_allowOrigin = aAllowOrigin;
  m_lastGain = aNow;
  m_turnGains.assign(OriginTurns(turns), aNow);
  m_crossGains.assign(turns.m_placeCount, aNow);
}

bool
Download::MayTake(const PeerView& aPeer) const
{
  return !aPeer.m_lost &&
         (aPeer.m_samePlace || !m_view.m_turns.m_originByPlace);
}

void
Download::Count(const PeerView& aPeer, int aSign)
{
  if (aPeer.m_lost) {
    return;
  }
  for (std::uint32_t i = 0; i < aPeer.m_have.Size(); ++i) {
    auto& holders = m_view.m_holders[i];
    if (aPeer.m_have.Has(i)) {
      (aPeer.m_samePlace ? holders.m_samePlace : holders.m_elsewhere) += aSign;
    }
    if (aPeer.m_fetching.Has(i)) {
      (aPeer.m_samePlace ? holders.m_drawnInPlace : holders.m_drawnElsewhere) +=
        aSign;
    }
  }
}

void
Download::CountAll()
{
  m_view.m_holders.assign(m_manifest.ChunkCount(), ChunkHolders{});
  for (const auto& peer : m_view.m_peers) {
    Count(peer, 1);
  }
}

void
Download::Judge(PeerView& aPeer)
{
  const auto& state = m_peers[aPeer.m_info.m_vm];
  const bool lost = state.m_corrupt || state.m_failures >= kLostFailures ||
                    state.m_silences >= kLostFailures;
  if (aPeer.m_lost != lost) {
    Count(aPeer, -1);
    aPeer.m_lost = lost;
    Count(aPeer, 1);
  }
}

void
Download::PeerRefuses(const std::string& aVm, bool aRefuses)
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
  m_view.m_refused = refusing >= kRefusals;
}

void
Download::Avoid(PeerState& aState, MonotonicTime aNow)
{
  const auto exponent = std::min(aState.m_failures, 8U);
  const auto wait = std::min(kLongestAvoid, kFirstAvoid * (1U << exponent));
  ++aState.m_failures;
  aState.m_avoidUntil =
    aNow + std::chrono::duration_cast<std::chrono::nanoseconds>(
             wait * (0.5 + m_random.Unit()));
}

std::vector<Download::Poll>
Download::Polls(MonotonicTime aNow)
{
  std::vector<Poll> due;
  if (Complete() || !m_policy->NeedsPeers()) {
    return due;
  }
  for (const auto& peer : m_view.m_peers) {
    auto& state = m_peers[peer.m_info.m_vm];
    const bool dull = peer.m_have.Full() && !peer.m_lost;
    if (aNow < state.m_pollAt || dull) {
      continue;
    }
    state.m_pollAt = aNow + PollPeriod() * (peer.m_samePlace ? 1 : 2);
    due.push_back(Poll{ peer.m_info, peer.m_lost });
  }
  return due;
}

void
Download::PeerHas(const std::string& aVm,
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
    if (MayTake(*peer) && !peer->m_have.Has(aChunk) &&
        !m_view.m_have.Has(aChunk)) {
      NoteGain(aChunk, peer->m_samePlace, aNow);
    }
  });
  m_drawn.erase(std::remove_if(m_drawn.begin(),
                               m_drawn.end(),
                               [&](auto aChunk) { return have.Has(aChunk); }),
                m_drawn.end());
  m_peers[aVm].m_silences = 0;
  Judge(*peer);
  Count(*peer, -1);
  peer->m_have = std::move(have);
  peer->m_fetching = ChunkSet::FromBytes(aFetching, m_manifest.ChunkCount());
  Count(*peer, 1);
}

void
Download::PeerSilent(const std::string& aVm, MonotonicTime aNow)
{
  if (auto* peer = FindPeer(aVm)) {
    Count(*peer, -1);
    peer->m_fetching = ChunkSet(m_manifest.ChunkCount());
    Count(*peer, 1);
    auto& state = m_peers[aVm];
    ++state.m_silences;
    state.m_avoidUntil = std::max(state.m_avoidUntil, aNow + kFirstAvoid);
    Judge(*peer);
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
  m_view.m_originUsable = m_allowOrigin && aNow >= m_origin.m_avoidUntil;
  m_view.m_settling = aNow < m_drawAfter;
  for (auto& peer : m_view.m_peers) {
    const auto& state = m_peers[peer.m_info.m_vm];
    peer.m_usable = !state.m_corrupt && aNow >= state.m_avoidUntil;
  }
}

std::chrono::nanoseconds
Download::PollPeriod() const
{
  return std::clamp(std::chrono::nanoseconds(m_latency / kPollsALatency),
                    std::chrono::nanoseconds(m_limits.m_shortestPoll),
                    std::chrono::nanoseconds(m_limits.m_longestPoll));
}

} // namespace siskindeal
