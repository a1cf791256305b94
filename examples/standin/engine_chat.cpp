#include "standin/engine.h"

#include "siskindeal/digest.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace siskindeal::standin {

namespace {

constexpr int kDefaultTokens = 16;
constexpr int kMaxTokens = 4096;
constexpr int kTokensBeforeCrash = 5;     // fault crash_on_token
constexpr std::size_t kContentDigits = 8; // SHA-256 digits in a token
constexpr std::size_t kMaxLoadReports = 1000;
constexpr std::size_t kMaxCacheEvents = 1000;
constexpr std::chrono::milliseconds kBusyRetryAfter{ 200 };
constexpr std::uint64_t kKvCapacityTokens = 100000;
constexpr std::uint64_t kKvTokensPerChat = 1000;

std::string
Token(const std::string& aContent, const std::string& aPrompt, int aIndex)
{
  char digits[17];
  std::snprintf(
    digits,
    sizeof(digits),
    "%016llx",
    static_cast<unsigned long long>(StableHash(
      aContent + "\n" + aPrompt, static_cast<std::uint64_t>(aIndex))));
  return aContent.substr(0, kContentDigits) + "." + std::string(digits, 6) +
         " ";
}

std::string
MessageText(const nlohmann::json& aMessages, bool aFirst)
{
  if (!aMessages.is_array() || aMessages.empty()) {
    return "";
  }
  return (aFirst ? aMessages.front() : aMessages.back()).value("content", "");
}

nlohmann::json
CompletionFields(const std::string& aId,
                 const std::string& aModel,
                 bool aStream)
{
  return { { "id", aId },
           { "object", aStream ? "chat.completion.chunk" : "chat.completion" },
           { "model", aModel } };
}

} // namespace

std::string
ExpectedText(const std::string& aContent,
             const std::string& aPrompt,
             int aTokens)
{
  std::string text;
  for (int i = 0; i < aTokens; ++i) {
    text += Token(aContent, aPrompt, i);
  }
  return text;
}

void
EngineStandIn::HandleChat(const HttpRequest& aRequest,
                          const Responder& aResponder)
{
  const auto body = nlohmann::json::parse(aRequest.m_body);
  const auto chat = std::make_shared<Chat>();
  chat->m_id = GetString(aRequest.m_headers, "x-request-id");
  absl::SimpleAtoi(GetString(aRequest.m_headers, "x-priority"),
                   &chat->m_priority);
  chat->m_responder = aResponder;
  chat->m_digest = GetString(aRequest.m_headers, "x-weights-digest");
  chat->m_model = body.value("model", "");
  chat->m_stream = body.value("stream", false);
  chat->m_tokens =
    std::clamp(body.value("max_tokens", kDefaultTokens), 1, kMaxTokens);
  const auto messages = body.value("messages", nlohmann::json::array());
  chat->m_prompt = MessageText(messages, false);
  ReadResume(aRequest, body.contains("seed"), *chat);
  chat->m_prefixHash = std::to_string(StableHash(MessageText(messages, true)));
  const auto session = GetString(aRequest.m_headers, "x-session");
  bool busy = false;
  {
    const absl::MutexLock lock(&m_mutex);
    if (chat->m_digest.empty()) {
      chat->m_digest = m_newestDigest;
    }
    const auto loaded = m_loaded.find(chat->m_digest);
    if (loaded != m_loaded.end()) {
      chat->m_content = loaded->second;
    }
    chat->m_number = ++m_lastChatNumber;
    busy = m_waiting.size() >= static_cast<std::size_t>(m_options.m_maxWaiting);
    if (!session.empty()) {
      m_sessions[session] = chat->m_prefixHash;
    }
  }
  if (chat->m_content.empty()) {
    AnswerError(aResponder, 409, "digest_mismatch");
    return;
  }
  if (busy) {
    aResponder->Respond(
      503,
      { { "content-type", "application/json" },
        { "retry-after-ms", std::to_string(kBusyRetryAfter.count()) } },
      R"({"error":{"reason":"busy"}})");
    return;
  }
  aResponder->OnDisconnect([this, number = chat->m_number] { Cancel(number); });
  m_link->Transfer(aRequest.m_body.size(), [this, chat] { Enqueue(chat); });
}

void
EngineStandIn::ReadResume(const HttpRequest& aRequest,
                          bool aSeeded,
                          Chat& aChat)
{
  const auto completion = GetString(aRequest.m_headers, "x-completion-id");
  aChat.m_completionId = completion.empty() ? aChat.m_id : completion;
  const bool seeded =
    aSeeded || !GetString(aRequest.m_headers, "x-seed").empty();
  const auto from = GetNumber(aRequest.m_headers, "x-resume-from", 0);
  if (!aChat.m_stream || !seeded || from == 0 ||
      from > static_cast<std::uint64_t>(aChat.m_tokens) ||
      GetFaults().Take("no_resume", aRequest)) {
    return;
  }
  aChat.m_resumedFrom = static_cast<int>(from);
  aChat.m_sent = aChat.m_resumedFrom;
}

void
EngineStandIn::BeginStream(const Chat& aChat)
{
  HttpHeaders headers{ { "content-type", "text/event-stream" },
                       { "x-weights-digest", aChat.m_digest } };
  if (aChat.m_resumedFrom > 0) {
    headers["x-resumed-from"] = std::to_string(aChat.m_resumedFrom);
  }
  aChat.m_responder->BeginStream(200, headers);
}

void
EngineStandIn::Enqueue(const ChatPointer& aChat)
{
  {
    const absl::MutexLock lock(&m_mutex);
    const auto position = std::find_if(
      m_waiting.begin(), m_waiting.end(), [&](const auto& aWaiting) {
        return aWaiting->m_priority < aChat->m_priority;
      });
    m_waiting.insert(position, aChat);
    ++m_executions[aChat->m_prompt];
  }
  StartNext();
}

void
EngineStandIn::StartNext()
{
  std::vector<std::pair<ChatPointer, bool>> started;
  {
    const absl::MutexLock lock(&m_mutex);
    while (!m_waiting.empty() &&
           m_running.size() < static_cast<std::size_t>(m_options.m_slots)) {
      const auto chat = m_waiting.front();
      m_waiting.pop_front();
      m_running[chat->m_number] = chat;
      started.emplace_back(chat, TouchPrefix(chat->m_prefixHash));
    }
    m_counts.m_maxRunning =
      std::max(m_counts.m_maxRunning, static_cast<int>(m_running.size()));
    RecordLoad();
  }
  for (const auto& [chat, cached] : started) {
    const auto prefill =
      cached ? std::chrono::milliseconds{ 0 } : m_options.m_prefill;
    GetScheduler().After(prefill + m_options.m_token,
                         [this, chat = chat] { Step(chat); });
  }
}

void
EngineStandIn::Step(const ChatPointer& aChat)
{
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_running.count(aChat->m_number) == 0) {
      return;
    }
  }
  HttpRequest faultRequest;
  faultRequest.m_body = aChat->m_prompt;
  if (aChat->m_sent == kTokensBeforeCrash &&
      aChat->m_resumedFrom < aChat->m_sent &&
      GetFaults().TakeIfInBody("crash_on_token", faultRequest)) {
    Crash(aChat->m_responder);
    return;
  }
  if (aChat->m_stream && aChat->m_sent == aChat->m_resumedFrom) {
    BeginStream(*aChat);
  }
  if (aChat->m_sent == aChat->m_tokens) {
    FinishChat(aChat);
    return;
  }
  if (aChat->m_stream) {
    auto chunk = CompletionFields(aChat->m_completionId, aChat->m_model, true);
    const auto token = Token(aChat->m_content, aChat->m_prompt, aChat->m_sent);
    chunk["choices"] = { { { "index", 0 },
                           { "delta", { { "content", token } } },
                           { "finish_reason", nullptr } } };
    const auto text = "data: " + chunk.dump() + "\n\n";
    m_link->Transfer(text.size(),
                     [aChat, text] { aChat->m_responder->Write(text); });
  }
  if (++aChat->m_sent == aChat->m_tokens) {
    FinishChat(aChat);
    return;
  }
  GetScheduler().After(m_options.m_token, [this, aChat] { Step(aChat); });
}

void
EngineStandIn::FinishChat(const ChatPointer& aChat)
{
  {
    const absl::MutexLock lock(&m_mutex);
    m_running.erase(aChat->m_number);
    ++m_counts.m_answers;
  }
  if (aChat->m_stream) {
    m_link->Transfer(1, [aChat] {
      aChat->m_responder->Write("data: [DONE]\n\n");
      aChat->m_responder->EndStream();
    });
  } else {
    auto answer =
      CompletionFields(aChat->m_completionId, aChat->m_model, false);
    const auto text =
      ExpectedText(aChat->m_content, aChat->m_prompt, aChat->m_tokens);
    answer["choices"] = {
      { { "index", 0 },
        { "message", { { "role", "assistant" }, { "content", text } } },
        { "finish_reason", "stop" } }
    };
    answer["usage"] = { { "completion_tokens", aChat->m_tokens } };
    auto body = answer.dump();
    const auto size = body.size();
    m_link->Transfer(size, [aChat, body = std::move(body)]() mutable {
      aChat->m_responder->Respond(200,
                                  { { "content-type", "application/json" },
                                    { "x-weights-digest", aChat->m_digest } },
                                  std::move(body));
    });
  }
  StartNext();
}

void
EngineStandIn::Cancel(std::uint64_t aNumber)
{
  ChatPointer cancelled;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto running = m_running.find(aNumber);
    if (running != m_running.end()) {
      cancelled = running->second;
      m_running.erase(running);
    }
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();
         ++waiting) {
      if ((*waiting)->m_number == aNumber) {
        cancelled = *waiting;
        m_waiting.erase(waiting);
        break;
      }
    }
    if (cancelled != nullptr) {
      ++m_counts.m_cancelled;
    }
  }
  if (cancelled != nullptr) {
    cancelled->m_responder->Abort();
    StartNext();
  }
}

void
EngineStandIn::HandleCancel(const HttpRequest& aRequest,
                            const Responder& aResponder)
{
  const auto id =
    nlohmann::json::parse(aRequest.m_body).at("request_id").get<std::string>();
  std::vector<std::uint64_t> numbers;
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [number, chat] : m_running) {
      if (chat->m_id == id) {
        numbers.push_back(number);
      }
    }
    for (const auto& chat : m_waiting) {
      if (chat->m_id == id) {
        numbers.push_back(chat->m_number);
      }
    }
  }
  for (const auto number : numbers) {
    Cancel(number);
  }
  Answer(aResponder, 200, { { "cancelled", numbers.size() } });
}

bool
EngineStandIn::TouchPrefix(const std::string& aHash)
{
  const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), aHash);
  const bool cached = found != m_prefixes.end();
  if (cached) {
    m_prefixes.erase(found);
    ++m_counts.m_cacheHits;
  } else {
    AddEvent(aHash, false);
  }
  m_prefixes.push_front(aHash);
  if (m_prefixes.size() > m_options.m_cachedPrefixes) {
    AddEvent(m_prefixes.back(), true);
    m_prefixes.pop_back();
  }
  return cached;
}

void
EngineStandIn::AddEvent(const std::string& aHash, bool aEvicted)
{
  const auto sequence = ++m_lastEventSequence;
  if (m_options.m_eventGap > 0 &&
      sequence % static_cast<std::uint64_t>(m_options.m_eventGap) == 0) {
    return;
  }
  m_cacheEvents.push_back(
    { std::chrono::steady_clock::now(), sequence, aHash, aEvicted });
  if (m_cacheEvents.size() > kMaxCacheEvents) {
    m_cacheEvents.pop_front();
  }
}

void
EngineStandIn::HandleEvents(const HttpRequest& aRequest,
                            const Responder& aResponder)
{
  const auto after = GetNumber(aRequest.m_query, "after", 0);
  const auto cutoff = std::chrono::steady_clock::now() - m_options.m_eventLag;
  auto events = nlohmann::json::array();
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& event : m_cacheEvents) {
      if (event.m_sequence > after && event.m_time <= cutoff) {
        events.push_back({ { "sequence", event.m_sequence },
                           { "prefix_hash", event.m_prefixHash },
                           { "evicted", event.m_evicted } });
      }
    }
  }
  Answer(aResponder, 200, { { "events", std::move(events) } });
}

void
EngineStandIn::RecordLoad()
{
  m_loadReports.push_back({ std::chrono::steady_clock::now(),
                            static_cast<int>(m_running.size()),
                            static_cast<int>(m_waiting.size()) });
  if (m_loadReports.size() > kMaxLoadReports) {
    m_loadReports.pop_front();
  }
}

void
EngineStandIn::HandleLoad(const Responder& aResponder)
{
  const auto now = std::chrono::steady_clock::now();
  LoadReport report{ now - m_options.m_reportLag };
  double tokensPerSecond = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& recorded : m_loadReports) {
      if (recorded.m_time <= now - m_options.m_reportLag) {
        report.m_running = recorded.m_running;
        report.m_waiting = recorded.m_waiting;
      }
    }
  }
  const auto token =
    std::max(m_options.m_token, std::chrono::milliseconds{ 1 });
  tokensPerSecond =
    report.m_running * 1000.0 / static_cast<double>(token.count());
  const auto used =
    static_cast<std::uint64_t>(report.m_running) * kKvTokensPerChat;
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - report.m_time);
  AnswerWithInstance(
    *this,
    aResponder,
    { { "running", report.m_running },
      { "waiting", report.m_waiting },
      { "slots", m_options.m_slots },
      { "kv_free_tokens",
        kKvCapacityTokens - std::min(kKvCapacityTokens, used) },
      { "tokens_per_second", tokensPerSecond },
      { "age_ms", age.count() } });
}

void
EngineStandIn::HandleKv(const HttpRequest& aRequest,
                        const Responder& aResponder)
{
  if (aRequest.m_path == "/engine/kv/import") {
    const absl::MutexLock lock(&m_mutex);
    m_sessions[GetString(aRequest.m_query, "session")] = aRequest.m_body;
    TouchPrefix(aRequest.m_body);
    Answer(aResponder, 200, { { "ok", true } });
    return;
  }
  const auto session =
    nlohmann::json::parse(aRequest.m_body).at("session").get<std::string>();
  std::string cache;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_sessions.find(session);
    cache = found == m_sessions.end() ? "" : found->second;
  }
  if (cache.empty()) {
    AnswerError(aResponder, 404, "not_found");
  } else {
    aResponder->Respond(
      200, { { "content-type", "application/octet-stream" } }, cache);
  }
}

} // namespace siskindeal::standin
