#include "agent/weights_session_p.h"

#include <algorithm>

namespace siskindeal {

WeightsContext::WeightsContext(const AgentSettings& aSettings,
                               std::shared_ptr<WeightsIo> aIo,
                               const Clock& aClock)
  : m_settings(aSettings)
  , m_io(aIo)
  , m_clock(aClock)
  , m_engine(std::make_shared<Engine>(aSettings.m_upstream.m_url, aIo))
  , m_shaper(aSettings.m_weights.m_linkBytesPerSecond)
{
}

std::chrono::milliseconds
WeightsContext::Reserve(std::uint64_t aBytes)
{
  const OrderedLock lock(m_mutex);
  return std::chrono::ceil<std::chrono::milliseconds>(
    m_shaper.Reserve(aBytes, m_clock.Now()));
}

void
WeightsContext::RecordRequestBytes(std::uint64_t aBytes)
{
  const OrderedLock lock(m_mutex);
  m_shaper.RecordRequestBytes(aBytes, m_clock.Now());
}

bool
WeightsContext::TryAcquireUploadSlot()
{
  const auto maxUploads = std::max(1U, m_settings.m_weights.m_uploadSlots);
  if (m_uploads.fetch_add(1) < maxUploads) {
    return true;
  }
  --m_uploads;
  return false;
}

} // namespace siskindeal
