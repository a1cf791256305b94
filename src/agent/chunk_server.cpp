#include "agent/weights_session_p.h"

namespace siskindeal {

void
WeightsSession::ServeChunk(const wire::ChunkRequest& aRequest,
                           std::function<void(wire::ChunkReply)> aDone)
{
  wire::ChunkReply reply;
  bool hasChunk = false;
  {
    const OrderedLock lock(m_mutex);
    reply.set_have(m_download.Have().ToBytes());
    hasChunk = m_download.Have().Has(aRequest.index());
  }
  reply.set_missing(!hasChunk);
  if (!hasChunk) {
    return aDone(std::move(reply));
  }
  if (!m_context->TryAcquireUploadSlot()) {
    reply.set_busy(true);
    return aDone(std::move(reply));
  }
  const auto wait = m_context->Reserve(m_manifest.ChunkBytes(aRequest.index()));
  m_context->m_io->PostAfter(
    wait, [self = shared_from_this(), index = aRequest.index(), aDone] {
      self->ReadForPeer(index, aDone);
    });
}

void
WeightsSession::ReadForPeer(std::uint32_t aIndex,
                            std::function<void(wire::ChunkReply)> aDone)
{
  m_context->m_engine->Read(
    m_digest,
    aIndex,
    [self = shared_from_this(), aIndex, aDone](Engine::Staged aStaged) {
      self->m_context->m_io->Post(
        [self, aIndex, aDone, staged = std::move(aStaged)]() mutable {
          self->m_context->ReleaseUploadSlot();
          wire::ChunkReply reply;
          const bool intact =
            staged.m_bytes && self->ChunkMatches(aIndex, *staged.m_bytes);
          if (intact) {
            reply.set_bytes(std::move(*staged.m_bytes));
          } else {
            reply.set_missing(true);
            if (staged.m_answered) {
              self->DropChunk(aIndex);
            }
          }
          {
            const OrderedLock lock(self->m_mutex);
            reply.set_have(self->m_download.Have().ToBytes());
          }
          aDone(std::move(reply));
        });
    });
}

wire::HaveReply
WeightsSession::Have(const wire::HaveRequest& aRequest)
{
  const OrderedLock lock(m_mutex);
  m_download.SetPeerRefuses(aRequest.vm(), aRequest.refused());
  wire::HaveReply reply;
  reply.set_known(true);
  reply.set_have(m_download.Have().ToBytes());
  reply.set_fetching(m_download.FetchingFromOrigin().ToBytes());
  return reply;
}

} // namespace siskindeal
