#pragma once
// TCP relays on loopback between the processes of a test, which can be cut by
// place, one way or both.

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace siskindeal {

// A cut holds what is sent, in both directions of the connections concerned,
// and mending it lets the held bytes go on, as TCP would send them again.
class Network
{
public:
  Network() = default;
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Opens a port that leads to aPort, which is at aPlace. Returns it.
  std::uint16_t Open(std::uint16_t aPort, const std::string& aPlace);
  // Says where the connections that the process opens come from.
  void SetPlace(pid_t aProcess, const std::string& aPlace);
  // Cuts the connections that processes at aFrom open to aTo, or mends them.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  // Connections that have been opened from one place to another.
  std::uint64_t Opened(const std::string& aFrom, const std::string& aTo);

private:
  struct Listener
  {
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::uint16_t m_target = 0;
    std::string m_place;
    std::thread m_thread;
  };

  struct Link
  {
    ~Link();
    int m_client = -1;
    int m_server = -1;
    std::pair<std::string, std::string> m_places; // from, to
  };

  void Accept(const Listener& aListener);
  void Begin(const Listener& aListener, int aClient);
  std::string PlaceOf(std::uint16_t aPort, std::uint16_t aRelay);
  // Waits while the link is cut; false when the network is being ended.
  bool AwaitOpen(const Link& aLink);
  void Pump(const std::shared_ptr<Link>& aLink, int aFrom, int aTo);

  absl::Mutex m_mutex;
  std::map<pid_t, std::string> m_placeByProcess ABSL_GUARDED_BY(m_mutex);
  std::set<std::pair<std::string, std::string>> m_cuts ABSL_GUARDED_BY(m_mutex);
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_opened
    ABSL_GUARDED_BY(m_mutex);
  std::vector<std::weak_ptr<Link>> m_links ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_pumps ABSL_GUARDED_BY(m_mutex);
  bool m_ending ABSL_GUARDED_BY(m_mutex) = false;
  std::list<Listener> m_listeners;
};

} // namespace siskindeal
