#include "agent/weights_session_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kEngineRetryDelay{ 500 };

} // namespace

void
WeightsSession::RestartCheck()
{
  m_stream = std::make_shared<Sha256Stream>();
  m_checkedChunks = 0;
  m_contentHash.clear();
}

void
WeightsSession::Recheck()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Staged) {
      return;
    }
    m_stage = Stage::Checking;
    RestartCheck();
  }
  CheckNextChunk();
}

void
WeightsSession::CheckNextChunk()
{
  std::uint32_t index = 0;
  {
    const OrderedLock lock(m_mutex);
    const bool checkable =
      m_stage == Stage::Fetching || m_stage == Stage::Checking;
    if (!checkable || m_readInFlight ||
        !m_download.Have().Has(m_checkedChunks)) {
      return;
    }
    m_readInFlight = true;
    index = m_checkedChunks;
  }
  m_context->m_engine->Read(
    m_digest,
    index,
    [self = shared_from_this(), index](Engine::Staged aStaged) {
      self->m_context->m_io->Post([self, index, staged = std::move(aStaged)] {
        self->OnChunkRead(index, staged);
      });
    });
}

void
WeightsSession::OnChunkRead(std::uint32_t aIndex, const Engine::Staged& aStaged)
{
  const bool intact = aStaged.m_bytes && ChunkMatches(aIndex, *aStaged.m_bytes);
  bool last = false;
  {
    const OrderedLock lock(m_mutex);
    m_readInFlight = false;
    if (intact && aIndex == m_checkedChunks) {
      m_stream->Add(*aStaged.m_bytes);
      ++m_checkedChunks;
    }
    last = m_checkedChunks == m_manifest.ChunkCount();
  }
  if (!aStaged.m_answered) {
    return m_context->m_io->PostAfter(
      kEngineRetryDelay,
      [self = shared_from_this()] { self->CheckNextChunk(); });
  }
  if (!intact) {
    return DropChunk(aIndex);
  }
  if (last) {
    return FinishCheck();
  }
  CheckNextChunk();
}

void
WeightsSession::FinishCheck()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Checking ||
        m_checkedChunks < m_manifest.ChunkCount()) {
      return;
    }
    SISKINDEAL_INVARIANT(m_download.Complete(),
                         "weights are staged only when all chunks are present");
    m_stage = Stage::Staged;
    m_contentHash = m_stream->Finish();
  }
  Log(LogLevel::Info, "weights_staged", { { "digest", m_digest } });
  m_onStaged();
}

void
WeightsSession::DropChunk(std::uint32_t aIndex)
{
  Log(LogLevel::Warning,
      "staged_chunk_lost",
      { { "digest", m_digest }, { "chunk", aIndex } });
  bool refetch = false;
  {
    const OrderedLock lock(m_mutex);
    m_download.MarkMissing(aIndex);
    refetch = m_stage == Stage::Staged || m_stage == Stage::Checking;
    if (aIndex < m_checkedChunks) {
      RestartCheck();
    }
    if (refetch) {
      m_stage = Stage::Fetching;
      m_contentHash.clear();
      m_problem = "engine: a staged chunk is missing or corrupt";
    }
  }
  if (refetch) {
    Tick();
  }
}

} // namespace siskindeal
