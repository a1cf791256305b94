#include "http/client_call_p.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/metrics.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <limits>
#include <numeric>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

constexpr long kMaxCachedConnections = 512;
constexpr std::size_t kMaxSpareHandles = 256;
constexpr int kMaxPollMs = 1000;

void
InitializeCurl()
{
  static const CURLcode sResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (sResult != CURLE_OK) {
    throw std::runtime_error("failed to initialize libcurl");
  }
}

using Calls = std::vector<std::shared_ptr<ClientCall>>;

// Passes calls from other threads to the client's thread. Outlives the client
// while a call handle exists.
struct CommandQueue
{
  OrderedMutex m_mutex{ LockLevel::Transport };
  CURLM* m_multi ABSL_GUARDED_BY(m_mutex) = nullptr; // null once stopping
  bool m_ended ABSL_GUARDED_BY(m_mutex) = false;     // the thread has
  Calls m_added ABSL_GUARDED_BY(m_mutex);
  Calls m_cancelled ABSL_GUARDED_BY(m_mutex);

  void Add(std::shared_ptr<ClientCall> aCall)
  {
    const OrderedLock lock(m_mutex);
    if (!m_ended) {
      m_added.push_back(std::move(aCall));
      Wake();
    }
  }

  void Cancel(const std::shared_ptr<ClientCall>& aCall)
  {
    const OrderedLock lock(m_mutex);
    if (m_multi != nullptr) {
      m_cancelled.push_back(aCall);
      Wake();
    }
  }

  void Wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
  {
    if (m_multi != nullptr) {
      curl_multi_wakeup(m_multi);
    }
  }
};

class CallHandle final : public HttpCall
{
public:
  CallHandle(std::shared_ptr<CommandQueue> aCommands,
             std::shared_ptr<ClientCall> aCall)
    : m_commands(std::move(aCommands))
    , m_call(std::move(aCall))
  {
  }
  void Cancel() override { m_commands->Cancel(m_call); }

private:
  const std::shared_ptr<CommandQueue> m_commands;
  const std::shared_ptr<ClientCall> m_call;
};

} // namespace

class HttpClient::Impl
{
public:
  Impl()
  {
    InitializeCurl();
    m_multi = curl_multi_init();
    if (m_multi == nullptr) {
      throw std::runtime_error("failed to initialize libcurl");
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    {
      const OrderedLock lock(m_commands->m_mutex);
      m_commands->m_multi = m_multi;
    }
    m_thread = std::thread([this] { Run(); });
  }

  ~Impl()
  {
    Stop();
    for (auto* const easy : m_spare) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Stop()
  {
    {
      const OrderedLock lock(m_commands->m_mutex);
      m_commands->Wake();
      m_commands->m_multi = nullptr;
    }
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  const std::shared_ptr<CommandQueue>& Commands() const { return m_commands; }

  void LimitMessages(std::size_t aBytes) { m_messageBytes = aBytes; }

private:
  void Run()
  {
    while (ProcessCommands()) {
      int activeTransfers = 0;
      curl_multi_perform(m_multi, &activeTransfers);
      FinishCompleted();
      BreakOffLargest();
      curl_multi_poll(m_multi, nullptr, 0, kMaxPollMs, nullptr);
    }
    CancelAll();
  }

  // Starts and cancels the queued calls. Returns false once the client stops.
  bool ProcessCommands()
  {
    Calls added;
    Calls cancelled;
    bool stopping = false;
    {
      const OrderedLock lock(m_commands->m_mutex);
      added.swap(m_commands->m_added);
      cancelled.swap(m_commands->m_cancelled);
      stopping = m_commands->m_multi == nullptr;
    }
    for (const auto& call : added) {
      StartCall(call);
    }
    for (const auto& call : cancelled) {
      if (m_active.contains(call)) {
        CancelCall(call.get());
      }
    }
    return !stopping;
  }

  void StartCall(const std::shared_ptr<ClientCall>& aCall)
  {
    CURL* easy = nullptr;
    if (m_spare.empty()) {
      easy = curl_easy_init();
    } else {
      easy = m_spare.back();
      m_spare.pop_back();
    }
    aCall->Prepare(easy, m_sockets);
    m_active.insert(aCall);
    curl_multi_add_handle(m_multi, easy);
  }

  void FinishCompleted()
  {
    int messagesLeft = 0;
    while (const auto* const message =
             curl_multi_info_read(m_multi, &messagesLeft)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto code = message->data.result;
      ClientCall* completed = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &completed);
      const auto call = Detach(completed);
      const bool restarts = call->TakeRestart();
      if (!restarts) {
        call->Finish(code);
      }
      Recycle(call->Easy());
      if (restarts) {
        StartCall(call);
      }
    }
  }

  // Ends the calls that hold most until the others are within the limit.
  void BreakOffLargest()
  {
    const auto bytesOf = [](const std::shared_ptr<ClientCall>& aCall) {
      return aCall->BufferedBytes();
    };
    std::size_t held = std::transform_reduce(m_active.begin(),
                                             m_active.end(),
                                             std::size_t{ 0 },
                                             std::plus<>(),
                                             bytesOf);
    while (held > m_messageBytes) {
      const auto largest =
        std::max_element(m_active.begin(),
                         m_active.end(),
                         [&](const auto& aFirst, const auto& aSecond) {
                           return bytesOf(aFirst) < bytesOf(aSecond);
                         });
      held -= bytesOf(*largest);
      CountMetric("siskindeal_messages_broken_off_total",
                  { { "kind", "client response" } });
      const auto call = Detach(largest->get());
      call->FinishBrokenOff();
      Recycle(call->Easy());
    }
  }

  void CancelCall(ClientCall* aCall)
  {
    const auto call = Detach(aCall);
    call->FinishCancelled();
    Recycle(call->Easy());
  }

  // Cancels the calls that callbacks start meanwhile, too.
  void CancelAll()
  {
    do {
      ProcessCommands();
      while (!m_active.empty()) {
        CancelCall(m_active.begin()->get());
      }
    } while (!TryEnd());
  }

  // Refuses further calls, unless some were added since they were processed.
  bool TryEnd()
  {
    const OrderedLock lock(m_commands->m_mutex);
    m_commands->m_ended = m_commands->m_added.empty();
    return m_commands->m_ended;
  }

  std::shared_ptr<ClientCall> Detach(ClientCall* aCall)
  {
    curl_multi_remove_handle(m_multi, aCall->Easy());
    const auto found = m_active.find(aCall);
    auto call = *found;
    m_active.erase(found);
    return call;
  }

  void Recycle(CURL* aEasy)
  {
    if (m_spare.size() < kMaxSpareHandles) {
      m_spare.push_back(aEasy);
    } else {
      curl_easy_cleanup(aEasy);
    }
  }

  const std::shared_ptr<CommandQueue> m_commands =
    std::make_shared<CommandQueue>();
  ClientSockets m_sockets;
  CURLM* m_multi = nullptr;
  absl::flat_hash_set<std::shared_ptr<ClientCall>> m_active;
  std::vector<CURL*> m_spare;
  std::atomic<std::size_t> m_messageBytes =
    std::numeric_limits<std::size_t>::max();
  std::thread m_thread;
};

HttpClient::HttpClient()
  : m_impl(std::make_unique<Impl>())
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::LimitMessages(std::size_t aBytes)
{
  m_impl->LimitMessages(aBytes);
}

std::shared_ptr<HttpCall>
HttpClient::Start(HttpClientRequest aRequest, Done aDone)
{
  auto call =
    std::make_shared<ClientCall>(std::move(aRequest), std::move(aDone));
  m_impl->Commands()->Add(call);
  return std::make_shared<CallHandle>(m_impl->Commands(), call);
}

void
HttpClient::Stop()
{
  m_impl->Stop();
}

HttpReply
HttpClient::Fetch(HttpClientRequest aRequest)
{
  const auto promise = std::make_shared<std::promise<HttpReply>>();
  auto reply = promise->get_future();
  Start(std::move(aRequest),
        [promise](HttpReply aReply) { promise->set_value(std::move(aReply)); });
  return reply.get();
}

} // namespace siskindeal
