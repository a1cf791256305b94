#include "siskindeal/lease.h"

#include "lease/lease_holder_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kTick{ 100 };

// Where this VM stands in the order of preference for a shard, among the live
// entries that can reach the platform.
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

class LeaseKeeper::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const std::string& aVm,
       const LeaseSettings& aSettings,
       Platform& aPlatform,
       WorkerPool& aPool,
       const Clock& aClock,
       ViewSource aView)
    : m_vm(aVm)
    , m_platform(aPlatform)
    , m_pool(aPool)
    , m_clock(aClock)
    , m_view(std::move(aView))
  {
    const auto holder = aVm + "/" + NewId();
    for (std::uint32_t shard = 0; shard < aSettings.m_targetShards; ++shard) {
      const auto key = kLeasePrefix + TargetShardName(shard);
      m_keys.push_back(key);
      m_holders.emplace_back(
        key, holder, aSettings.m_duration, StableHash(key, StableHash(holder)));
      m_told.emplace_back();
    }
  }

  void TickAgain()
  {
    if (Tick()) {
      m_pool.PostAfter(kTick, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->TickAgain();
        }
      });
    }
  }

  void Stop()
  {
    const OrderedLock lock(m_mutex);
    m_stopped = true;
  }

  void Release(std::function<void()> aDone)
  {
    const OrderedLock lock(m_mutex);
    for (auto& holder : m_holders) {
      holder.Release();
    }
    m_onReleased = std::move(aDone);
  }

  std::optional<std::uint64_t> Token(std::uint32_t aShard)
  {
    const OrderedLock lock(m_mutex);
    return aShard < m_holders.size() ? m_holders[aShard].Token(m_clock.Now())
                                     : std::nullopt;
  }

  std::map<std::uint32_t, std::uint64_t> Held()
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

private:
  // False when there is nothing left to do.
  bool Tick()
  {
    const auto view = m_view();
    std::vector<std::pair<std::size_t, LeaseHolder::Call>> calls;
    std::function<void()> released;
    {
      const OrderedLock lock(m_mutex);
      if (m_stopped) {
        return false;
      }
      const auto now = m_clock.Now();
      bool all = m_onReleased != nullptr;
      for (std::size_t shard = 0; shard < m_holders.size(); ++shard) {
        const auto rank =
          view ? RankOf(m_vm, m_keys[shard], *view) : std::nullopt;
        auto call = m_holders[shard].Tick(now, rank);
        all &= m_holders[shard].Released();
        if (call.m_kind != LeaseHolder::Call::Kind::None) {
          calls.emplace_back(shard, std::move(call));
        }
        TellChange(shard, now);
      }
      if (all) {
        released = std::exchange(m_onReleased, nullptr);
        m_stopped = true;
      }
    }
    for (const auto& [shard, call] : calls) {
      Send(shard, call);
    }
    if (released) {
      released();
    }
    return true;
  }

  void Send(std::size_t aShard, const LeaseHolder::Call& aCall)
  {
    const bool read = aCall.m_kind == LeaseHolder::Call::Kind::Read;
    auto done =
      [self = shared_from_this(), aShard, read](const PlatformReply& aReply) {
        const OrderedLock lock(self->m_mutex);
        const auto now = self->m_clock.Now();
        auto& holder = self->m_holders[aShard];
        if (read) {
          holder.OnRead(aReply, now);
        } else {
          holder.OnWritten(aReply, now);
        }
      };
    if (read) {
      m_platform.Get(PlatformUse::Lease, aCall.m_write.m_key, std::move(done));
    } else {
      m_platform.Put(PlatformUse::Lease, aCall.m_write, std::move(done));
    }
  }

  // Logs when a lease is won or lost.
  void TellChange(std::size_t aShard, MonotonicTime aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
  {
    const auto token = m_holders[aShard].Token(aNow);
    if (token == m_told[aShard]) {
      return;
    }
    m_told[aShard] = token;
    Log(LogLevel::Info,
        token ? "lease_taken" : "lease_ended",
        { { "lease", m_keys[aShard] }, { "token", token.value_or(0) } });
    SetMetric("siskindeal_lease_held",
              token ? 1 : 0,
              { { "shard", std::to_string(aShard) } });
  }

  const std::string m_vm;
  Platform& m_platform;
  WorkerPool& m_pool;
  const Clock& m_clock;
  const ViewSource m_view;
  std::vector<std::string> m_keys; // by shard
  OrderedMutex m_mutex{ LockLevel::Rollout };
  std::vector<LeaseHolder> m_holders ABSL_GUARDED_BY(m_mutex);
  std::vector<std::optional<std::uint64_t>> m_told ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_onReleased ABSL_GUARDED_BY(m_mutex);
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

LeaseKeeper::LeaseKeeper(const std::string& aVm,
                         const LeaseSettings& aSettings,
                         Platform& aPlatform,
                         WorkerPool& aPool,
                         const Clock& aClock,
                         ViewSource aView)
  : m_impl(std::make_shared<Impl>(aVm,
                                  aSettings,
                                  aPlatform,
                                  aPool,
                                  aClock,
                                  std::move(aView)))
{
}

LeaseKeeper::~LeaseKeeper()
{
  m_impl->Stop();
}

void
LeaseKeeper::Start()
{
  m_impl->TickAgain();
}

std::optional<std::uint64_t>
LeaseKeeper::Token(std::uint32_t aShard) const
{
  return m_impl->Token(aShard);
}

std::map<std::uint32_t, std::uint64_t>
LeaseKeeper::Held() const
{
  return m_impl->Held();
}

void
LeaseKeeper::Release(std::function<void()> aDone)
{
  m_impl->Release(std::move(aDone));
}

} // namespace siskindeal
