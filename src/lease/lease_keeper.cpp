#include "lease/lease_keeper_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };

// Rank of this VM for a lease among the live entries, 0 being the most
// preferred. Entries that cannot reach the platform rank last.
std::optional<std::size_t>
RankOf(const std::string& aVm, const std::string& aKey, const FleetView& aView)
{
  const auto own = aView.m_nodes.find(aVm);
  if (own == aView.m_nodes.end() ||
      own->second.m_record.liveness() != wire::LIVENESS_ALIVE) {
    return std::nullopt;
  }
  const auto score = [&](const std::string& aOther, bool aFailing) {
    return std::make_pair(aFailing ? 1 : 0,
                          StableHash(aOther, StableHash(aKey)));
  };
  const auto ownScore = score(aVm, own->second.m_record.platform_failing());
  std::size_t rank = 0;
  for (const auto& [vm, node] : aView.m_nodes) {
    if (node.m_record.role() == wire::ROLE_ENTRY &&
        node.m_record.liveness() == wire::LIVENESS_ALIVE &&
        score(vm, node.m_record.platform_failing()) < ownScore) {
      ++rank;
    }
  }
  return rank;
}

} // namespace

std::uint32_t
TargetShard(const std::string& aTarget, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(StableHash(aTarget) %
                                    std::max<std::uint32_t>(aShards, 1));
}

std::string
TargetShardName(std::uint32_t aShard)
{
  return "targets/" + std::to_string(aShard);
}

LeaseDriver::LeaseDriver(const std::string& aVm,
                         const std::string& aHolder,
                         const LeaseSettings& aSettings,
                         Platform& aPlatform,
                         LeaseTimer aTimer,
                         const Clock& aClock,
                         LeaseKeeper::ViewSource aView)
  : m_vm(aVm)
  , m_platform(aPlatform)
  , m_timer(std::move(aTimer))
  , m_clock(aClock)
  , m_view(std::move(aView))
{
  m_keys.reserve(aSettings.m_targetShards);
  for (std::uint32_t shard = 0; shard < aSettings.m_targetShards; ++shard) {
    const auto key = kLeasePrefix + TargetShardName(shard);
    m_keys.push_back(key);
    m_holders.emplace_back(
      key, aHolder, aSettings.m_duration, StableHash(key, StableHash(aHolder)));
    m_reportedTokens.emplace_back();
  }
}

void
LeaseDriver::TickAndReschedule()
{
  if (Tick()) {
    m_timer(kTickInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->TickAndReschedule();
      }
    });
  }
}

void
LeaseDriver::Stop()
{
  const OrderedLock lock(m_mutex);
  m_stopped = true;
}

void
LeaseDriver::Release(std::function<void()> aDone)
{
  const OrderedLock lock(m_mutex);
  for (auto& holder : m_holders) {
    holder.Release();
  }
  m_onReleased = std::move(aDone);
}

std::optional<std::uint64_t>
LeaseDriver::Token(std::uint32_t aShard)
{
  const OrderedLock lock(m_mutex);
  return aShard < m_holders.size() ? m_holders[aShard].Token(m_clock.Now())
                                   : std::nullopt;
}

std::map<std::uint32_t, std::uint64_t>
LeaseDriver::Held()
{
  const OrderedLock lock(m_mutex);
  std::map<std::uint32_t, std::uint64_t> held;
  for (std::uint32_t shard = 0; shard < m_holders.size(); ++shard) {
    if (const auto token = m_holders[shard].Token(m_clock.Now())) {
      held[shard] = *token;
    }
  }
  return held;
}

bool
LeaseDriver::Tick()
{
  const auto view = m_view();
  std::vector<std::pair<std::size_t, LeaseHolder::Call>> calls;
  std::function<void()> onReleased;
  {
    const OrderedLock lock(m_mutex);
    if (m_stopped) {
      return false;
    }
    const auto now = m_clock.Now();
    bool allReleased = m_onReleased != nullptr;
    for (std::size_t shard = 0; shard < m_holders.size(); ++shard) {
      const auto rank =
        view ? RankOf(m_vm, m_keys[shard], *view) : std::nullopt;
      auto call = m_holders[shard].Tick(now, rank);
      allReleased &= m_holders[shard].IsReleased();
      if (call.m_kind != LeaseHolder::Call::Kind::None) {
        calls.emplace_back(shard, std::move(call));
      }
      ReportChange(shard, now);
    }
    if (allReleased) {
      onReleased = std::exchange(m_onReleased, nullptr);
      m_stopped = true;
    }
  }
  for (const auto& [shard, call] : calls) {
    SendCall(shard, call);
  }
  if (onReleased) {
    onReleased();
  }
  return true;
}

void
LeaseDriver::SendCall(std::size_t aShard, const LeaseHolder::Call& aCall)
{
  const bool read = aCall.m_kind == LeaseHolder::Call::Kind::Read;
  auto done =
    [self = shared_from_this(), aShard, read](const PlatformReply& aReply) {
      const OrderedLock lock(self->m_mutex);
      const auto now = self->m_clock.Now();
      auto& holder = self->m_holders[aShard];
      if (read) {
        holder.OnReadReply(aReply, now);
      } else {
        holder.OnWriteReply(aReply, now);
      }
    };
  if (read) {
    m_platform.Get(PlatformUse::Lease, aCall.m_write.m_key, std::move(done));
  } else {
    m_platform.Put(PlatformUse::Lease, aCall.m_write, std::move(done));
  }
}

void
LeaseDriver::ReportChange(std::size_t aShard, MonotonicTime aNow)
{
  const auto token = m_holders[aShard].Token(aNow);
  if (token == m_reportedTokens[aShard]) {
    return;
  }
  m_reportedTokens[aShard] = token;
  Log(LogLevel::Info,
      token ? "lease_taken" : "lease_ended",
      { { "lease", m_keys[aShard] }, { "token", token.value_or(0) } });
  SetMetric("siskindeal_lease_held",
            token ? 1 : 0,
            { { "shard", std::to_string(aShard) } });
}

LeaseKeeper::LeaseKeeper(const std::string& aVm,
                         const LeaseSettings& aSettings,
                         Platform& aPlatform,
                         WorkerPool& aPool,
                         const Clock& aClock,
                         ViewSource aView)
  : m_driver(std::make_shared<LeaseDriver>(
      aVm,
      aVm + "/" + NewId(),
      aSettings,
      aPlatform,
      [&aPool](std::chrono::milliseconds aDelay, WorkerPool::Task aTask) {
        aPool.PostAfter(aDelay, std::move(aTask));
      },
      aClock,
      std::move(aView)))
{
}

LeaseKeeper::~LeaseKeeper()
{
  m_driver->Stop();
}

void
LeaseKeeper::Start()
{
  m_driver->TickAndReschedule();
}

std::optional<std::uint64_t>
LeaseKeeper::Token(std::uint32_t aShard) const
{
  return m_driver->Token(aShard);
}

std::map<std::uint32_t, std::uint64_t>
LeaseKeeper::Held() const
{
  return m_driver->Held();
}

void
LeaseKeeper::Release(std::function<void()> aDone)
{
  m_driver->Release(std::move(aDone));
}

} // namespace siskindeal
