#include "support/weights_world.h"

#include "siskindeal/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal::testing {

using Json = nlohmann::json;

namespace {

constexpr double kOriginCorruptionRate = 0.25;

HttpReply
MakeReply(int aStatus, std::string aBody)
{
  HttpReply reply;
  reply.m_outcome = HttpOutcome::Answered;
  reply.m_status = aStatus;
  reply.m_body = std::move(aBody);
  return reply;
}

} // namespace

// I/O of one incarnation of an agent. Callbacks of a past incarnation are
// dropped.
class SimulatedIo final : public WeightsIo
{
public:
  SimulatedIo(WeightsSimulation& aWorld,
              std::string aVm,
              std::uint64_t aIncarnation)
    : m_world(aWorld)
    , m_vm(std::move(aVm))
    , m_incarnation(aIncarnation)
  {
  }

  void Http(HttpClientRequest aRequest,
            std::function<void(HttpReply)> aDone) override
  {
    RunLater(m_world.m_delay, [this, aRequest, aDone] {
      const bool isOrder =
        aRequest.m_url.find("/engine/orders") != std::string::npos;
      auto reply = m_world.Serve(m_vm, aRequest);
      const auto delay =
        isOrder ? m_world.EngineOf(m_vm).m_loadTime : m_world.m_delay;
      RunLater(delay, [reply = std::move(reply), aDone] { aDone(reply); });
    });
  }

  void Chunk(const std::string& aAddress,
             const wire::ChunkRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::ChunkReply> aDone) override
  {
    auto replied = std::make_shared<bool>(false);
    const auto finish = [this, replied, aDone](const RpcStatus& aStatus,
                                               const wire::ChunkReply& aReply) {
      if (!*replied) {
        *replied = true;
        RunLater(std::chrono::milliseconds(0),
                 [aStatus, aReply, aDone] { aDone(aStatus, aReply); });
      }
    };
    RunLater(aTimeout, [finish] {
      finish({ RpcOutcome::Unknown, "timeout" }, {});
    });
    if (IsLost(aAddress)) {
      return;
    }
    RunLater(m_world.m_delay, [this, aAddress, aRequest, finish] {
      if (!m_world.IsUp(aAddress)) {
        return finish({ RpcOutcome::NotSent, "no connection" }, {});
      }
      m_world.Agent(aAddress).OnChunk(
        aRequest, [this, aAddress, finish](wire::ChunkReply aReply) {
          OnReply(aAddress, std::move(aReply), finish);
        });
    });
  }

  void Have(const std::string& aAddress,
            const wire::HaveRequest& aRequest,
            std::chrono::milliseconds aTimeout,
            Done<wire::HaveReply> aDone) override
  {
    if (IsLost(aAddress) || !m_world.IsUp(aAddress)) {
      return RunLater(aTimeout, [aDone] {
        aDone({ RpcOutcome::Unknown, "timeout" }, {});
      });
    }
    m_world.Agent(aAddress).OnHave(
      aRequest, [this, aDone](const wire::HaveReply& aReply) {
        RunLater(m_world.m_delay * 2, [aReply, aDone] {
          aDone({ RpcOutcome::Ok, "" }, aReply);
        });
      });
  }

  void Post(std::function<void()> aTask) override
  {
    RunLater(std::chrono::milliseconds(0), std::move(aTask));
  }

  void PostAfter(std::chrono::milliseconds aDelay,
                 std::function<void()> aTask) override
  {
    RunLater(aDelay, std::move(aTask));
  }

private:
  template<typename Finish>
  void OnReply(const std::string& aFrom,
               wire::ChunkReply aReply,
               const Finish& aFinish)
  {
    if (m_world.m_stalledVms.count(aFrom) != 0 ||
        !m_world.IsConnected(m_vm, aFrom)) {
      return;
    }
    if (m_world.m_corruptVms.count(aFrom) != 0 && !aReply.bytes().empty()) {
      (*aReply.mutable_bytes())[0] ^= 1;
    }
    if (!aReply.bytes().empty() &&
        m_world.m_nodes[aFrom].m_place != m_world.m_nodes[m_vm].m_place) {
      ++m_world.m_crossPlaceChunks;
    }
    RunLater(m_world.m_delay, [aReply, aFinish] {
      aFinish({ RpcOutcome::Ok, "" }, aReply);
    });
  }

  bool IsLost(const std::string& aTo)
  {
    return !m_world.IsConnected(m_vm, aTo) ||
           m_world.m_random.Chance(m_world.m_callLossRate);
  }

  void RunLater(std::chrono::milliseconds aDelay, std::function<void()> aTask)
  {
    m_world.ScheduleAfter(
      aDelay, [this, task = std::move(aTask), incarnation = m_incarnation] {
        if (m_world.m_nodes[m_vm].m_incarnation == incarnation) {
          task();
        }
      });
  }

  WeightsSimulation& m_world;
  const std::string m_vm;
  const std::uint64_t m_incarnation;
};

WeightsSimulation::WeightsSimulation(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

WeightsSimulation::~WeightsSimulation()
{
  while (!m_events.empty()) {
    m_events.pop();
  }
}

Manifest
WeightsSimulation::Publish(const std::string& aPath,
                           std::uint32_t aChunks,
                           std::uint64_t aChunkBytes,
                           const std::string& aBase)
{
  std::string bytes;
  // The last chunk is shorter.
  while (bytes.size() + aChunkBytes / 2 < aChunks * aChunkBytes) {
    bytes += static_cast<char>(m_random.Below(256));
  }
  Manifest manifest;
  manifest.m_size = bytes.size();
  manifest.m_chunkSize = aChunkBytes;
  manifest.m_baseDigest = aBase;
  manifest.m_origin = aPath;
  for (std::uint32_t i = 0; i < aChunks; ++i) {
    manifest.m_chunkDigests.push_back(
      Sha256Hex(std::string_view(bytes).substr(i * aChunkBytes, aChunkBytes)));
  }
  m_originFiles[aPath] = bytes;
  return manifest;
}

void
WeightsSimulation::StartAgent(const std::string& aVm, const std::string& aPlace)
{
  AgentSettings settings;
  settings.m_node.m_vm = aVm;
  settings.m_node.m_place = aPlace;
  settings.m_upstream.m_url = "http://engine";
  settings.m_weights.m_storeUrl = "http://store";
  settings.m_weights.m_chunkTimeout = std::chrono::milliseconds(2000);
  settings.m_platform.m_url = "http://platform";
  auto& node = m_nodes[aVm];
  node.m_place = aPlace;
  ++node.m_incarnation;
  node.m_agent = std::make_shared<WeightsAgent>(
    settings,
    std::make_shared<SimulatedIo>(*this, aVm, node.m_incarnation),
    m_clock);
  node.m_agent->Recover();
}

void
WeightsSimulation::KillAgent(const std::string& aVm)
{
  auto& node = m_nodes[aVm];
  ++node.m_incarnation;
  node.m_agent.reset();
}

bool
WeightsSimulation::IsUp(const std::string& aVm) const
{
  const auto found = m_nodes.find(aVm);
  return found != m_nodes.end() && found->second.m_agent != nullptr;
}

WeightsAgent&
WeightsSimulation::Agent(const std::string& aVm)
{
  return *m_nodes.at(aVm).m_agent;
}

wire::NodeRecord
WeightsSimulation::RecordOf(const std::string& aVm)
{
  wire::NodeRecord record;
  record.set_vm(aVm);
  record.set_place(m_nodes[aVm].m_place);
  record.set_address(aVm);
  record.set_incarnation(m_nodes[aVm].m_incarnation);
  if (IsUp(aVm)) {
    record.set_liveness(wire::LIVENESS_ALIVE);
    Agent(aVm).FillRecord(record);
  }
  return record;
}

wire::OrderRequest
WeightsSimulation::MakeFetchOrder(const std::string& aVm,
                                  const Manifest& aManifest,
                                  const std::vector<std::string>& aVms,
                                  std::uint64_t aToken)
{
  wire::OrderRequest request;
  request.set_shard("s");
  request.set_fencing_token(aToken);
  auto* fetch = request.mutable_fetch();
  fetch->set_class_of_work("chat");
  fetch->set_digest(aManifest.Digest());
  fetch->set_manifest(ToJson(aManifest));
  fetch->set_policy(m_policy);
  fetch->set_allow_origin(true);
  fetch->set_origin_by_place(m_originByPlace);
  fetch->set_load_when_staged(m_loadWhenStaged);
  fetch->set_fleet_count(static_cast<std::uint32_t>(aVms.size()));
  std::uint32_t inPlace = 0;
  for (std::uint32_t i = 0; i < aVms.size(); ++i) {
    const auto& place = m_nodes[aVms[i]].m_place;
    if (aVms[i] == aVm) {
      fetch->set_fleet_index(i);
      fetch->set_place_index(inPlace);
    } else {
      auto* peer = fetch->add_peers();
      peer->set_vm(aVms[i]);
      peer->set_place(place);
      peer->set_address(aVms[i]);
    }
    inPlace += place == m_nodes[aVm].m_place ? 1 : 0;
  }
  fetch->set_place_count(inPlace);
  return request;
}

wire::OrderReply
WeightsSimulation::Order(const std::string& aVm,
                         const wire::OrderRequest& aRequest)
{
  auto reply = std::make_shared<std::optional<wire::OrderReply>>();
  if (!IsUp(aVm)) {
    return {};
  }
  Agent(aVm).OnOrder(
    aRequest, [reply](const wire::OrderReply& aReply) { *reply = aReply; });
  RunUntil([&] { return reply->has_value(); }, std::chrono::seconds(60));
  return reply->value_or(wire::OrderReply{});
}

bool
WeightsSimulation::RunNextEvent()
{
  if (m_events.empty()) {
    return false;
  }
  auto event = m_events.top();
  m_events.pop();
  if (event.m_at > m_clock.Now()) {
    m_clock.Advance(event.m_at - m_clock.Now());
  }
  event.m_task();
  return true;
}

bool
WeightsSimulation::RunUntil(const std::function<bool()>& aDone,
                            std::chrono::milliseconds aTimeout)
{
  const auto end = m_clock.Now() + aTimeout;
  while (!aDone()) {
    if (m_clock.Now() > end || !RunNextEvent()) {
      return false;
    }
  }
  return true;
}

void
WeightsSimulation::RunFor(std::chrono::milliseconds aTime)
{
  bool elapsed = false;
  ScheduleAfter(aTime, [&elapsed] { elapsed = true; });
  RunUntil([&elapsed] { return elapsed; }, aTime * 2);
}

void
WeightsSimulation::ScheduleAfter(std::chrono::milliseconds aDelay,
                                 std::function<void()> aTask)
{
  m_events.push(
    Event{ m_clock.Now() + aDelay, ++m_lastEventNumber, std::move(aTask) });
}

bool
WeightsSimulation::IsConnected(const std::string& aFrom,
                               const std::string& aTo) const
{
  const auto& from = m_nodes.at(aFrom).m_place;
  const auto& to = m_nodes.at(aTo).m_place;
  return from == to ||
         (m_isolated.count(from) == 0 && m_isolated.count(to) == 0);
}

HttpReply
WeightsSimulation::Serve(const std::string& aVm,
                         const HttpClientRequest& aRequest)
{
  const auto path = aRequest.m_url.substr(aRequest.m_url.find('/', 7));
  if (path.rfind("/engine/", 0) == 0) {
    return ServeEngine(m_engines[aVm], aRequest, path.substr(8));
  }
  if (path.rfind("/v1/origin/", 0) == 0) {
    if (m_originDown || m_isolated.count(m_nodes[aVm].m_place) != 0) {
      return {};
    }
    return ServeOrigin(aRequest, path.substr(11));
  }
  return MakeReply(200, R"({"revision":1,"objects":[]})");
}

HttpReply
WeightsSimulation::ServeOrigin(const HttpClientRequest& aRequest,
                               const std::string& aPath)
{
  const auto range = aRequest.m_headers.at("range");
  const auto separator = range.find('-');
  const auto begin = std::stoull(range.substr(6, separator - 6));
  const auto end = std::stoull(range.substr(separator + 1));
  auto bytes = m_originFiles.at(aPath).substr(begin, end - begin + 1);
  m_originBytes += bytes.size();
  if (m_originCorrupts && m_random.Chance(kOriginCorruptionRate)) {
    bytes[0] = static_cast<char>(bytes[0] ^ 1);
  }
  return MakeReply(206, bytes);
}

HttpReply
WeightsSimulation::ServeEngine(FakeEngine& aEngine,
                               const HttpClientRequest& aRequest,
                               const std::string& aPath)
{
  if (aEngine.m_down) {
    return {};
  }
  if (aPath == "orders") {
    return ServeOrder(aEngine, aRequest.m_body);
  }
  if (aPath == "state") {
    std::vector<std::string> loaded;
    for (const auto& [digest, bytes] : aEngine.m_loaded) {
      loaded.push_back(digest);
    }
    return MakeReply(
      200,
      Json{ { "loaded", loaded }, { "fencing_token", aEngine.m_token } }
        .dump());
  }
  const auto name = aPath.substr(8); // after "staging/"
  const auto slash = name.find('/');
  const auto digest = name.substr(0, slash);
  auto& chunks = aEngine.m_staging[digest];
  if (slash == std::string::npos) {
    if (aRequest.m_method == "DELETE") {
      chunks.clear();
      return MakeReply(200, "{}");
    }
    std::vector<std::uint32_t> indexes;
    for (const auto& [index, bytes] : chunks) {
      indexes.push_back(index);
    }
    return MakeReply(200, Json{ { "chunks", indexes } }.dump());
  }
  const auto index =
    static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  if (aRequest.m_method == "PUT") {
    chunks[index] = aRequest.m_body;
    return MakeReply(200, "{}");
  }
  const auto found = chunks.find(index);
  if (found == chunks.end()) {
    return MakeReply(404, "{}");
  }
  return MakeReply(200, found->second);
}

HttpReply
WeightsSimulation::ServeOrder(FakeEngine& aEngine, const std::string& aBody)
{
  const auto order = Json::parse(aBody);
  const auto token = order.at("fencing_token").get<std::uint64_t>();
  const auto digest = order.at("digest").get<std::string>();
  if (aEngine.m_checksFencing && token < aEngine.m_token) {
    return MakeReply(409, R"({"fencing_token":0})");
  }
  aEngine.m_token = std::max(aEngine.m_token, token);
  const auto kind = order.at("order").get<std::string>();
  aEngine.m_orders.push_back(kind + " " + digest + " " + std::to_string(token));
  std::string content;
  if (kind == "load") {
    for (const auto& [index, bytes] : aEngine.m_staging[digest]) {
      content += bytes;
    }
    if (aEngine.m_loadsWrongBytes) {
      content += "x";
    }
    aEngine.m_loaded[digest] = content;
    aEngine.m_loadTokens[digest] = token;
  } else {
    aEngine.m_loaded.erase(digest);
  }
  if (aEngine.m_lostOrderReplies > 0) {
    --aEngine.m_lostOrderReplies;
    HttpReply lost;
    lost.m_outcome = HttpOutcome::SentNoReply;
    return lost;
  }
  std::vector<std::string> loaded;
  for (const auto& [name, bytes] : aEngine.m_loaded) {
    loaded.push_back(name);
  }
  return MakeReply(
    200,
    Json{ { "loaded", loaded }, { "content", Sha256Hex(content) } }.dump());
}

} // namespace siskindeal::testing
