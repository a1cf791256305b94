#include "rollout/download_p.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kBusyAvoid{ 30 };
constexpr std::chrono::milliseconds kShortestTimeout{ 1000 };
constexpr std::chrono::milliseconds kSettle{ 250 }; // after turns have changed
constexpr int kTimeoutLatencies = 10;
constexpr int kLateLatencies = 3; // until a chunk is asked for again
constexpr std::chrono::milliseconds kLeastLate{ 200 };
constexpr int kSmoothing = 8;

std::chrono::nanoseconds
Smooth(std::chrono::nanoseconds aOld, std::chrono::nanoseconds aNew)
{
  return aOld.count() == 0 ? aNew : aOld + (aNew - aOld) / kSmoothing;
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
Download::Hold(std::uint32_t aChunk, MonotonicTime aNow)
{
  m_view.m_have.Add(aChunk);
  m_view.m_wanted.Remove(aChunk);
  NoteGain(aChunk, true, aNow);
}

// Turns that change in mid-flight: what peers have drawn under the old ones is
// asked first, so that it isn't drawn again.
void
Download::Settle(MonotonicTime aNow)
{
  m_drawAfter = aNow + kSettle;
  for (auto& [vm, state] : m_peers) {
    state.m_pollAt = aNow;
  }
}

// After a time in which nothing came, every turn is given its time anew.
void
Download::NoteGain(std::uint32_t aChunk, bool aInPlace, MonotonicTime aNow)
{
  if (m_turnGains.empty()) {
    m_lastGain = aNow;
    return;
  }
  if (aNow - m_lastGain >= m_limits.m_takeoverAfter) {
    std::fill(m_turnGains.begin(), m_turnGains.end(), aNow);
    std::fill(m_crossGains.begin(), m_crossGains.end(), aNow);
  }
  m_lastGain = aNow;
  m_turnGains[aChunk % m_turnGains.size()] = aNow;
  if (aInPlace) {
    m_crossGains[aChunk % m_crossGains.size()] = aNow;
  }
}

void
Download::RefreshStarved(MonotonicTime aNow)
{
  m_view.m_starved = aNow - m_lastGain;
  m_view.m_turnStarved.clear();
  m_view.m_crossStarved.clear();
  const auto inPlace =
    std::count_if(m_view.m_peers.begin(),
                  m_view.m_peers.end(),
                  [](const auto& aPeer) { return aPeer.m_samePlace; });
  const auto& turns = m_view.m_turns;
  const auto known = turns.m_originByPlace ? static_cast<std::size_t>(inPlace)
                                           : m_view.m_peers.size();
  if (known + 1 >= OriginTurns(turns)) {
    for (const auto gain : m_turnGains) {
      m_view.m_turnStarved.push_back(aNow - gain);
    }
  }
  if (inPlace + 1 >= static_cast<std::ptrdiff_t>(turns.m_placeCount)) {
    for (const auto gain : m_crossGains) {
      m_view.m_crossStarved.push_back(aNow - gain);
    }
  }
}

void
Download::Drop(std::uint32_t aChunk)
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
  RefreshStarved(aNow);
  m_view.m_unshared = Unshared();
  while (m_pulls.size() < m_limits.m_window) {
    const auto choice = m_policy->Next(m_view, m_random);
    if (!choice) {
      break;
    }
    pulls.push_back(StartPull(*choice, aNow));
  }
  AskAgain(pulls, aNow);
  return pulls;
}

// Slots that are left ask a second peer for what the first hasn't sent in time.
void
Download::AskAgain(std::vector<Pull>& aPulls, MonotonicTime aNow)
{
  const auto late =
    std::max(std::chrono::nanoseconds(kLeastLate), m_latency * kLateLatencies);
  std::vector<std::uint32_t> chunks;
  for (auto& [id, pull] : m_pulls) {
    const bool asked = !pull.m_vm.empty() && !pull.m_again;
    if (asked && aNow - pull.m_start >= late) {
      chunks.push_back(pull.m_chunk);
    }
  }
  for (const auto chunk : chunks) {
    if (m_pulls.size() >= m_limits.m_window) {
      return;
    }
    if (const auto peer = SecondHolder(chunk)) {
      for (auto& [id, pull] : m_pulls) {
        pull.m_again = pull.m_again || pull.m_chunk == chunk;
      }
      aPulls.push_back(StartPull({ chunk, peer }, aNow));
      m_pulls[aPulls.back().m_id].m_again = true;
    }
  }
}

std::optional<std::size_t>
Download::SecondHolder(std::uint32_t aChunk) const
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < m_view.m_peers.size(); ++i) {
    const auto& peer = m_view.m_peers[i];
    const bool asked =
      std::any_of(m_pulls.begin(), m_pulls.end(), [&](const auto& aPull) {
        return aPull.second.m_chunk == aChunk &&
               aPull.second.m_vm == peer.m_info.m_vm;
      });
    if (asked || !peer.m_usable || peer.m_lost || !peer.m_samePlace ||
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
Download::IsAsked(std::uint32_t aChunk) const
{
  return std::any_of(m_pulls.begin(), m_pulls.end(), [&](const auto& aPull) {
    return aPull.second.m_chunk == aChunk;
  });
}

Pull
Download::StartPull(const ChunkChoice& aChoice, MonotonicTime aNow)
{
  SISKINDEAL_INVARIANT(m_view.m_wanted.Has(aChoice.m_chunk) ||
                         (aChoice.m_peer && IsAsked(aChoice.m_chunk)),
                       "a chunk is drawn from the origin once at a time");
  Pull pull{ ++m_lastPull, aChoice.m_chunk, std::nullopt, PullTimeout() };
  PullState state{ aChoice.m_chunk, "", aNow };
  if (aChoice.m_peer) {
    auto& peer = m_view.m_peers[*aChoice.m_peer];
    SISKINDEAL_INVARIANT(!m_peers[peer.m_info.m_vm].m_corrupt,
                         "a peer that sent wrong bytes isn't asked again");
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
Download::Take(std::uint64_t aPull)
{
  const auto found = m_pulls.find(aPull);
  SISKINDEAL_INVARIANT(found != m_pulls.end(), "a pull ends once");
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
Download::Verified(std::uint64_t aPull, MonotonicTime aNow)
{
  const auto state = Take(aPull);
  const auto took = aNow - state.m_start;
  m_latency = Smooth(m_latency, took);
  if (state.m_vm.empty()) {
    m_origin.m_failures = 0;
    m_drawn.push_back(state.m_chunk);
  } else if (auto* peer = FindPeer(state.m_vm)) {
    peer->m_latency = Smooth(peer->m_latency, took);
    m_peers[state.m_vm].m_failures = 0;
    Judge(*peer);
  }
  Hold(state.m_chunk, aNow);
}

void
Download::Failed(std::uint64_t aPull, PullFailure aFailure, MonotonicTime aNow)
{
  const auto state = Take(aPull);
  if (!m_view.m_have.Has(state.m_chunk) && !IsAsked(state.m_chunk)) {
    m_view.m_wanted.Add(state.m_chunk);
  }
  if (state.m_vm.empty()) {
    Avoid(m_origin, aNow);
    return;
  }
  auto* peer = FindPeer(state.m_vm);
  if (peer == nullptr) {
    return;
  }
  auto& known = m_peers[state.m_vm];
  switch (aFailure) {
    case PullFailure::Busy:
      known.m_avoidUntil = aNow + kBusyAvoid;
      break;
    case PullFailure::Missing:
      Count(*peer, -1);
      peer->m_have.Remove(state.m_chunk);
      Count(*peer, 1);
      break;
    case PullFailure::Lost:
      peer->m_latency = Smooth(peer->m_latency, aNow - state.m_start);
      Avoid(known, aNow);
      Judge(*peer);
      break;
    case PullFailure::Corrupt:
      known.m_corrupt = true;
      Judge(*peer);
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
Download::Unshared() const
{
  return m_peers.empty() ? 0 : static_cast<std::uint32_t>(m_drawn.size());
}

std::chrono::milliseconds
Download::PullTimeout() const
{
  if (m_latency.count() == 0) {
    return m_limits.m_chunkTimeout;
  }
  const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_latency * kTimeoutLatencies);
  return std::min(m_limits.m_chunkTimeout,
                  std::max(kShortestTimeout, expected));
}

} // namespace siskindeal
