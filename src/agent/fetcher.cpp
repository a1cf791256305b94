#include "agent/weights_session_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 25 };
constexpr std::chrono::milliseconds kEngineRetryDelay{ 500 };
constexpr std::chrono::milliseconds kHaveTimeout{ 500 };
constexpr int kPartialContent = 206;

DownloadLimits
LimitsOf(const WeightsSettings& aSettings)
{
  DownloadLimits limits;
  limits.m_window = std::max(1U, aSettings.m_window);
  limits.m_chunkTimeout = aSettings.m_chunkTimeout;
  limits.m_takeoverAfter = aSettings.m_chunkTimeout / 2;
  return limits;
}

} // namespace

WeightsSession::WeightsSession(std::shared_ptr<WeightsContext> aContext,
                               const Manifest& aManifest,
                               const std::string& aPolicy,
                               std::function<void()> aOnStaged)
  : m_context(std::move(aContext))
  , m_manifest(aManifest)
  , m_digest(aManifest.Digest())
  , m_onStaged(std::move(aOnStaged))
  , m_download(aManifest,
               m_context->m_settings.m_node.m_vm,
               m_context->m_settings.m_node.m_place,
               aPolicy,
               LimitsOf(m_context->m_settings.m_weights),
               StableHash(m_context->m_settings.m_node.m_vm + m_digest))
  , m_stream(std::make_shared<Sha256Stream>())
{
}

void
WeightsSession::Start()
{
  m_context->m_engine->ListStagedChunks(
    m_digest, [self = shared_from_this()](auto aChunks) {
      self->m_context->m_io->Post(
        [self, chunks = std::move(aChunks)] { self->OnListed(chunks); });
    });
}

void
WeightsSession::OnListed(
  const std::optional<std::vector<std::uint32_t>>& aChunks)
{
  if (!aChunks) {
    m_context->m_io->PostAfter(kEngineRetryDelay,
                               [self = shared_from_this()] { self->Start(); });
    return;
  }
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Preparing) {
      return;
    }
    m_stage = Stage::Fetching;
    for (const auto chunk : *aChunks) {
      if (chunk < m_manifest.ChunkCount()) {
        m_download.MarkHeld(chunk, m_context->m_clock.Now());
      }
    }
  }
  Tick();
}

void
WeightsSession::SetPeers(const std::vector<PeerInfo>& aPeers,
                         const ChunkTurns& aTurns,
                         bool aAllowOrigin)
{
  const OrderedLock lock(m_mutex);
  m_download.SetPeers(aPeers, aTurns, aAllowOrigin, m_context->m_clock.Now());
}

void
WeightsSession::End()
{
  const OrderedLock lock(m_mutex);
  m_stage = Stage::Ended;
}

void
WeightsSession::Tick()
{
  if (const auto stage = CurrentStage(); stage != Stage::Fetching) {
    return;
  }
  Pump();
  m_context->m_io->PostAfter(kTickInterval,
                             [self = shared_from_this()] { self->Tick(); });
}

void
WeightsSession::Pump()
{
  std::vector<Pull> pulls;
  std::vector<Download::Poll> polls;
  bool complete = false;
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Fetching) {
      return;
    }
    const auto now = m_context->m_clock.Now();
    complete = m_download.Complete();
    if (complete) {
      m_stage = Stage::Checking;
      m_problem.clear();
    } else {
      pulls = m_download.Next(now);
      polls = m_download.NextPolls(now);
      SISKINDEAL_INVARIANT(
        m_download.InFlight() <=
          std::max(1U, m_context->m_settings.m_weights.m_window),
        "chunks in flight stay within the window");
    }
  }
  CheckNextChunk();
  if (complete) {
    return FinishCheck();
  }
  StartPulls(pulls);
  StartPolls(polls);
}

void
WeightsSession::StartPulls(const std::vector<Pull>& aPulls)
{
  for (const auto& pull : aPulls) {
    const auto wait = m_context->Reserve(m_manifest.ChunkBytes(pull.m_chunk));
    if (wait.count() == 0) {
      FetchChunk(pull);
      continue;
    }
    m_context->m_io->PostAfter(
      wait, [self = shared_from_this(), pull] { self->FetchChunk(pull); });
  }
}

void
WeightsSession::StartPolls(const std::vector<Download::Poll>& aPolls)
{
  for (const auto& [peer, refused] : aPolls) {
    wire::HaveRequest request;
    request.set_digest(m_digest);
    request.set_vm(m_context->m_settings.m_node.m_vm);
    request.set_refused(refused);
    m_context->m_io->Have(
      peer.m_address,
      request,
      kHaveTimeout,
      [self = shared_from_this(), vm = peer.m_vm](
        const RpcStatus& aStatus, const wire::HaveReply& aReply) {
        if (aStatus.m_outcome == RpcOutcome::Ok) {
          return self->OnPeerChunks(vm, aReply.have(), aReply.fetching());
        }
        const OrderedLock lock(self->m_mutex);
        self->m_download.OnPollFailed(vm, self->m_context->m_clock.Now());
      });
  }
}

void
WeightsSession::OnPeerChunks(const std::string& aVm,
                             const std::string& aHave,
                             const std::string& aFetching)
{
  const OrderedLock lock(m_mutex);
  m_download.OnPeerHave(aVm, aHave, aFetching, m_context->m_clock.Now());
}

void
WeightsSession::FetchChunk(const Pull& aPull)
{
  if (aPull.m_peer) {
    FetchFromPeer(aPull);
  } else {
    FetchFromOrigin(aPull);
  }
}

void
WeightsSession::FetchFromOrigin(const Pull& aPull)
{
  const auto begin = aPull.m_chunk * m_manifest.m_chunkSize;
  const auto bytes = m_manifest.ChunkBytes(aPull.m_chunk);
  HttpClientRequest request;
  request.m_url = m_context->m_settings.m_weights.m_storeUrl + "/v1/origin/" +
                  m_manifest.m_origin;
  request.m_headers["range"] =
    "bytes=" + std::to_string(begin) + "-" + std::to_string(begin + bytes - 1);
  request.m_timeout = aPull.m_timeout;
  m_context->m_io->Http(
    std::move(request), [self = shared_from_this(), aPull](HttpReply aReply) {
      if (aReply.m_outcome != HttpOutcome::Answered ||
          aReply.m_status != kPartialContent) {
        return self->FailPull(aPull,
                              PullFailure::Lost,
                              "origin: " + (aReply.m_error.empty()
                                              ? std::to_string(aReply.m_status)
                                              : aReply.m_error));
      }
      self->m_context->m_io->Post(
        [self, aPull, bytes = std::move(aReply.m_body)]() mutable {
          self->OnChunkBytes(aPull, std::move(bytes));
        });
    });
}

void
WeightsSession::FetchFromPeer(const Pull& aPull)
{
  wire::ChunkRequest request;
  request.set_digest(m_digest);
  request.set_index(aPull.m_chunk);
  request.set_requester(m_context->m_settings.m_node.m_vm);
  request.set_place(m_context->m_settings.m_node.m_place);
  m_context->m_io->Chunk(
    aPull.m_peer->m_address,
    request,
    aPull.m_timeout,
    [self = shared_from_this(), aPull](const RpcStatus& aStatus,
                                       wire::ChunkReply aReply) {
      const auto& vm = aPull.m_peer->m_vm;
      if (aStatus.m_outcome != RpcOutcome::Ok) {
        return self->FailPull(
          aPull, PullFailure::Lost, vm + ": " + aStatus.m_what);
      }
      if (!aReply.have().empty()) {
        self->OnPeerChunks(vm, aReply.have(), "");
      }
      if (aReply.busy()) {
        return self->FailPull(aPull, PullFailure::Busy, "");
      }
      if (aReply.missing()) {
        return self->FailPull(aPull, PullFailure::Missing, "");
      }
      self->m_context->m_io->Post(
        [self, aPull, bytes = std::move(*aReply.mutable_bytes())]() mutable {
          self->OnChunkBytes(aPull, std::move(bytes));
        });
    });
}

bool
WeightsSession::ChunkMatches(std::uint32_t aIndex,
                             const std::string& aBytes) const
{
  return aBytes.size() == m_manifest.ChunkBytes(aIndex) &&
         Sha256Hex(aBytes) == m_manifest.m_chunkDigests[aIndex];
}

void
WeightsSession::OnChunkBytes(const Pull& aPull, std::string aBytes)
{
  {
    const OrderedLock lock(m_mutex);
    (aPull.m_peer ? m_peerBytes : m_originBytes) += aBytes.size();
  }
  const std::string source = aPull.m_peer ? aPull.m_peer->m_vm : "origin";
  CountMetric("siskindeal_weights_received_bytes",
              { { "from", aPull.m_peer ? "peer" : "origin" } },
              static_cast<double>(aBytes.size()));
  if (!ChunkMatches(aPull.m_chunk, aBytes)) {
    Log(LogLevel::Warning,
        "chunk_corrupt",
        { { "digest", m_digest },
          { "chunk", aPull.m_chunk },
          { "source", source } });
    CountMetric("siskindeal_weights_corrupt_chunks_total");
    return FailPull(aPull, PullFailure::Corrupt, source + ": corrupt chunk");
  }
  if (CurrentStage() == Stage::Ended) {
    return;
  }
  m_context->m_engine->Stage(m_digest,
                             aPull.m_chunk,
                             std::move(aBytes),
                             [self = shared_from_this(), aPull](bool aStaged) {
                               self->OnChunkStaged(aPull, aStaged);
                             });
}

void
WeightsSession::OnChunkStaged(const Pull& aPull, bool aStaged)
{
  if (!aStaged) {
    m_context->m_io->PostAfter(
      kEngineRetryDelay, [self = shared_from_this(), aPull] {
        self->FailPull(
          aPull, PullFailure::Missing, "engine: staging a chunk failed");
      });
    return;
  }
  {
    const OrderedLock lock(m_mutex);
    m_download.OnPullVerified(aPull.m_id, m_context->m_clock.Now());
  }
  m_context->m_io->Post([self = shared_from_this()] { self->Pump(); });
}

void
WeightsSession::FailPull(const Pull& aPull,
                         PullFailure aFailure,
                         const std::string& aWhat)
{
  {
    const OrderedLock lock(m_mutex);
    m_download.OnPullFailed(aPull.m_id, aFailure, m_context->m_clock.Now());
    if (!aWhat.empty()) {
      m_problem = aWhat;
    }
  }
  m_context->m_io->Post([self = shared_from_this()] { self->Pump(); });
}

wire::Progress
WeightsSession::Progress()
{
  const OrderedLock lock(m_mutex);
  wire::Progress progress;
  progress.set_digest(m_digest);
  progress.set_chunks(m_manifest.ChunkCount());
  progress.set_verified(m_download.Have().Count());
  progress.set_origin_bytes(m_originBytes);
  progress.set_peer_bytes(m_peerBytes);
  progress.set_problem(m_problem);
  return progress;
}

WeightsSession::Stage
WeightsSession::CurrentStage()
{
  const OrderedLock lock(m_mutex);
  return m_stage;
}

std::string
WeightsSession::ContentHash()
{
  const OrderedLock lock(m_mutex);
  return m_contentHash;
}

} // namespace siskindeal
