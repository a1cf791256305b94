#pragma once
// Follows one kind of object in the platform's store: lists the objects, then
// watches for changes, and reports how recent its data is.

#include "net/http_connection_p.h"
#include "platform/dialect.h"
#include "siskindeal/random.h"

#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

struct FeedTiming
{
  // How long one watch waits for changes. Bounds the age of the data, apart
  // from the response time.
  std::chrono::milliseconds m_wait{ 2000 };
  // Minimum time between two calls, so that a burst of changes takes one call.
  std::chrono::milliseconds m_pause{ 200 };
};

struct FeedCallbacks
{
  std::function<void(const std::vector<SiteObject>&)> m_onList;
  std::function<void(const SiteObject&)> m_onChange;
  std::function<void()> m_onFailure; // a call failed or its response is invalid
  // A response was applied, so KnownUntil or Position has advanced.
  std::function<void()> m_onKnown = [] {};
  // The store has begun this era, whose list follows.
  std::function<void(std::uint64_t)> m_onEra = [](std::uint64_t) {};
};

// The time allowed for the first byte of a list, after that many failures in a
// row. A list that was given up is sent all the same, so repeating it at a
// constant rate keeps a queueing link full.
constexpr std::chrono::milliseconds
ListTimeout(std::uint32_t aFailures)
{
  constexpr std::chrono::milliseconds kFirst{ 900 };
  return aFailures == 0 ? kFirst : kFirst * 2;
}

class ObjectFeed : public std::enable_shared_from_this<ObjectFeed>
{
public:
  ObjectFeed(Loop& aLoop,
             std::shared_ptr<ConnectionPool> aPool,
             Address aStore,
             std::string aKind,
             FeedTiming aPace,
             FeedCallbacks aEvents);

  void Start();
  void Stop();
  // An inactive feed calls the store no more once a call in flight has ended. A
  // feed may be made inactive before its start.
  void SetActive(bool aActive);
  // Records that another process knew all changes up to aPosition at
  // aKnownUntil (boot time), and that they have been applied here. Positions of
  // an era that has ended are ignored.
  void RecordKnown(const StorePosition& aPosition,
                   std::chrono::milliseconds aKnownUntil);
  // Lists anew if another response of the store was of a later era.
  void ObserveEra(std::uint64_t aEra);

  // Records that the process is running. Called periodically, so that a pause
  // of the process is noticed.
  void RecordAlive();

  // Records, too, that the data now goes back to another process's list, whose
  // revisions say nothing about the former ones.
  void Continue(const StorePosition& aPosition,
                std::chrono::milliseconds aKnownUntil);

  // How many calls have failed since one succeeded.
  std::uint32_t Failures() const { return m_failures; }
  // Returns the boot time up to which all changes are known; none before the
  // first list.
  std::optional<std::chrono::milliseconds> KnownUntil() const
  {
    return m_knownUntil;
  }
  // The longest time for which what is being reported may have been in the
  // store unnoticed. Zero after a watch that was never interrupted, none if
  // nothing was known before.
  std::optional<std::chrono::milliseconds> UnseenFor() const
  {
    return m_unseenFor;
  }
  // All changes up to this position of the store are known.
  const StorePosition& Position() const { return m_position; }
  // The latest era that is known of, whose list may still be on its way.
  std::uint64_t Era() const { return m_era; }
  std::uint64_t Calls() const { return m_calls; }

private:
  void List(const std::string& aAfter);
  void OnList(const BufferedResponse& aAnswer,
              std::chrono::milliseconds aSentAt);
  // Sends one request; aHandler gets the response and when it was sent.
  void Fetch(const std::string& aTarget,
             std::chrono::milliseconds aTimeout,
             void (ObjectFeed::*aHandler)(const BufferedResponse&,
                                          std::chrono::milliseconds));
  // Whether a response is of the present era. If it is of a later one, that era
  // begins.
  bool AcceptEra(const BufferedResponse& aAnswer);
  void BeginEra(std::uint64_t aEra);
  // How long the next watch, or the one in flight, waits for changes.
  std::chrono::milliseconds WatchWait() const;
  void Watch();
  void OnWatch(const BufferedResponse& aAnswer,
               std::chrono::milliseconds aSentAt);
  void ListAfterFailure();
  void ScheduleNext(std::chrono::milliseconds aDelay);
  // aReceived: the bytes of the response's body that arrived.
  void OnFailure(const std::string& aReason, std::size_t aReceived);
  // Records that changes may have gone unnoticed.
  void RecordInterruption();
  // Records that a response with all changes has arrived.
  void RecordResponse(std::chrono::milliseconds aSentAt);
  void LogSlowResponse(const BufferedResponse& aAnswer,
                       std::chrono::milliseconds aSentAt) const;

  Loop& m_loop;
  std::shared_ptr<ConnectionPool> m_pool;
  Address m_store;
  std::string m_kind;
  FeedTiming m_timing;
  FeedCallbacks m_events;
  Timer m_timer;
  Random m_random;
  std::vector<SiteObject> m_listed; // from the pages read so far
  std::string m_listedAfter;        // the page being read starts after this
  StorePosition m_position;
  std::uint64_t m_era = 0;
  std::uint64_t m_basis = 0; // changes when revisions are of another list
  std::optional<std::chrono::milliseconds> m_knownUntil;
  // Boot time until which changes would have been noticed, while they may not
  // be any more.
  std::optional<std::chrono::milliseconds> m_interruptedAt;
  // Boot time since which the process didn't run, so that responses waited.
  std::optional<std::chrono::milliseconds> m_pausedAt;
  std::chrono::milliseconds m_interruptionNoticedAt{ 0 }; // of either
  std::optional<std::chrono::milliseconds> m_respondedAt; // boot time
  std::optional<std::chrono::milliseconds> m_aliveAt;     // boot time
  std::optional<std::chrono::milliseconds> m_unseenFor;
  std::uint32_t m_failures = 0;
  std::string_view m_reason = "start"; // of the next call
  std::uint64_t m_calls = 0;
  bool m_haveList = false;
  bool m_lastHadChanges = false; // the last watch's response
  bool m_active = true;
  bool m_calling = false;
  bool m_stopped = false;
};

} // namespace siskindeal
