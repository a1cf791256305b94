#include "site/object_feed_p.h"

#include "kernel/contain_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "site/site_objects_p.h"

#include <algorithm>
#include <bit>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kResponseTimeout{ 900 }; // added to a watch's wait
constexpr milliseconds kInitialBackoff{ 150 };
constexpr milliseconds kMaxBackoff{ 800 };
constexpr std::uint32_t kMaxBackoffShift = 4;
// The wait of watches after a failure until one is answered, since a store that
// was silent when a watch was sent may never answer it, and after a change,
// which proves only what was known when its watch was sent.
constexpr milliseconds kRecoveryWait{ 200 };
// Responses that take longer than this, without the wait, are logged.
constexpr milliseconds kSlowResponse{ 500 };
// What is reported after an interruption was in the store for no longer than
// this, as other processes pass on what they learn meanwhile.
constexpr milliseconds kMaxUnseen{ 3000 };
// After a longer one, what had arrived before it may only be read now.
constexpr milliseconds kMaxPause{ 300 };
constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

// Whether the next change of the same object follows in aChanges and leaves it
// in existence. Applying both would only take time.
bool
IsReplaced(const std::vector<SiteObject>& aChanges, std::size_t aIndex)
{
  const auto next =
    std::find_if(aChanges.begin() + static_cast<std::ptrdiff_t>(aIndex) + 1,
                 aChanges.end(),
                 [&](const SiteObject& aChange) {
                   return aChange.m_name == aChanges[aIndex].m_name;
                 });
  return next != aChanges.end() && !next->m_deleted &&
         !aChanges[aIndex].m_deleted;
}

} // namespace

ObjectFeed::ObjectFeed(Loop& aLoop,
                       std::shared_ptr<ConnectionPool> aPool,
                       Address aStore,
                       std::string aKind,
                       FeedTiming aPace,
                       FeedCallbacks aEvents)
  : m_loop(aLoop)
  , m_pool(std::move(aPool))
  , m_store(std::move(aStore))
  , m_kind(std::move(aKind))
  , m_timing(aPace)
  , m_events(std::move(aEvents))
  , m_timer(aLoop)
  , m_random(StableHash(NewId()))
{
}

void
ObjectFeed::Start()
{
  if (m_active) {
    List({});
  }
}

void
ObjectFeed::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void
ObjectFeed::SetActive(bool aActive)
{
  if (aActive == m_active) {
    return;
  }
  m_active = aActive;
  RecordInterruption();
  if (!m_active) {
    m_timer.cancel();
  } else if (!m_calling) {
    ScheduleNext(milliseconds(0));
  }
}

void
ObjectFeed::RecordKnown(const StorePosition& aPosition,
                        milliseconds aKnownUntil)
{
  if (aPosition.m_era < m_era) {
    return;
  }
  if (aPosition.m_era > m_era) {
    ++m_basis;
    BeginEra(aPosition.m_era);
  }
  m_haveList = true;
  m_position = std::max(m_position, aPosition);
  m_knownUntil = std::max(m_knownUntil.value_or(aKnownUntil), aKnownUntil);
}

void
ObjectFeed::Continue(const StorePosition& aPosition, milliseconds aKnownUntil)
{
  if (aPosition.m_era < m_era) {
    return;
  }
  ++m_basis;
  m_position = aPosition;
  RecordKnown(aPosition, aKnownUntil);
}

void
ObjectFeed::ObserveEra(std::uint64_t aEra)
{
  if (aEra <= m_era || (!m_haveList && !m_respondedAt)) {
    return; // a first response tells the era itself
  }
  ++m_basis; // a watch in flight belongs to the former era
  BeginEra(aEra);
  m_calling = false;
  ScheduleNext(milliseconds(0));
}

bool
ObjectFeed::AcceptEra(const BufferedResponse& aAnswer)
{
  const std::uint64_t era = dialect::DecodeEra(
    [&](std::string_view aName) { return aAnswer.m_fields.Find(aName); });
  if (m_stopped || aAnswer.m_status == 0 || era == 0 || era == m_era) {
    return true;
  }
  if (era < m_era) {
    OnFailure("response of era " + std::to_string(era) + ", not " +
                std::to_string(m_era),
              aAnswer.m_body.size());
    return false;
  }
  const bool isFirstPage = !m_haveList && m_listed.empty();
  BeginEra(era);
  if (isFirstPage || aAnswer.m_status != kOk) {
    return true;
  }
  List({});
  return false;
}

void
ObjectFeed::BeginEra(std::uint64_t aEra)
{
  if (m_haveList || m_era != 0) {
    Log(LogLevel::Warning,
        "store era changed",
        { { "kind", m_kind },
          { "era", aEra },
          { "former", m_era },
          { "revision", m_position.m_revision } });
  }
  m_era = aEra;
  m_haveList = false;
  m_listed.clear();
  m_reason = "new era";
  RecordInterruption();
  m_events.m_onEra(aEra);
}

void
ObjectFeed::RecordInterruption()
{
  if (!m_respondedAt) {
    return;
  }
  const milliseconds now = BootTime();
  if (!m_interruptedAt) {
    // A connection that has gone silent is noticed only after some time.
    m_interruptedAt = std::max(*m_respondedAt, now - kPeerSilenceTimeout);
  }
  m_interruptionNoticedAt = now;
}

void
ObjectFeed::RecordAlive()
{
  const milliseconds now = BootTime();
  if (m_respondedAt && m_aliveAt && now - *m_aliveAt > kMaxPause) {
    m_pausedAt = std::min(m_pausedAt.value_or(*m_aliveAt), *m_aliveAt);
    m_interruptionNoticedAt = now;
  }
  m_aliveAt = now;
}

void
ObjectFeed::RecordResponse(milliseconds aSentAt)
{
  if (m_aliveAt) {
    RecordAlive(); // nothing else may have run since a pause
  }
  const milliseconds now = BootTime();
  m_unseenFor.reset();
  if (m_respondedAt) {
    const auto since = [&](const std::optional<milliseconds>& aTime) {
      return aTime ? now - *aTime : milliseconds(0);
    };
    m_unseenFor =
      std::max(std::min(kMaxUnseen, since(m_interruptedAt)), since(m_pausedAt));
  }
  // A response to an earlier request may have been waiting all the while.
  if (aSentAt >= m_interruptionNoticedAt) {
    m_interruptedAt.reset();
    m_pausedAt.reset();
  }
  m_respondedAt = now;
}

void
ObjectFeed::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    m_listed.clear();
  }
  m_listedAfter = aAfter;
  Fetch(dialect::ListPath(m_kind, aAfter, dialect::Freshness::Current),
        ListTimeout(m_failures),
        &ObjectFeed::OnList);
}

void
ObjectFeed::Fetch(const std::string& aTarget,
                  milliseconds aTimeout,
                  void (ObjectFeed::*aHandler)(const BufferedResponse&,
                                               milliseconds))
{
  ++m_calls;
  m_calling = true;
  CountMetric("siskindeal_store_calls_total",
              { { "kind", m_kind }, { "reason", std::string(m_reason) } });
  CallBuffered(
    m_loop,
    m_pool,
    m_store,
    "GET",
    aTarget,
    {},
    aTimeout,
    [self = shared_from_this(),
     sentAt = BootTime(),
     basis = m_basis,
     call = m_calls,
     aHandler](const BufferedResponse& aAnswer) {
      CountMetric("siskindeal_store_bytes_total",
                  { { "kind", self->m_kind } },
                  static_cast<double>(aAnswer.m_body.size()));
      if (call != self->m_calls) {
        return; // given up for a later call
      }
      self->m_calling = false;
      const bool handled = Contain("store response", [&] {
        self->LogSlowResponse(aAnswer, sentAt);
        if (basis !=
            self->m_basis) { // its revisions aren't comparable any more
          self->ScheduleNext(self->m_timing.m_pause);
        } else if (self->AcceptEra(aAnswer)) {
          (self.get()->*aHandler)(aAnswer, sentAt);
        }
      });
      if (!handled) {
        self->ListAfterFailure();
      }
    });
}

// What was applied of a response that couldn't be handled isn't known.
void
ObjectFeed::ListAfterFailure()
{
  m_haveList = false;
  m_listed = {};
  m_reason = "failure";
  RecordInterruption();
  ScheduleNext(kMaxBackoff);
}

void
ObjectFeed::LogSlowResponse(const BufferedResponse& aAnswer,
                            milliseconds aSentAt) const
{
  const milliseconds duration = BootTime() - aSentAt;
  const milliseconds transfer = duration - aAnswer.m_firstByteAfter;
  if (m_stopped || (transfer < kSlowResponse &&
                    duration < m_timing.m_wait + kSlowResponse)) {
    return;
  }
  Log(LogLevel::Info,
      "store response slow",
      { { "kind", m_kind },
        { "status", aAnswer.m_status },
        { "ms", duration.count() },
        { "first_byte_ms", aAnswer.m_firstByteAfter.count() },
        { "bytes", aAnswer.m_body.size() } });
}

void
ObjectFeed::OnList(const BufferedResponse& aAnswer, milliseconds aSentAt)
{
  if (m_stopped) {
    return;
  }
  if (aAnswer.m_status != kOk) {
    return OnFailure("list: " + std::to_string(aAnswer.m_status) + " " +
                       aAnswer.m_failure,
                     aAnswer.m_body.size());
  }
  SiteObjects page;
  try {
    page = dialect::DecodeList(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    return OnFailure(error.what(), aAnswer.m_body.size());
  }
  // The watch starts at the first page's revision, so it delivers changes made
  // while later pages are fetched.
  if (m_listed.empty()) {
    m_position = { m_era, page.m_revision };
  }
  LogRejected(m_kind, page);
  const std::string last =
    page.m_objects.empty() ? m_listedAfter : page.m_objects.back().m_name;
  for (SiteObject& object : page.m_objects) {
    m_listed.push_back(std::move(object));
  }
  if (page.m_hasMore && last != m_listedAfter) {
    m_reason = "next page";
    return List(last);
  }
  if (page.m_hasMore) { // no entry of the page has a usable name
    Log(LogLevel::Warning,
        "store list incomplete",
        { { "kind", m_kind }, { "after", m_listedAfter } });
  }
  if (m_failures > 0 || !m_haveList) {
    Log(LogLevel::Info,
        "store list read",
        { { "kind", m_kind },
          { "objects", m_listed.size() },
          { "failures_before", m_failures } });
  }
  m_failures = 0;
  m_haveList = true;
  RecordResponse(aSentAt);
  m_knownUntil = std::max(m_knownUntil.value_or(aSentAt), aSentAt);
  m_reason = "after list";
  m_events.m_onList(m_listed);
  m_listed = {};
  m_events.m_onKnown();
  ScheduleNext(m_timing.m_pause);
}

milliseconds
ObjectFeed::WatchWait() const
{
  return m_failures == 0 && !m_lastHadChanges
           ? m_timing.m_wait
           : std::min(m_timing.m_wait, kRecoveryWait);
}

void
ObjectFeed::Watch()
{
  const milliseconds wait = WatchWait();
  Fetch(dialect::WatchPath(m_kind, m_position.m_revision, wait),
        wait + kResponseTimeout,
        &ObjectFeed::OnWatch);
}

void
ObjectFeed::OnWatch(const BufferedResponse& aAnswer, milliseconds aSentAt)
{
  if (m_stopped) {
    return;
  }
  if (aAnswer.m_status == kHistoryGone) {
    Log(LogLevel::Info,
        "store history unavailable; listing again",
        { { "kind", m_kind } });
    m_haveList = false;
    RecordInterruption();
    m_reason = "history gone";
    return List({});
  }
  if (aAnswer.m_status != kOk) {
    return OnFailure("watch: " + std::to_string(aAnswer.m_status) + " " +
                       aAnswer.m_failure,
                     aAnswer.m_body.size());
  }
  SiteObjects changes;
  try {
    changes = dialect::DecodeWatch(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    return OnFailure(error.what(), aAnswer.m_body.size());
  }
  LogRejected(m_kind, changes);
  const milliseconds wait = WatchWait();
  m_failures = 0;
  RecordResponse(aSentAt);
  m_lastHadChanges = !changes.m_objects.empty();
  m_position = std::max(m_position, { m_era, changes.m_revision });
  // A watch that times out without changes proves that there were none while it
  // waited. Any other response proves it only up to when the watch was sent.
  const bool timedOut =
    changes.m_objects.empty() && BootTime() - aSentAt >= wait;
  const milliseconds until = timedOut ? aSentAt + wait : aSentAt;
  m_knownUntil = std::max(m_knownUntil.value_or(until), until);
  m_reason = changes.m_objects.empty() ? "watch ended" : "change";
  for (std::size_t i = 0; i < changes.m_objects.size(); ++i) {
    if (!IsReplaced(changes.m_objects, i)) {
      Contain("store entry",
              [&] { m_events.m_onChange(changes.m_objects[i]); });
    }
  }
  m_events.m_onKnown();
  ScheduleNext(timedOut ? milliseconds(0) : m_timing.m_pause);
}

void
ObjectFeed::OnFailure(const std::string& aReason, std::size_t aReceived)
{
  ++m_failures;
  RecordInterruption();
  m_reason = "failure";
  if (std::has_single_bit(m_failures)) { // the first, second, fourth and so on
    Log(LogLevel::Warning,
        "store request failed",
        { { "kind", m_kind },
          { "reason", aReason },
          { "failures", m_failures },
          { "bytes", aReceived } });
  }
  m_events.m_onFailure();
  const milliseconds backoff =
    std::min(kMaxBackoff,
             kInitialBackoff * (1U << std::min(m_failures, kMaxBackoffShift)));
  ScheduleNext(backoff / 2 +
               milliseconds(m_random.Below(backoff.count() / 2 + 1)));
}

void
ObjectFeed::ScheduleNext(milliseconds aDelay)
{
  if (!m_active) {
    return;
  }
  m_timer.expires_after(aDelay);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (aError || self->m_stopped || !self->m_active || self->m_calling) {
      return;
    }
    if (self->m_haveList) {
      self->Watch();
    } else {
      self->List({});
    }
  });
}

} // namespace siskindeal
