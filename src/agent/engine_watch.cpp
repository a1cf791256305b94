#include "agent/weights_agent_p.h"

#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kWatchPeriod{ 2000 };
// Staged beside the record, once in the engine's life: later writes of the
// record can't hide that the rest is gone.
constexpr std::uint32_t kMarkerIndex = 1;

} // namespace

void
WeightsAgent::Impl::WatchEngine()
{
  std::uint64_t epoch = 0;
  {
    const OrderedLock lock(m_mutex);
    if (m_stopped) {
      return;
    }
    epoch = m_epoch;
  }
  m_context->m_engine->State(
    [self = shared_from_this(), epoch](const EngineState& aState) {
      self->OnEngineState(epoch, aState);
      self->CheckMarker();
      self->m_context->m_io->PostAfter(kWatchPeriod,
                                       [self] { self->WatchEngine(); });
    });
}

void
WeightsAgent::Impl::OnEngineState(std::uint64_t aEpoch,
                                  const EngineState& aState)
{
  std::vector<std::string> lost;
  {
    const OrderedLock lock(m_mutex);
    if (!aState.m_answered || aEpoch != m_epoch || m_orderRunning) {
      return;
    }
    for (auto at = m_held.begin(); at != m_held.end();) {
      const bool loaded = at->second.m_load == LoadState::Serving ||
                          at->second.m_load == LoadState::Releasing;
      const bool there =
        std::find(aState.m_loaded.begin(), aState.m_loaded.end(), at->first) !=
        aState.m_loaded.end();
      if (!loaded || there) {
        ++at;
        continue;
      }
      lost.push_back(at->first);
      at->second.m_session->End();
      at = m_held.erase(at);
    }
  }
  for (const auto& digest : lost) {
    Log(LogLevel::Warning, "engine_lost_weights", { { "digest", digest } });
  }
}

void
WeightsAgent::Impl::CheckMarker()
{
  bool marked = false;
  {
    const OrderedLock lock(m_mutex);
    marked = m_marked;
  }
  if (!marked) {
    return StageMarker();
  }
  m_context->m_engine->Read(
    RecordStagingName(),
    kMarkerIndex,
    [self = shared_from_this()](const Engine::Staged& aStaged) {
      if (aStaged.m_answered && !aStaged.m_bytes) {
        self->DropUnloaded();
      }
    });
}

void
WeightsAgent::Impl::StageMarker()
{
  m_context->m_engine->Stage(RecordStagingName(),
                             kMarkerIndex,
                             "1",
                             [self = shared_from_this()](bool aStaged) {
                               const OrderedLock lock(self->m_mutex);
                               self->m_marked = aStaged;
                             });
}

void
WeightsAgent::Impl::DropUnloaded()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_orderRunning || m_stopped) {
      return; // the next check finds the same
    }
    std::erase_if(m_held, [](const auto& aHeld) {
      const auto& held = aHeld.second;
      const bool loaded = held.m_load == LoadState::Serving ||
                          held.m_load == LoadState::Releasing;
      if (!loaded) {
        held.m_session->End();
      }
      return !loaded; // the engine's state tells of the others
    });
    m_marked = false;
  }
  Log(LogLevel::Warning, "engine_restarted");
  StageMarker();
  Persist([](bool) {});
}

} // namespace siskindeal
