#include "standin/scheduler.h"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace siskindeal::standin {

namespace {

constexpr std::uint64_t kMaxSliceBytes = 64 << 10;

} // namespace

Scheduler::Scheduler()
  : m_thread([this] { Run(); })
{
}

Scheduler::~Scheduler()
{
  Stop();
}

void
Scheduler::At(Time aWhen, std::function<void()> aTask)
{
  const absl::MutexLock lock(&m_mutex);
  if (!m_stopping) {
    m_tasks.emplace(aWhen, std::move(aTask));
    m_changed.Signal();
  }
}

void
Scheduler::After(std::chrono::nanoseconds aDelay, std::function<void()> aTask)
{
  At(std::chrono::steady_clock::now() + aDelay, std::move(aTask));
}

void
Scheduler::Stop()
{
  std::multimap<Time, std::function<void()>> dropped;
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    dropped.swap(m_tasks);
    m_changed.Signal();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
Scheduler::Run()
{
  m_mutex.Lock();
  while (!m_stopping) {
    if (m_tasks.empty()) {
      m_changed.Wait(&m_mutex);
      continue;
    }
    const auto first = m_tasks.begin();
    const auto wait = first->first - std::chrono::steady_clock::now();
    if (wait.count() > 0) {
      m_changed.WaitWithTimeout(&m_mutex, absl::FromChrono(wait));
      continue;
    }
    auto task = std::move(first->second);
    m_tasks.erase(first);
    m_mutex.Unlock();
    task();
    task = nullptr;
    m_mutex.Lock();
  }
  m_mutex.Unlock();
}

Link::Link(Scheduler& aScheduler, std::uint64_t aBytesPerSecond)
  : m_scheduler(aScheduler)
  , m_rate(aBytesPerSecond)
{
}

void
Link::Transfer(std::uint64_t aBytes, std::function<void()> aDone)
{
  const auto slice = std::min(aBytes, kMaxSliceBytes);
  const auto doneAt = Reserve(slice);
  if (slice == aBytes) {
    m_scheduler.At(doneAt, std::move(aDone));
    return;
  }
  m_scheduler.At(doneAt,
                 [self = shared_from_this(),
                  rest = aBytes - slice,
                  done = std::move(aDone)]() mutable {
                   self->Transfer(rest, std::move(done));
                 });
}

void
Link::SetRate(std::uint64_t aBytesPerSecond)
{
  const absl::MutexLock lock(&m_mutex);
  m_rate = aBytesPerSecond;
}

std::uint64_t
Link::Carried() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_bytesTransferred;
}

Time
Link::Reserve(std::uint64_t aBytes)
{
  const absl::MutexLock lock(&m_mutex);
  const auto now = std::chrono::steady_clock::now();
  m_bytesTransferred += aBytes;
  m_freeAt = std::max(m_freeAt, now);
  if (m_rate > 0) {
    m_freeAt += std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(aBytes) * 1e9 / static_cast<double>(m_rate)));
  }
  return m_freeAt;
}

} // namespace siskindeal::standin
