#include "support/callers.h"

#include "siskindeal/verdict.h"
#include "standin/engine.h"
#include "support/chat.h"

#include <nlohmann/json.hpp>

namespace siskindeal::bench {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kRequestTimeout{ 60 };
constexpr std::size_t kPromptCount = 64;
constexpr int kOk = 200;

std::string
PromptOf(const std::string& aId)
{
  return "prompt " +
         std::to_string(std::hash<std::string>()(aId) % kPromptCount);
}

HttpClientRequest
ToHttp(const CallOptions& aOptions,
       RequestKind aKind,
       const std::string& aChats,
       const std::string& aService,
       const std::string& aId)
{
  switch (aKind) {
    case RequestKind::Chat:
      return ChatRequest(aChats, PromptOf(aId), aOptions.m_chatTokens, false);
    case RequestKind::Stream:
      return ChatRequest(aChats, PromptOf(aId), aOptions.m_streamTokens, true);
    case RequestKind::Booking:
      return { "POST",
               aService + "/bookings",
               { { "x-team", "pro-shops" }, { "idempotency-key", aId } },
               "four at dawn" };
    case RequestKind::Lookup:
      break;
  }
  return { "GET", aService + "/free-slots", { { "x-team", "pro-shops" } } };
}

bool
IsComplete(const CallOptions& aOptions,
           RequestKind aKind,
           const std::string& aId,
           const std::string& aBody)
{
  if (aKind == RequestKind::Stream) {
    return StreamText(aBody) == standin::ExpectedText(aOptions.m_content,
                                                      PromptOf(aId),
                                                      aOptions.m_streamTokens) +
                                  "[DONE]";
  }
  const auto body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return false;
  }
  if (aKind == RequestKind::Chat) {
    return body["choices"][0]["message"].value("content", "") ==
           standin::ExpectedText(
             aOptions.m_content, PromptOf(aId), aOptions.m_chatTokens);
  }
  return body.value("key", "") == (aKind == RequestKind::Booking ? aId : "");
}

CallResult
Fetch(HttpClient& aClient,
      const CallOptions& aOptions,
      RequestKind aKind,
      HttpClientRequest aRequest,
      const std::string& aId)
{
  CallResult result;
  result.m_kind = aKind;
  result.m_key = aId;
  aRequest.m_timeout = kRequestTimeout;
  result.m_sent = std::chrono::steady_clock::now();
  const auto reply = aClient.Fetch(std::move(aRequest));
  result.m_ended = std::chrono::steady_clock::now();
  const auto verdict = reply.m_headers.find(std::string(kVerdictHeader));
  if (reply.m_outcome == HttpOutcome::NotSent) {
    result.m_outcome = CallOutcome::NotSent;
  } else if (reply.m_outcome != HttpOutcome::Answered) {
    result.m_outcome = CallOutcome::Failed;
  } else if (reply.m_status == kOk &&
             IsComplete(aOptions, aKind, aId, reply.m_body)) {
    result.m_outcome = CallOutcome::Complete;
  } else if (reply.m_status != kOk && verdict != reply.m_headers.end() &&
             verdict->second == ToString(Verdict::NotRun)) {
    result.m_outcome = CallOutcome::NotRun;
  }
  if (result.m_outcome != CallOutcome::Complete) {
    result.m_detail =
      std::to_string(reply.m_status) + " " + reply.m_error + reply.m_body;
  }
  return result;
}

} // namespace

CallResult
SendRequest(HttpClient& aClient,
            const CallOptions& aOptions,
            RequestKind aKind,
            const std::string& aAddress,
            const std::string& aId)
{
  const auto url = "http://" + aAddress;
  auto result = Fetch(aClient,
                      aOptions,
                      aKind,
                      ToHttp(aOptions,
                             aKind,
                             url + "/v1/chat/completions",
                             url + "/v1/services/teesheet",
                             aId),
                      aId);
  result.m_address = aAddress;
  return result;
}

CallResult
SendToUpstream(HttpClient& aClient,
               const CallOptions& aOptions,
               RequestKind aKind,
               const std::string& aAddress,
               const std::string& aId)
{
  const auto url = "http://" + aAddress;
  auto result =
    Fetch(aClient,
          aOptions,
          aKind,
          ToHttp(aOptions, aKind, url + "/v1/chat/completions", url, aId),
          aId);
  result.m_address = aAddress;
  return result;
}

Callers::Callers(const Fleet& aFleet,
                 CallOptions aOptions,
                 const std::vector<RequestKind>& aKinds,
                 std::chrono::milliseconds aPause)
  : m_options(std::move(aOptions))
  , m_pause(aPause)
{
  const auto names = aFleet.EntryNames();
  m_entries.reserve(names.size());
  for (const auto& name : names) {
    m_entries.push_back(aFleet.GetVm(name).m_http);
  }
  m_threads.reserve(aKinds.size());
  for (std::size_t i = 0; i < aKinds.size(); ++i) {
    m_threads.emplace_back([this, kind = aKinds[i], i] { Run(kind, i); });
  }
}

Callers::~Callers()
{
  Stop();
}

std::vector<CallResult>
Callers::Stop()
{
  m_stopping.store(true);
  for (auto& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  const absl::MutexLock lock(&m_mutex);
  return m_results;
}

void
Callers::Run(RequestKind aKind, std::size_t aIndex)
{
  std::string address;
  TimePoint cachedUntil;
  std::size_t next = aIndex;
  for (std::size_t number = 0; !m_stopping.load(); ++number) {
    if (address.empty() || std::chrono::steady_clock::now() >= cachedUntil) {
      const auto sent = std::chrono::steady_clock::now();
      const auto& entry = m_entries[next++ % m_entries.size()];
      const auto reply =
        m_client.Fetch({ "GET", "http://" + entry + "/v1/entry" });
      const auto body = json::parse(reply.m_body, nullptr, false);
      if (reply.m_status != kOk || !body.is_object() ||
          body["entries"].empty()) {
        continue;
      }
      address = body["entries"][0].value("address", "");
      cachedUntil =
        sent + std::chrono::milliseconds(body.value("lifetime_ms", 0));
    }
    auto result =
      SendRequest(m_client,
                  m_options,
                  aKind,
                  address,
                  std::to_string(aIndex) + "-" + std::to_string(number));
    if (result.m_outcome != CallOutcome::Complete) {
      address.clear();
    }
    Add(std::move(result));
    std::this_thread::sleep_for(m_pause);
  }
}

void
Callers::Add(CallResult aResult)
{
  const absl::MutexLock lock(&m_mutex);
  m_results.push_back(std::move(aResult));
}

} // namespace siskindeal::bench
