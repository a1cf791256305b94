#include "site/object_feed_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswerTime{ 900 }; // of a call, its own wait apart
constexpr milliseconds kFirstBackoff{ 150 };
constexpr milliseconds kLongestBackoff{ 800 };
constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

} // namespace

ObjectFeed::ObjectFeed(Loop& aLoop,
                       std::shared_ptr<ConnectionPool> aPool,
                       Address aStore,
                       std::string aKind,
                       FeedPace aPace,
                       FeedEvents aEvents)
  : m_loop(aLoop)
  , m_pool(std::move(aPool))
  , m_store(std::move(aStore))
  , m_kind(std::move(aKind))
  , m_pace(aPace)
  , m_events(std::move(aEvents))
  , m_timer(aLoop)
  , m_random(StableHash(NewId()))
{
}

void
ObjectFeed::Start()
{
  List({});
}

void
ObjectFeed::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void
ObjectFeed::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    m_listed.clear();
  }
  Ask(dialect::ListPath(m_kind, aAfter, dialect::Freshness::Current),
      kAnswerTime,
      &ObjectFeed::OnList);
}

void
ObjectFeed::Ask(const std::string& aTarget,
                milliseconds aTime,
                void (ObjectFeed::*aOn)(const WholeAnswer&, milliseconds))
{
  ++m_calls;
  CallWhole(
    m_loop,
    m_pool,
    m_store,
    "GET",
    aTarget,
    {},
    aTime,
    [self = shared_from_this(), asked = BootTime(), aOn](
      const WholeAnswer& aAnswer) { (self.get()->*aOn)(aAnswer, asked); });
}

void
ObjectFeed::OnList(const WholeAnswer& aAnswer, milliseconds aAsked)
{
  if (m_stopped) {
    return;
  }
  if (aAnswer.m_status != kOk) {
    return Trouble("list: " + std::to_string(aAnswer.m_status) + " " +
                   aAnswer.m_failure);
  }
  SiteObjects page;
  try {
    page = dialect::DecodeList(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    return Trouble(error.what());
  }
  // Changes between two pages come with the watch from the first one's state.
  if (m_listed.empty()) {
    m_revision = page.m_revision;
  }
  for (SiteObject& object : page.m_objects) {
    m_listed.push_back(std::move(object));
  }
  if (page.m_more && !m_listed.empty()) {
    return List(m_listed.back().m_name);
  }
  if (m_failures > 0 || !m_haveList) {
    Log(LogLevel::Info,
        "store read",
        { { "kind", m_kind },
          { "objects", m_listed.size() },
          { "failures_before", m_failures } });
  }
  m_failures = 0;
  m_haveList = true;
  m_knownUntil = aAsked;
  m_events.m_onList(m_listed);
  m_listed = {};
  Again(m_pace.m_pause);
}

void
ObjectFeed::Watch()
{
  Ask(dialect::WatchPath(m_kind, m_revision, m_pace.m_wait),
      m_pace.m_wait + kAnswerTime,
      &ObjectFeed::OnWatch);
}

void
ObjectFeed::OnWatch(const WholeAnswer& aAnswer, milliseconds aAsked)
{
  if (m_stopped) {
    return;
  }
  if (aAnswer.m_status == kHistoryGone) {
    Log(LogLevel::Info, "store history gone", { { "kind", m_kind } });
    m_haveList = false;
    return List({});
  }
  if (aAnswer.m_status != kOk) {
    return Trouble("watch: " + std::to_string(aAnswer.m_status) + " " +
                   aAnswer.m_failure);
  }
  SiteObjects changes;
  try {
    changes = dialect::DecodeWatch(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    return Trouble(error.what());
  }
  m_failures = 0;
  m_revision = std::max(m_revision, changes.m_revision);
  // A watch that waited to its end without a change says that there was none
  // until then; any other only that there was none before it was asked.
  const bool waited =
    changes.m_objects.empty() && BootTime() - aAsked >= m_pace.m_wait;
  const milliseconds until = waited ? aAsked + m_pace.m_wait : aAsked;
  m_knownUntil = std::max(m_knownUntil.value_or(until), until);
  for (const SiteObject& object : changes.m_objects) {
    m_events.m_onChange(object);
  }
  Again(waited ? milliseconds(0) : m_pace.m_pause);
}

void
ObjectFeed::Trouble(const std::string& aReason)
{
  if (m_failures == 0) {
    Log(LogLevel::Warning,
        "store lost",
        { { "kind", m_kind }, { "reason", aReason } });
  }
  ++m_failures;
  m_events.m_onTrouble();
  const milliseconds backoff =
    std::min(kLongestBackoff, kFirstBackoff * (1U << std::min(m_failures, 4U)));
  Again(backoff / 2 + milliseconds(m_random.Below(backoff.count() / 2 + 1)));
}

void
ObjectFeed::Again(milliseconds aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (aError || self->m_stopped) {
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
