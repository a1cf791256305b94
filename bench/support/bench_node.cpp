#include "support/bench_node.h"

#include "siskindeal/digest.h"

#include <cstdio>
#include <utility>

namespace siskindeal::bench {

namespace {

// Longer than the caller's timeout, so that the reply is lost.
constexpr std::chrono::milliseconds kLateReplyDelay{ 1200 };

} // namespace

void
PrintRow(const std::string& aBench,
         const std::string& aCase,
         const std::string& aMetric,
         const std::string& aUnit,
         double aValue,
         const std::string& aBaseline,
         const std::string& aTarget)
{
  std::printf("{\"bench\":\"%s\",\"case\":\"%s\",\"metric\":\"%s\","
              "\"unit\":\"%s\",\"value\":%.6g,\"baseline\":%s,\"target\":%s}\n",
              aBench.c_str(),
              aCase.c_str(),
              aMetric.c_str(),
              aUnit.c_str(),
              aValue,
              aBaseline.empty() ? "null" : aBaseline.c_str(),
              aTarget.empty() ? "null" : aTarget.c_str());
  std::fflush(stdout);
}

BenchNode::BenchNode(const BenchNodeOptions& aOptions,
                     HttpClient& aHttp,
                     WorkerPool& aPool,
                     const Clock& aClock)
  : m_options(aOptions)
  , m_pool(aPool)
  , m_clock(aClock)
  , m_random(StableHash(aOptions.m_vm))
{
  m_auth.m_activeKey = "bench";
  m_auth.m_keys["bench"] = "a shared secret of the benchmark";
  PlatformSettings platform;
  platform.m_url = aOptions.m_platformUrl;
  m_platform = MakeHttpPlatform(platform, aHttp, aPool, aClock);
  m_client = std::make_unique<NodeClient>(m_auth, aOptions.m_vm);
  m_server =
    std::make_unique<NodeServer>(Address{ "127.0.0.1", 0 }, m_auth, *this);
  NodeSettings node;
  node.m_vm = aOptions.m_vm;
  node.m_place = aOptions.m_place;
  node.m_entries = aOptions.m_entries;
  NodeSyncHooks hooks;
  hooks.m_ownRecord = [this] {
    wire::NodeRecord own;
    const absl::MutexLock lock(&m_mutex);
    *own.mutable_load() = m_load;
    return own;
  };
  hooks.m_onConfig = [this](const std::shared_ptr<const FleetConfig>& aConfig) {
    m_configVersion = aConfig->m_version;
  };
  m_sync = std::make_unique<NodeSync>(node,
                                      MembershipSettings{},
                                      aOptions.m_role,
                                      Rpc().ToString(),
                                      *m_client,
                                      *m_platform,
                                      aPool,
                                      aClock,
                                      std::move(hooks));
  m_ready = true;
  m_sync->Start();
}

BenchNode::~BenchNode()
{
  m_leases.reset();
  m_server.reset();
  m_sync.reset();
}

Address
BenchNode::Rpc() const
{
  return { "127.0.0.1", m_server->Port() };
}

void
BenchNode::StartLeases()
{
  m_leases = std::make_unique<LeaseKeeper>(
    m_options.m_vm, LeaseSettings{}, *m_platform, m_pool, m_clock, [this] {
      return m_sync->View();
    });
  m_leases->Start();
}

void
BenchNode::SetLoad(const wire::Load& aLoad)
{
  const absl::MutexLock lock(&m_mutex);
  m_load = aLoad;
}

bool
BenchNode::ShouldLoseReply()
{
  const absl::MutexLock lock(&m_mutex);
  return m_random.Chance(m_options.m_lostAnswers);
}

wire::GreetReply
BenchNode::OnGreet(const wire::GreetRequest& aRequest)
{
  wire::GreetReply reply;
  reply.set_protocol(kMaxProtocolVersion);
  reply.set_vm(m_options.m_vm);
  reply.set_role(m_options.m_role);
  reply.set_incarnation(m_ready ? m_sync->Incarnation() : 0);
  return reply;
}

void
BenchNode::OnExchange(const wire::ExchangeRequest& aRequest,
                      Done<wire::ExchangeReply> aDone)
{
  if (!m_ready) {
    return aDone({});
  }
  if (!ShouldLoseReply()) {
    return m_sync->OnExchange(aRequest, aDone);
  }
  m_sync->OnExchange(
    aRequest, [this, done = std::move(aDone)](wire::ExchangeReply aReply) {
      m_pool.PostAfter(kLateReplyDelay,
                       [done, reply = std::move(aReply)] { done(reply); });
    });
}

std::string
BenchNode::StateJson()
{
  return m_sync->StateJson();
}

} // namespace siskindeal::bench
