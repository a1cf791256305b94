#pragma once
// TCP relays on loopback between the processes of a test. Connections can be
// blocked by place, in one direction or both.

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

// A partition holds back the bytes of the affected connections in both
// directions. When it heals, they are delivered, as TCP would retransmit them.
class Network
{
public:
  Network() = default;
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Opens a relay to aPort, which is at aPlace, and returns the relay's port.
  std::uint16_t Open(std::uint16_t aPort, const std::string& aPlace);
  // Sets the place from which the process opens connections.
  void SetPlace(pid_t aProcess, const std::string& aPlace);
  // Blocks or unblocks the connections that processes at aFrom open to aTo.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  // Returns the number of connections opened so far from aFrom to aTo.
  std::uint64_t ConnectionCount(const std::string& aFrom,
                                const std::string& aTo);

private:
  struct Listener
  {
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::uint16_t m_target = 0;
    std::string m_place;
    std::thread m_thread;
  };

  struct Connection
  {
    ~Connection();
    int m_client = -1;
    int m_server = -1;
    std::pair<std::string, std::string> m_places; // from, to
  };

  void Accept(const Listener& aListener);
  void StartRelay(const Listener& aListener, int aClient);
  std::string PlaceOf(std::uint16_t aPort, std::uint16_t aRelay);
  // Blocks while the connection is cut. Returns false on shutdown.
  bool WaitWhileCut(const Connection& aConnection);
  void Pump(const std::shared_ptr<Connection>& aConnection, int aFrom, int aTo);

  absl::Mutex m_mutex;
  std::map<pid_t, std::string> m_placeByProcess ABSL_GUARDED_BY(m_mutex);
  std::set<std::pair<std::string, std::string>> m_cuts ABSL_GUARDED_BY(m_mutex);
  std::map<std::pair<std::string, std::string>, std::uint64_t>
    m_connectionCounts ABSL_GUARDED_BY(m_mutex);
  std::vector<std::weak_ptr<Connection>> m_connections ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_relayThreads ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::list<Listener> m_listeners;
};

} // namespace siskindeal
