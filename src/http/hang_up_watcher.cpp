#include "http/hang_up_watcher_p.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::uint64_t kStopToken = 0;
constexpr std::size_t kEventsAtOnce = 64;

[[noreturn]] void
ThrowErrno(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

} // namespace

HangUpWatcher::HangUpWatcher()
  : m_epoll(epoll_create1(EPOLL_CLOEXEC))
  , m_stop(eventfd(0, EFD_CLOEXEC))
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kStopToken;
  if (m_epoll < 0 || m_stop < 0 ||
      epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stop, &event) != 0) {
    ThrowErrno("hang-up watcher");
  }
  m_thread = std::thread([this] { Run(); });
}

HangUpWatcher::~HangUpWatcher()
{
  Stop();
  close(m_stop);
  close(m_epoll);
}

void
HangUpWatcher::Stop()
{
  if (m_thread.joinable()) {
    eventfd_write(m_stop, 1);
    m_thread.join();
  }
}

std::uint64_t
HangUpWatcher::Watch(int aSocket, std::function<void()> aTask)
{
  const OrderedLock lock(m_mutex);
  const auto token = ++m_last;
  m_watched.emplace(token, Watched{ aSocket, std::move(aTask) });
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = token;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, aSocket, &event);
  return token;
}

void
HangUpWatcher::Forget(std::uint64_t aToken)
{
  const OrderedLock lock(m_mutex);
  const auto found = m_watched.find(aToken);
  if (found == m_watched.end()) {
    return;
  }
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, found->second.m_socket, nullptr);
  m_watched.erase(found);
}

std::function<void()>
HangUpWatcher::Take(std::uint64_t aToken)
{
  const OrderedLock lock(m_mutex);
  const auto found = m_watched.find(aToken);
  if (found == m_watched.end()) {
    return nullptr;
  }
  return std::exchange(found->second.m_task, nullptr);
}

void
HangUpWatcher::Run()
{
  std::array<epoll_event, kEventsAtOnce> events{};
  while (true) {
    const int count = epoll_wait(m_epoll, events.data(), kEventsAtOnce, -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopToken) {
        return;
      }
      if (const auto task = Take(events[i].data.u64)) {
        task();
      }
    }
  }
}

} // namespace siskindeal
