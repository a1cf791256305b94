#include "agent/weights_agent_p.h"

#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kWatchPeriod{ 2000 };
// Index of a marker that is staged next to the record once per engine start.
// The record cannot reveal an engine restart, because it is written repeatedly.
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
    if (!aState.m_answered || aEpoch != m_epoch || m_orderInFlight) {
      return;
    }
    for (auto it = m_weights.begin(); it != m_weights.end();) {
      const bool expectLoaded = it->second.m_load == LoadState::Serving ||
                                it->second.m_load == LoadState::Releasing;
      const bool isLoaded =
        std::find(aState.m_loaded.begin(), aState.m_loaded.end(), it->first) !=
        aState.m_loaded.end();
      if (!expectLoaded || isLoaded) {
        ++it;
        continue;
      }
      lost.push_back(it->first);
      it->second.m_session->End();
      it = m_weights.erase(it);
    }
  }
  for (const auto& digest : lost) {
    Log(LogLevel::Warning, "engine_lost_weights", { { "digest", digest } });
  }
}

void
WeightsAgent::Impl::CheckMarker()
{
  bool markerStaged = false;
  {
    const OrderedLock lock(m_mutex);
    markerStaged = m_markerStaged;
  }
  if (!markerStaged) {
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
                               self->m_markerStaged = aStaged;
                             });
}

void
WeightsAgent::Impl::DropUnloaded()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_orderInFlight || m_stopped) {
      return; // the next check will retry
    }
    std::erase_if(m_weights, [](const auto& aWeights) {
      const auto& weights = aWeights.second;
      const bool loaded = weights.m_load == LoadState::Serving ||
                          weights.m_load == LoadState::Releasing;
      if (!loaded) {
        weights.m_session->End();
      }
      return !loaded; // OnEngineState handles loaded weights
    });
    m_markerStaged = false;
  }
  Log(LogLevel::Warning, "engine_restarted");
  StageMarker();
  Persist([](bool) {});
}

} // namespace siskindeal
