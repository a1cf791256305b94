#include "agent/weights_session_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kRetryEngine{ 500 };

} // namespace

void
WeightsSession::RestartCheck()
{
  m_stream = std::make_shared<Sha256Stream>();
  m_checked = 0;
  m_content.clear();
}

void
WeightsSession::CheckAgain()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Staged) {
      return;
    }
    m_stage = Stage::Checking;
    RestartCheck();
  }
  CheckNext();
}

void
WeightsSession::CheckNext()
{
  std::uint32_t index = 0;
  {
    const OrderedLock lock(m_mutex);
    const bool checks =
      m_stage == Stage::Fetching || m_stage == Stage::Checking;
    if (!checks || m_reading || !m_download.Have().Has(m_checked)) {
      return;
    }
    m_reading = true;
    index = m_checked;
  }
  m_context->m_engine->Read(
    m_digest,
    index,
    [self = shared_from_this(), index](Engine::Staged aStaged) {
      self->m_context->m_io->Post([self, index, staged = std::move(aStaged)] {
        self->OnChecked(index, staged);
      });
    });
}

void
WeightsSession::OnChecked(std::uint32_t aIndex, const Engine::Staged& aStaged)
{
  const bool whole = aStaged.m_bytes && IsChunk(aIndex, *aStaged.m_bytes);
  bool last = false;
  {
    const OrderedLock lock(m_mutex);
    m_reading = false;
    if (whole && aIndex == m_checked) {
      m_stream->Add(*aStaged.m_bytes);
      ++m_checked;
    }
    last = m_checked == m_manifest.ChunkCount();
  }
  if (!aStaged.m_answered) {
    return m_context->m_io->PostAfter(
      kRetryEngine, [self = shared_from_this()] { self->CheckNext(); });
  }
  if (!whole) {
    return DropChunk(aIndex);
  }
  if (last) {
    return EndCheck();
  }
  CheckNext();
}

void
WeightsSession::EndCheck()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_stage != Stage::Checking || m_checked < m_manifest.ChunkCount()) {
      return;
    }
    SISKINDEAL_INVARIANT(m_download.Complete(),
                         "only a whole manifest counts as staged");
    m_stage = Stage::Staged;
    m_content = m_stream->Finish();
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
  bool fetches = false;
  {
    const OrderedLock lock(m_mutex);
    m_download.Drop(aIndex);
    fetches = m_stage == Stage::Staged || m_stage == Stage::Checking;
    if (aIndex < m_checked) {
      RestartCheck();
    }
    if (fetches) {
      m_stage = Stage::Fetching;
      m_content.clear();
      m_problem = "engine: a staged chunk was lost";
    }
  }
  if (fetches) {
    Tick();
  }
}

} // namespace siskindeal
