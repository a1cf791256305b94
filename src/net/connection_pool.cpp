// The pool of idle connections, and calls whose response is buffered.

#include "net/http_connection_p.h"

#include "kernel/contain_p.h"

#include <algorithm>

namespace siskindeal {

using std::chrono::milliseconds;

bool
ConnectionPool::MayKeep(const HttpConnection& aConnection) const
{
  const auto idle = std::chrono::steady_clock::now() - aConnection.IdleSince();
  return aConnection.Reusable() &&
         idle < std::min(aConnection.IdleLimit(), m_maxIdle);
}

std::shared_ptr<HttpConnection>
ConnectionPool::Acquire(const Address& aAddress)
{
  auto& idle = m_idle[aAddress.ToString()];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (MayKeep(*connection) && !connection->HasUnreadInput()) {
      return connection;
    }
    connection->Abort();
  }
  return Open(aAddress);
}

std::shared_ptr<HttpConnection>
ConnectionPool::Open(const Address& aAddress)
{
  return std::make_shared<HttpConnection>(m_loop, EndpointOf(aAddress));
}

std::shared_ptr<HttpConnection>
ConnectionPool::Replace(const Address& aAddress)
{
  auto& idle = m_idle[aAddress.ToString()];
  if (!idle.empty()) {
    idle.back()->Abort();
    idle.pop_back();
  }
  return Open(aAddress);
}

void
ConnectionPool::Release(const Address& aAddress,
                        const std::shared_ptr<HttpConnection>& aConnection)
{
  if (aConnection->Reusable()) {
    m_idle[aAddress.ToString()].push_back(aConnection);
  }
}

void
ConnectionPool::Sweep()
{
  for (auto entry = m_idle.begin(); entry != m_idle.end();) {
    auto& idle = entry->second;
    std::erase_if(idle, [&](const auto& aConnection) {
      const bool keep = MayKeep(*aConnection);
      if (!keep) {
        aConnection->Abort();
      }
      return !keep;
    });
    entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
  }
}

std::size_t
ConnectionPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, idle] : m_idle) {
    count += idle.size();
  }
  return count;
}

namespace {

// A response that is being received may exceed the call's timeout as long as
// data arrives at least every kStallTimeout, and from kMaxExtra on at a mean
// rate of kMinBytesPerSecond. Starting it again would only take longer.
constexpr milliseconds kStallTimeout{ 900 };
constexpr milliseconds kMaxExtra{ 6000 };
constexpr double kMinBytesPerSecond = 8192;
// More than the largest piece of weights and any page of a list.
constexpr std::size_t kMaxBufferedBytes = 20 << 20;
// A call such as a watch may wait long for its response, but not for its
// connection: a connect that starts during a network outage hangs beyond it.
constexpr milliseconds kConnectTimeout{ 900 };

// One call with a buffered response; keeps itself alive until it completes.
class BufferedCall : public std::enable_shared_from_this<BufferedCall>
{
public:
  BufferedCall(Loop& aLoop,
               std::shared_ptr<ConnectionPool> aPool,
               Address aAddress,
               std::function<void(BufferedResponse)> aDone)
    : m_timer(aLoop)
    , m_pool(std::move(aPool))
    , m_address(std::move(aAddress))
    , m_done(std::move(aDone))
  {
  }

  void Begin(OutgoingCall aCall, milliseconds aTimeout)
  {
    m_memory.emplace(m_timer.get_executor().context(),
                     "buffered response",
                     [weak = weak_from_this()] {
                       const auto self = weak.lock();
                       if (self && self->m_done) {
                         self->m_connection->Abort();
                         self->Finish(std::string(kOutOfMessageMemory));
                         return true;
                       }
                       return false;
                     });
    m_begin = std::chrono::steady_clock::now();
    m_end = m_begin + aTimeout + kMaxExtra;
    ArmTimer(aTimeout);
    m_connection =
      aCall.m_isLast ? m_pool->Open(m_address) : m_pool->Acquire(m_address);
    m_connection->Begin(
      std::move(aCall),
      std::min(aTimeout, kConnectTimeout),
      [self = shared_from_this()](const CallEvent& aEvent) {
        const auto handle = [&](const auto& aWhat) { self->On(aWhat); };
        if (!Contain("response", [&] { std::visit(handle, aEvent); })) {
          self->m_connection->Abort();
          self->Finish("internal error");
        }
      });
  }

private:
  // Fails the call after aTimeout unless the timer is rearmed.
  void ArmTimer(milliseconds aTimeout)
  {
    m_timer.expires_after(aTimeout);
    m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
      if (!aError && self->m_done) {
        self->m_connection->Abort();
        self->Finish("response timed out");
      }
    });
  }

  void On(const ResponseHead& aHead)
  {
    m_answer.m_firstByteAfter = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - m_begin);
    m_answer.m_status = aHead.m_status;
    m_answer.m_fields = aHead.m_fields;
  }
  void On(const ResponseBodyPart& aBody)
  {
    m_answer.m_body += aBody.m_bytes;
    m_memory->Set(m_answer.m_body.capacity());
    if (m_answer.m_body.size() > kMaxBufferedBytes) {
      m_connection->Abort();
      Finish("response too large");
      return;
    }
    // Without an extension, a large response over a saturated link would time
    // out on each retry.
    if (IsFastEnough()) {
      ArmTimer(kStallTimeout);
    }
  }
  void On(const ResponseEnd&)
  {
    m_pool->Release(m_address, m_connection);
    Finish({});
  }
  void On(const CallFailed& aFailure) { Finish(aFailure.m_reason); }

  bool IsFastEnough() const
  {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - m_begin;
    return now + kStallTimeout < m_end ||
           static_cast<double>(m_answer.m_body.size()) >=
             kMinBytesPerSecond * elapsed.count();
  }

  void Finish(std::string aFailure)
  {
    m_timer.cancel();
    m_memory->Set(0); // what the receiver keeps is its own
    if (!aFailure.empty()) {
      m_answer.m_status = 0;
      m_answer.m_failure = std::move(aFailure);
    }
    const auto done = std::move(m_done);
    m_done = nullptr;
    if (done) {
      done(std::move(m_answer));
    }
  }

  Timer m_timer;
  MonotonicClockPoint m_begin{};
  MonotonicClockPoint m_end{};
  std::shared_ptr<ConnectionPool> m_pool;
  Address m_address;
  std::function<void(BufferedResponse)> m_done;
  std::shared_ptr<HttpConnection> m_connection;
  BufferedResponse m_answer;
  std::optional<MemoryBudget::Account> m_memory; // of the body
};

} // namespace

void
CallBuffered(Loop& aLoop,
             const std::shared_ptr<ConnectionPool>& aPool,
             const Address& aAddress,
             std::string_view aMethod,
             std::string_view aTarget,
             std::string aBody,
             milliseconds aTimeout,
             std::function<void(BufferedResponse)> aDone,
             std::optional<milliseconds> aSendBefore)
{
  OutgoingCall call;
  call.m_head.append(aMethod).append(" ").append(aTarget).append(
    " HTTP/1.1\r\n");
  AppendField(call.m_head, "Host", aAddress.ToString());
  if (!aBody.empty()) {
    AppendField(call.m_head, "Content-Type", "application/json");
  }
  if (!aBody.empty() || aMethod != "GET") {
    AppendField(call.m_head, "Content-Length", std::to_string(aBody.size()));
  }
  call.m_head += "\r\n";
  call.m_body = std::move(aBody);
  // Nothing in these responses names their request. What is read or stored can
  // be checked or repeated, an order can't.
  call.m_isLast = aMethod == "POST";
  call.m_sendBefore = aSendBefore;
  std::make_shared<BufferedCall>(aLoop, aPool, aAddress, std::move(aDone))
    ->Begin(std::move(call), aTimeout);
}

} // namespace siskindeal
