#include "siskindeal/claims.h"

#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kMinTimerDelay{ 1 };

std::string
ResultName(const ClaimResult& aResult)
{
  struct NameVisitor
  {
    std::string operator()(const ClaimGranted&) const { return "granted"; }
    std::string operator()(const StoredAnswer&) const
    {
      return "stored_answer";
    }
    std::string operator()(const Error& aError) const
    {
      return std::string(ToString(aError.GetReason()));
    }
  };
  return std::visit(NameVisitor{}, aResult);
}

} // namespace

class ClaimLog::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const std::string& aService,
       const std::string& aVm,
       const ClaimSettings& aSettings,
       Platform& aPlatform,
       WorkerPool& aWorkers,
       const Clock& aClock)
    : m_service(aService)
    , m_vm(aVm)
    , m_platform(aPlatform)
    , m_workers(aWorkers)
    , m_clock(aClock)
  {
    const auto home = aVm + "/" + NewId();
    for (std::uint32_t shard = 0; shard < kClaimShards; ++shard) {
      m_shards.push_back({ ClaimShard(aService, shard, home, aSettings), {} });
    }
  }

  void SetAgents(const std::vector<std::string>& aAgents)
  {
    for (std::uint32_t shard = 0; shard < kClaimShards; ++shard) {
      {
        const OrderedLock lock(m_mutex);
        m_shards[shard].m_shard.SetHome(
          ClaimHomeOf(m_service, shard, aAgents) == m_vm);
      }
      Pump(shard);
    }
  }

  void Claim(const ClaimRequest& aRequest, Done aDone)
  {
    const auto shard = ClaimShardOf(aRequest.m_key);
    {
      const OrderedLock lock(m_mutex);
      const auto ticket = ++m_lastTicket * kClaimShards + shard;
      m_done[ticket] = std::move(aDone);
      m_shards[shard].m_shard.Claim(ticket, aRequest, m_clock.Now());
    }
    Pump(shard);
  }

  void Finish(std::uint64_t aTicket,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer)
  {
    const auto shard = static_cast<std::uint32_t>(aTicket % kClaimShards);
    {
      const OrderedLock lock(m_mutex);
      m_shards[shard].m_shard.Finish(
        aTicket, aVerdict, std::move(aAnswer), m_clock.Now());
    }
    Pump(shard);
  }

  std::string StateJson()
  {
    nlohmann::json json = nlohmann::json::array();
    const OrderedLock lock(m_mutex);
    for (const auto& shard : m_shards) {
      json.push_back({ { "owned", shard.m_shard.IsOwned() },
                       { "epoch", shard.m_shard.Epoch() },
                       { "remembered", shard.m_shard.RecordCount() },
                       { "waiting", shard.m_shard.Waiting() },
                       { "answer_bytes", shard.m_shard.AnswerBytes() },
                       { "head_writes", shard.m_shard.HeadWrites() },
                       { "granted", shard.m_shard.Granted() } });
    }
    return json.dump();
  }

private:
  struct Shard
  {
    ClaimShard m_shard;
    std::optional<MonotonicTime> m_timer; // due time of the scheduled timer
  };

  // Delivers the shard's results and sends its next platform call.
  void Pump(std::uint32_t aShard)
  {
    std::vector<std::pair<Done, ClaimResult>> results;
    std::optional<ClaimCall> call;
    std::optional<std::chrono::milliseconds> wait;
    {
      const OrderedLock lock(m_mutex);
      auto& shard = m_shards[aShard];
      const auto now = m_clock.Now();
      shard.m_shard.Tick(now);
      call = shard.m_shard.Next(now);
      for (auto& result : shard.m_shard.TakeResults()) {
        auto done = m_done.extract(result.m_ticket);
        results.emplace_back(std::move(done.mapped()),
                             std::move(result.m_result));
      }
      wait = ArmTimer(shard, now);
    }
    if (wait) {
      const auto self = shared_from_this();
      m_workers.PostAfter(*wait, [self, aShard] { self->OnTimer(aShard); });
    }
    if (call) {
      Send(aShard, *call);
    }
    for (auto& [done, result] : results) {
      CountMetric(
        "siskindeal_claims_total",
        { { "service", m_service }, { "result", ResultName(result) } });
      done(std::move(result));
    }
  }

  std::optional<std::chrono::milliseconds> ArmTimer(Shard& aShard,
                                                    MonotonicTime aNow) const
  {
    const auto due = aShard.m_shard.DueAt();
    if (!due || (aShard.m_timer && *aShard.m_timer <= *due)) {
      return std::nullopt;
    }
    aShard.m_timer = *due;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*due - aNow);
    return std::max(wait, kMinTimerDelay);
  }

  void OnTimer(std::uint32_t aShard)
  {
    {
      const OrderedLock lock(m_mutex);
      m_shards[aShard].m_timer.reset();
    }
    Pump(aShard);
  }

  void Send(std::uint32_t aShard, const ClaimCall& aCall)
  {
    const auto self = shared_from_this();
    const auto done = [self, aShard](const PlatformReply& aReply) {
      {
        const OrderedLock lock(self->m_mutex);
        self->m_shards[aShard].m_shard.OnReply(aReply, self->m_clock.Now());
      }
      self->Pump(aShard);
    };
    switch (aCall.m_kind) {
      case ClaimCall::Kind::Get:
        m_platform.Get(PlatformUse::Claim, aCall.m_write.m_key, done);
        return;
      case ClaimCall::Kind::Put:
        m_platform.Put(PlatformUse::Claim, aCall.m_write, done);
        return;
      case ClaimCall::Kind::Delete:
        m_platform.Delete(PlatformUse::Claim, aCall.m_write, done);
        return;
    }
  }

  const std::string m_service;
  const std::string m_vm;
  Platform& m_platform;
  WorkerPool& m_workers;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Claims };
  std::vector<Shard> m_shards ABSL_GUARDED_BY(m_mutex);
  std::unordered_map<std::uint64_t, Done> m_done ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_lastTicket ABSL_GUARDED_BY(m_mutex) = 0;
};

ClaimLog::ClaimLog(const std::string& aService,
                   const std::string& aVm,
                   const ClaimSettings& aSettings,
                   Platform& aPlatform,
                   WorkerPool& aWorkers,
                   const Clock& aClock)
  : m_impl(std::make_shared<Impl>(aService,
                                  aVm,
                                  aSettings,
                                  aPlatform,
                                  aWorkers,
                                  aClock))
{
}

ClaimLog::~ClaimLog() = default;

void
ClaimLog::SetAgents(const std::vector<std::string>& aAgents)
{
  m_impl->SetAgents(aAgents);
}

void
ClaimLog::Claim(const ClaimRequest& aRequest, Done aDone)
{
  m_impl->Claim(aRequest, std::move(aDone));
}

void
ClaimLog::Finish(std::uint64_t aTicket,
                 Verdict aVerdict,
                 std::optional<StoredAnswer> aAnswer)
{
  m_impl->Finish(aTicket, aVerdict, std::move(aAnswer));
}

std::string
ClaimLog::StateJson() const
{
  return m_impl->StateJson();
}

} // namespace siskindeal
