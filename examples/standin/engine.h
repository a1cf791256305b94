#pragma once
// Stand-in for a model engine: continuous batching, token streaming, staging
// and loading of weights. Each generated token starts with digits of the
// SHA-256 of the weights that produced it, so a response from mixed weights is
// detectable.

#include "standin/stand_in.h"

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>

namespace siskindeal::standin {

struct EngineOptions
{
  StandInOptions m_standIn;
  int m_slots = 16;
  int m_maxWaiting = 64;
  std::chrono::milliseconds m_prefill{ 10 }; // skipped for a cached prefix
  std::chrono::milliseconds m_token{ 2 };
  std::chrono::milliseconds m_loadTime{ 50 };
  std::chrono::milliseconds m_reportLag{ 500 };
  std::chrono::milliseconds m_eventLag{ 500 };
  int m_eventGap = 7; // every m_eventGap-th cache event is lost; 0: none
  std::size_t m_cachedPrefixes = 64; // capacity of the prefix cache
  // Shared by staging and requests; 0: unlimited.
  std::uint64_t m_linkBytesPerSecond = 0;
  bool m_checksFencing = true;
};

struct EngineCounts
{
  std::uint64_t m_answers = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_cacheHits = 0;
  std::uint64_t m_staleOrders = 0;
  std::uint64_t m_linkBytes = 0;
  int m_maxRunning = 0;
};

// Returns the completion of aTokens tokens for aPrompt by weights whose bytes
// have the SHA-256 aContent.
std::string
ExpectedText(const std::string& aContent,
             const std::string& aPrompt,
             int aTokens);

class EngineStandIn final : public StandIn
{
public:
  explicit EngineStandIn(EngineOptions aOptions);
  ~EngineStandIn() override;

  EngineCounts Counts();
  // Maps each manifest digest to the SHA-256 of the bytes loaded under it.
  std::map<std::string, std::string> Loaded();
  // Sets weights as already loaded, for tests without a rollout.
  void SetLoaded(const std::string& aDigest, const std::string& aContent);
  // Executions by text of the last message.
  std::map<std::string, int> Executions();

protected:
  void Handle(HttpRequest aRequest, const Responder& aResponder) override;
  void OnCrash() override;

private:
  struct Chat
  {
    std::uint64_t m_number = 0;
    std::string m_id;
    std::string m_completionId; // "id" in the response
    std::int64_t m_priority = 0;
    Responder m_responder;
    std::string m_digest;
    std::string m_content;
    std::string m_model;
    std::string m_prompt;
    std::string m_prefixHash;
    bool m_stream = false;
    int m_tokens = 0;
    int m_sent = 0;
    int m_resumedFrom = 0; // tokens omitted from the response
  };
  using ChatPointer = std::shared_ptr<Chat>;
  struct LoadReport
  {
    Time m_time;
    int m_running = 0;
    int m_waiting = 0;
  };
  struct CacheEvent
  {
    Time m_time;
    std::uint64_t m_sequence = 0;
    std::string m_prefixHash;
    bool m_evicted = false;
  };

  // engine_chat.cpp
  void HandleChat(const HttpRequest& aRequest, const Responder& aResponder);
  void Enqueue(const ChatPointer& aChat);
  void Cancel(std::uint64_t aNumber);
  void StartNext();
  void Step(const ChatPointer& aChat);
  void BeginStream(const Chat& aChat);
  void ReadResume(const HttpRequest& aRequest, bool aSeeded, Chat& aChat);
  void FinishChat(const ChatPointer& aChat);
  bool TouchPrefix(const std::string& aHash)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void AddEvent(const std::string& aHash, bool aEvicted)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RecordLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void HandleLoad(const Responder& aResponder);
  void HandleEvents(const HttpRequest& aRequest, const Responder& aResponder);
  void HandleCancel(const HttpRequest& aRequest, const Responder& aResponder);
  void HandleKv(const HttpRequest& aRequest, const Responder& aResponder);

  // engine_weights.cpp
  void HandleStaging(const HttpRequest& aRequest,
                     const std::string& aPath,
                     const Responder& aResponder);
  void HandleOrder(const HttpRequest& aRequest, const Responder& aResponder);
  void Load(const nlohmann::json& aOrder, const Responder& aResponder);
  void AnswerLoaded(const Responder& aResponder, const std::string& aContent);
  void HandleState(const Responder& aResponder);
  void HandleAdmin(const HttpRequest& aRequest, const Responder& aResponder);

  const EngineOptions m_options;
  const std::shared_ptr<Link> m_link;
  absl::Mutex m_mutex;
  std::uint64_t m_lastChatNumber ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::uint64_t, ChatPointer> m_running ABSL_GUARDED_BY(m_mutex);
  std::list<ChatPointer> m_waiting ABSL_GUARDED_BY(m_mutex);
  std::deque<LoadReport> m_loadReports ABSL_GUARDED_BY(m_mutex);
  std::list<std::string> m_prefixes
    ABSL_GUARDED_BY(m_mutex); // most recently used first
  std::deque<CacheEvent> m_cacheEvents ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_lastEventSequence ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, std::string> m_sessions ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::map<std::uint64_t, std::string>> m_staged
    ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::string> m_loaded ABSL_GUARDED_BY(m_mutex);
  std::string m_newestDigest ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_fencingToken ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, int> m_executions ABSL_GUARDED_BY(m_mutex);
  EngineCounts m_counts ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal::standin
