#pragma once
// Follows one kind of object of the platform's store: lists it, then waits for
// changes, and says how recent what it knows is.

#include "net/http_connection_p.h"
#include "platform/dialect.h"
#include "siskindeal/random.h"

#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

struct FeedPace
{
  // Longest wait of one watch. The knowledge is at most this old, and a little.
  std::chrono::milliseconds m_wait{ 2000 };
  // Least time between two calls, so that changes in a row cost one call.
  std::chrono::milliseconds m_pause{ 200 };
};

struct FeedEvents
{
  std::function<void(const std::vector<SiteObject>&)> m_onList;
  std::function<void(const SiteObject&)> m_onChange;
  std::function<void()> m_onTrouble; // the store didn't answer as it should
};

class ObjectFeed : public std::enable_shared_from_this<ObjectFeed>
{
public:
  ObjectFeed(Loop& aLoop,
             std::shared_ptr<ConnectionPool> aPool,
             Address aStore,
             std::string aKind,
             FeedPace aPace,
             FeedEvents aEvents);

  void Start();
  void Stop();

  // The boot time up to which every change is known; none before the first
  // list.
  std::optional<std::chrono::milliseconds> KnownUntil() const
  {
    return m_knownUntil;
  }
  std::uint64_t Calls() const { return m_calls; }

private:
  void List(const std::string& aAfter);
  void OnList(const WholeAnswer& aAnswer, std::chrono::milliseconds aAsked);
  // One call; aOn gets its answer and when it was asked.
  void Ask(const std::string& aTarget,
           std::chrono::milliseconds aTime,
           void (ObjectFeed::*aOn)(const WholeAnswer&,
                                   std::chrono::milliseconds));
  void Watch();
  void OnWatch(const WholeAnswer& aAnswer, std::chrono::milliseconds aAsked);
  void Again(std::chrono::milliseconds aDelay);
  void Trouble(const std::string& aReason);

  Loop& m_loop;
  std::shared_ptr<ConnectionPool> m_pool;
  Address m_store;
  std::string m_kind;
  FeedPace m_pace;
  FeedEvents m_events;
  Timer m_timer;
  Random m_random;
  std::vector<SiteObject> m_listed; // of the pages so far
  std::uint64_t m_revision = 0;
  std::optional<std::chrono::milliseconds> m_knownUntil;
  std::uint32_t m_failures = 0;
  std::uint64_t m_calls = 0;
  bool m_haveList = false;
  bool m_stopped = false;
};

} // namespace siskindeal
