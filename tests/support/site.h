#pragma once
// A fake users' platform for tests of gateways and stagers: an object store and
// scripted runners on loopback that implement the protocol of
// platform/dialect.h.

#include "net/http_server_p.h"
#include "platform/dialect.h"

#include <boost/asio/executor_work_guard.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace siskindeal {

class SiteStandIn
{
public:
  struct Object
  {
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    nlohmann::json m_spec;
  };
  struct Change
  {
    std::string m_kind;
    nlohmann::json m_event;
    std::uint64_t m_revision = 0;
  };

  // Responds to one request as a runner; runs on the loop's thread.
  using Play = std::function<void(const std::shared_ptr<ServerConnection>&)>;

  SiteStandIn();
  ~SiteStandIn();
  SiteStandIn(const SiteStandIn&) = delete;
  SiteStandIn& operator=(const SiteStandIn&) = delete;

  Address Store() const { return m_storeAddress; }

  // Creates or replaces an object, as the operator or a runner would.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  // The same for a spec that need not be valid JSON.
  void PutText(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  // Waits until a watch of the kind starts at the kind's latest revision or
  // later: its client has then received and processed all its changes. Returns
  // false on timeout.
  bool AwaitWatched(const std::string& aKind);
  // Waits until a watch of the kind starts at the store's present revision, of
  // whatever kind it was. Returns false on timeout.
  bool AwaitCaughtUp(const std::string& aKind);
  bool Has(const std::string& aKind, const std::string& aName);
  // Returns null if there is no such object.
  nlohmann::json SpecOf(const std::string& aKind, const std::string& aName);
  // Returns how often a kind was listed.
  std::size_t ListCount(const std::string& aKind);
  // Returns how many copies of a kind's objects were sent.
  std::size_t CopiesSent(const std::string& aKind);
  // While silent, the store accepts requests but does not respond.
  void SetSilent(bool aSilent);
  // From now on, the store doesn't respond to requests for a kind.
  void SilenceKind(const std::string& aKind);
  // The requests for that kind since then, and the most that waited at once.
  struct UnansweredRequests
  {
    std::size_t m_count = 0;
    std::size_t m_waiting = 0;
    std::size_t m_mostWaiting = 0;
  };
  UnansweredRequests Unanswered();

  // Starts a runner of a service and adds it to the store as aId.
  Address AddRunner(const std::string& aId,
                    const std::string& aService,
                    Play aPlay,
                    const nlohmann::json& aExtraFields = {});

  // A state of the store that it can come back from.
  struct Copy
  {
    std::map<std::string, std::map<std::string, Object>> m_objects; // by kind
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 0;
  };
  struct ObjectWrite
  {
    std::string m_kind;
    std::string m_name;
    nlohmann::json m_spec;
  };
  Copy TakeCopy();
  // Closes all connections; from now on the store doesn't respond.
  void GoAway();
  // Begins a new era with a copy and aRewritten, before anyone reads it.
  void ComeBack(const Copy& aCopy, const std::vector<ObjectWrite>& aRewritten);

  // Simulates a runner crash: closes its connections and its listener.
  void CrashRunner(const Address& aAddress);

  // Runs aTask on the loop's thread and waits for it.
  void RunOnLoop(const std::function<void()>& aTask);

  Loop m_loop;

private:
  struct Watch
  {
    std::shared_ptr<ServerConnection> m_connection;
    std::string m_kind;
    std::uint64_t m_since = 0;
    MonotonicClockPoint m_until{};
  };

  void Answer(const std::shared_ptr<ServerConnection>& aConnection);
  void List(const std::shared_ptr<ServerConnection>& aConnection,
            const std::string& aKind);
  void Write(const std::shared_ptr<ServerConnection>& aConnection,
             const std::string& aKind,
             std::string aName);
  void ApplyChange(const std::string& aKind,
                   const std::string& aName,
                   const nlohmann::json* aSpec);
  // Keeps a request for m_silentKind without a response.
  void LeaveUnanswered(const std::shared_ptr<ServerConnection>& aConnection);
  void Respond(const std::shared_ptr<ServerConnection>& aConnection,
               int aStatus,
               const std::string& aBody) const;
  void ServeWatches();
  // Serializes a response; texts of PutText take the place of their keys.
  std::string Serialize(const nlohmann::json& aBody) const;
  bool ServeWatch(const Watch& aWatch, bool aTimedOut);

  std::map<std::string, std::map<std::string, Object>> m_objects; // by kind
  std::map<std::string, std::string> m_texts; // of PutText, by a key
  std::deque<Change> m_changes;
  std::deque<Watch> m_watches;
  std::map<std::string, std::uint64_t> m_watchedSince; // by kind, maximum
  std::map<std::string, std::size_t> m_listCounts;     // by kind
  std::uint64_t m_revision = 100;
  std::uint64_t m_era = 1;
  std::map<std::string, std::size_t> m_copiesSent; // by kind
  bool m_silent = false;
  std::string m_silentKind;
  UnansweredRequests m_unanswered;
  Timer m_timer;
  Address m_storeAddress;
  std::unique_ptr<HttpListener> m_store;
  std::vector<std::unique_ptr<HttpListener>> m_runners;
  boost::asio::executor_work_guard<Loop::executor_type> m_work;
  std::thread m_thread;
};

} // namespace siskindeal
