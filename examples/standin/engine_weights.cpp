#include "standin/engine.h"

#include "siskindeal/digest.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace siskindeal::standin {

EngineStandIn::EngineStandIn(EngineOptions aOptions)
  : StandIn(aOptions.m_standIn)
  , m_options(std::move(aOptions))
  , m_link(
      std::make_shared<Link>(GetScheduler(), m_options.m_linkBytesPerSecond))
{
  Start();
}

EngineStandIn::~EngineStandIn()
{
  Stop();
}

EngineCounts
EngineStandIn::Counts()
{
  const absl::MutexLock lock(&m_mutex);
  auto counts = m_counts;
  counts.m_linkBytes = m_link->Carried();
  return counts;
}

std::map<std::string, std::string>
EngineStandIn::Loaded()
{
  const absl::MutexLock lock(&m_mutex);
  return m_loaded;
}

void
EngineStandIn::SetLoaded(const std::string& aDigest,
                         const std::string& aContent)
{
  const absl::MutexLock lock(&m_mutex);
  m_loaded[aDigest] = aContent;
  m_newestDigest = aDigest;
}

std::map<std::string, int>
EngineStandIn::Executions()
{
  const absl::MutexLock lock(&m_mutex);
  return m_executions;
}

// A crash loses everything in memory.
void
EngineStandIn::OnCrash()
{
  const absl::MutexLock lock(&m_mutex);
  for (const auto& [number, chat] : m_running) {
    if (m_options.m_standIn.m_restart.count() == 0) {
      chat->m_responder->Abort();
    }
  }
  m_running.clear();
  m_waiting.clear();
  m_prefixes.clear();
  m_sessions.clear();
  m_staged.clear();
  m_loaded.clear();
  m_newestDigest.clear();
  m_fencingToken = 0;
}

void
EngineStandIn::Handle(HttpRequest aRequest, const Responder& aResponder)
{
  const auto& path = aRequest.m_path;
  if (path == "/v1/chat/completions") {
    HandleChat(aRequest, aResponder);
  } else if (const auto rest = StripPrefix(path, "/engine/staging/")) {
    HandleStaging(aRequest, *rest, aResponder);
  } else if (path == "/engine/orders") {
    HandleOrder(aRequest, aResponder);
  } else if (path == "/engine/state") {
    HandleState(aResponder);
  } else if (path == "/engine/load") {
    HandleLoad(aResponder);
  } else if (path == "/engine/cache-events") {
    HandleEvents(aRequest, aResponder);
  } else if (path == "/engine/cancel") {
    HandleCancel(aRequest, aResponder);
  } else if (StripPrefix(path, "/engine/kv/")) {
    HandleKv(aRequest, aResponder);
  } else if (StripPrefix(path, "/standin/")) {
    HandleAdmin(aRequest, aResponder);
  } else {
    AnswerError(aResponder, 404, "not_found");
  }
}

void
EngineStandIn::HandleStaging(const HttpRequest& aRequest,
                             const std::string& aPath,
                             const Responder& aResponder)
{
  const auto slash = aPath.find('/');
  const auto digest = aPath.substr(0, slash);
  std::uint64_t index = 0;
  if (slash == std::string::npos) {
    auto chunks = nlohmann::json::array();
    {
      const absl::MutexLock lock(&m_mutex);
      if (aRequest.m_method == "DELETE") {
        m_staged.erase(digest);
      }
      const auto staged = m_staged.find(digest);
      if (staged != m_staged.end()) {
        for (const auto& [staged, bytes] : staged->second) {
          chunks.push_back(staged);
        }
      }
    }
    Answer(aResponder, 200, { { "chunks", std::move(chunks) } });
    return;
  }
  if (!absl::SimpleAtoi(aPath.substr(slash + 1), &index)) {
    AnswerError(aResponder, 400, "bad_request");
    return;
  }
  if (aRequest.m_method == "PUT") {
    m_link->Transfer(
      aRequest.m_body.size(),
      [this, digest, index, bytes = aRequest.m_body, aResponder]() mutable {
        {
          const absl::MutexLock lock(&m_mutex);
          m_staged[digest][index] = std::move(bytes);
        }
        Answer(aResponder, 200, { { "ok", true } });
      });
    return;
  }
  std::string bytes;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto staged = m_staged.find(digest);
    if (staged != m_staged.end() && staged->second.count(index) != 0) {
      bytes = staged->second[index];
    }
  }
  if (bytes.empty()) {
    AnswerError(aResponder, 404, "not_found");
    return;
  }
  if (GetFaults().Take("corrupt_chunk", aRequest)) {
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  }
  const auto size = bytes.size();
  m_link->Transfer(size, [aResponder, bytes = std::move(bytes)]() mutable {
    aResponder->Respond(200,
                        { { "content-type", "application/octet-stream" } },
                        std::move(bytes));
  });
}

void
EngineStandIn::HandleOrder(const HttpRequest& aRequest,
                           const Responder& aResponder)
{
  const auto order = nlohmann::json::parse(aRequest.m_body);
  const auto token = order.value("fencing_token", std::uint64_t{ 0 });
  const auto kind = order.at("order").get<std::string>();
  const auto digest = order.at("digest").get<std::string>();
  bool stale = false;
  {
    const absl::MutexLock lock(&m_mutex);
    stale = token < m_fencingToken;
    m_counts.m_staleOrders += stale ? 1 : 0;
    stale = stale && m_options.m_checksFencing;
    if (!stale) {
      m_fencingToken = token;
      if (kind == "unload") {
        m_loaded.erase(digest);
        m_newestDigest = m_newestDigest == digest ? "" : m_newestDigest;
      }
    }
  }
  if (stale) {
    AnswerError(aResponder, 409, "stale_fencing_token");
  } else if (kind == "unload") {
    AnswerLoaded(aResponder, "");
  } else if (kind == "load") {
    GetScheduler().After(m_options.m_loadTime, [this, order, aResponder] {
      Load(order, aResponder);
    });
  } else {
    AnswerError(aResponder, 400, "bad_request");
  }
}

// Does not verify the staged bytes; that is the agent's task.
void
EngineStandIn::Load(const nlohmann::json& aOrder, const Responder& aResponder)
{
  const auto digest = aOrder.at("digest").get<std::string>();
  const auto base = aOrder.value("base", "");
  const auto chunks = aOrder.value("chunks", std::uint64_t{ 0 });
  std::string bytes;
  bool complete = chunks > 0;
  {
    const absl::MutexLock lock(&m_mutex);
    complete = complete && (base.empty() || m_loaded.count(base) != 0);
    auto& staged = m_staged[digest];
    for (std::uint64_t i = 0; complete && i < chunks; ++i) {
      const auto chunk = staged.find(i);
      complete = chunk != staged.end();
      bytes += complete ? chunk->second : "";
    }
  }
  if (!complete) {
    AnswerError(aResponder, 409, "incomplete");
    return;
  }
  const auto content = Sha256Hex(bytes);
  SetLoaded(digest, content);
  AnswerLoaded(aResponder, content);
}

void
EngineStandIn::AnswerLoaded(const Responder& aResponder,
                            const std::string& aContent)
{
  auto loaded = nlohmann::json::array();
  for (const auto& [digest, content] : Loaded()) {
    loaded.push_back(digest);
  }
  Answer(aResponder,
         200,
         { { "loaded", std::move(loaded) }, { "content", aContent } });
}

void
EngineStandIn::HandleState(const Responder& aResponder)
{
  auto loaded = nlohmann::json::array();
  std::uint64_t token = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [digest, content] : m_loaded) {
      loaded.push_back(digest);
    }
    token = m_fencingToken;
  }
  Answer(aResponder,
         200,
         { { "loaded", std::move(loaded) },
           { "fencing_token", token },
           { "checks_fencing", m_options.m_checksFencing } });
}

void
EngineStandIn::HandleAdmin(const HttpRequest& aRequest,
                           const Responder& aResponder)
{
  if (aRequest.m_path == "/standin/executions") {
    Answer(aResponder, 200, Executions());
  } else if (aRequest.m_path == "/standin/loaded") {
    Answer(aResponder, 200, Loaded());
  } else if (aRequest.m_path == "/standin/stats") {
    const auto counts = Counts();
    Answer(aResponder,
           200,
           { { "answers", counts.m_answers },
             { "cancelled", counts.m_cancelled },
             { "cache_hits", counts.m_cacheHits },
             { "stale_orders", counts.m_staleOrders },
             { "link_bytes", counts.m_linkBytes } });
  } else {
    AnswerError(aResponder, 404, "not_found");
  }
}

} // namespace siskindeal::standin
