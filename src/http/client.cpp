#include "http/client_call_p.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"

#include <absl/container/flat_hash_set.h>

#include <future>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace siskindeal {

namespace {

constexpr long kKeptConnections = 512;
constexpr std::size_t kKeptHandles = 256;
constexpr int kLongestWaitMs = 1000;

void
InitialiseCurl()
{
  static const CURLcode sResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (sResult != CURLE_OK) {
    throw std::runtime_error("libcurl can't be initialised");
  }
}

using Calls = std::vector<std::shared_ptr<ClientCall>>;

// What other threads ask of the client's thread; outlives the client while a
// handle on a call is kept.
struct Orders
{
  OrderedMutex m_mutex{ LockLevel::Transport };
  CURLM* m_multi ABSL_GUARDED_BY(m_mutex) = nullptr; // null once stopped
  Calls m_added ABSL_GUARDED_BY(m_mutex);
  Calls m_cancelled ABSL_GUARDED_BY(m_mutex);

  void Add(std::shared_ptr<ClientCall> aCall)
  {
    const OrderedLock lock(m_mutex);
    m_added.push_back(std::move(aCall));
    Wake();
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

class Call final : public HttpCall
{
public:
  Call(std::shared_ptr<Orders> aOrders, std::shared_ptr<ClientCall> aCall)
    : m_orders(std::move(aOrders))
    , m_call(std::move(aCall))
  {
  }
  void Cancel() override { m_orders->Cancel(m_call); }

private:
  const std::shared_ptr<Orders> m_orders;
  const std::shared_ptr<ClientCall> m_call;
};

} // namespace

class HttpClient::Impl
{
public:
  Impl()
  {
    InitialiseCurl();
    m_multi = curl_multi_init();
    if (m_multi == nullptr) {
      throw std::runtime_error("libcurl can't be initialised");
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
    {
      const OrderedLock lock(m_orders->m_mutex);
      m_orders->m_multi = m_multi;
    }
    m_thread = std::thread([this] { Run(); });
  }

  ~Impl()
  {
    {
      const OrderedLock lock(m_orders->m_mutex);
      m_orders->Wake();
      m_orders->m_multi = nullptr;
    }
    m_thread.join();
    for (auto* const easy : m_spare) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  const std::shared_ptr<Orders>& GetOrders() const { return m_orders; }

private:
  void Run()
  {
    while (TakeOrders()) {
      int running = 0;
      curl_multi_perform(m_multi, &running);
      FinishEnded();
      curl_multi_poll(m_multi, nullptr, 0, kLongestWaitMs, nullptr);
    }
    GiveUpAll();
  }

  // Starts and cancels what was asked for. False when the client stops.
  bool TakeOrders()
  {
    Calls added;
    Calls cancelled;
    bool stopping = false;
    {
      const OrderedLock lock(m_orders->m_mutex);
      added.swap(m_orders->m_added);
      cancelled.swap(m_orders->m_cancelled);
      stopping = m_orders->m_multi == nullptr;
    }
    for (const auto& call : added) {
      StartCall(call);
    }
    for (const auto& call : cancelled) {
      if (m_running.contains(call)) {
        GiveUp(call.get());
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
    aCall->Prepare(easy);
    m_running.insert(aCall);
    curl_multi_add_handle(m_multi, easy);
  }

  void FinishEnded()
  {
    int left = 0;
    while (const auto* const message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto code = message->data.result;
      ClientCall* ended = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
      const auto call = Release(ended);
      call->Finish(code);
      Recycle(call->Easy());
    }
  }

  void GiveUp(ClientCall* aCall)
  {
    const auto call = Release(aCall);
    call->FinishCancelled();
    Recycle(call->Easy());
  }

  void GiveUpAll()
  {
    do {
      while (!m_running.empty()) {
        GiveUp(m_running.begin()->get());
      }
      TakeOrders();
    } while (!m_running.empty());
  }

  std::shared_ptr<ClientCall> Release(ClientCall* aCall)
  {
    curl_multi_remove_handle(m_multi, aCall->Easy());
    const auto found = m_running.find(aCall);
    auto call = *found;
    m_running.erase(found);
    return call;
  }

  void Recycle(CURL* aEasy)
  {
    if (m_spare.size() < kKeptHandles) {
      m_spare.push_back(aEasy);
    } else {
      curl_easy_cleanup(aEasy);
    }
  }

  const std::shared_ptr<Orders> m_orders = std::make_shared<Orders>();
  CURLM* m_multi = nullptr;
  absl::flat_hash_set<std::shared_ptr<ClientCall>> m_running;
  std::vector<CURL*> m_spare;
  std::thread m_thread;
};

HttpClient::HttpClient()
  : m_impl(std::make_unique<Impl>())
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall>
HttpClient::Start(HttpClientRequest aRequest, Done aDone)
{
  auto call =
    std::make_shared<ClientCall>(std::move(aRequest), std::move(aDone));
  m_impl->GetOrders()->Add(call);
  return std::make_shared<Call>(m_impl->GetOrders(), call);
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
