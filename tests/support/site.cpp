#include "support/site.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWatchInterval{ 20 };

// Returns the value of a query parameter; empty if there is none.
std::string
QueryParam(const std::string& aTarget, const std::string& aKey)
{
  const auto at = aTarget.find('?');
  if (at == std::string::npos) {
    return {};
  }
  const std::vector<std::string> parts =
    absl::StrSplit(aTarget.substr(at + 1), '&');
  for (const std::string& part : parts) {
    if (part.rfind(aKey + "=", 0) == 0) {
      return part.substr(aKey.size() + 1);
    }
  }
  return {};
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  (void)absl::SimpleAtoi(aText, &number);
  return number;
}

json
ObjectJson(const std::string& aName,
           std::uint64_t aRevision,
           std::uint64_t aCreated,
           const json& aSpec)
{
  return {
    { "metadata",
      { { "name", aName }, { "rev", aRevision }, { "created", aCreated } } },
    { "spec", aSpec }
  };
}

} // namespace

SiteStandIn::SiteStandIn()
  : m_timer(m_loop)
  , m_work(m_loop.get_executor())
{
  m_store = std::make_unique<HttpListener>(
    m_loop, Address{ "127.0.0.1", 0 }, [this](const auto& aConnection) {
      Answer(aConnection);
    });
  m_storeAddress = { "127.0.0.1", m_store->Port() };
  m_thread = std::thread([this] {
    RunEvery(m_timer, kWatchInterval, [this] { ServeWatches(); });
    m_loop.run();
  });
}

SiteStandIn::~SiteStandIn()
{
  m_loop.stop();
  m_thread.join();
}

void
SiteStandIn::RunOnLoop(const std::function<void()>& aTask)
{
  std::promise<void> done;
  boost::asio::post(m_loop, [&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void
SiteStandIn::Put(const std::string& aKind,
                 const std::string& aName,
                 const json& aSpec)
{
  RunOnLoop([&] { ApplyChange(aKind, aName, &aSpec); });
}

void
SiteStandIn::PutText(const std::string& aKind,
                     const std::string& aName,
                     const std::string& aSpec)
{
  RunOnLoop([&] {
    const std::string key = "text " + std::to_string(m_texts.size()) + " .";
    m_texts[key] = aSpec;
    const json spec = key;
    ApplyChange(aKind, aName, &spec);
  });
}

std::string
SiteStandIn::Serialize(const json& aBody) const
{
  std::string body = aBody.dump();
  for (const auto& [key, text] : m_texts) {
    body = absl::StrReplaceAll(body, { { json(key).dump(), text } });
  }
  return body;
}

void
SiteStandIn::Remove(const std::string& aKind, const std::string& aName)
{
  RunOnLoop([&] { ApplyChange(aKind, aName, nullptr); });
}

bool
SiteStandIn::AwaitWatched(const std::string& aKind)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  std::uint64_t written = 0;
  RunOnLoop([&] {
    for (const Change& change : m_changes) {
      written = change.m_kind == aKind ? change.m_revision : written;
    }
  });
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    bool watched = false;
    RunOnLoop([&] {
      const auto since = m_watchedSince.find(aKind);
      watched = since != m_watchedSince.end() && since->second >= written;
    });
    if (watched) {
      return true;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
  return false;
}

bool
SiteStandIn::AwaitCaughtUp(const std::string& aKind)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  std::uint64_t written = 0;
  RunOnLoop([&] { written = m_revision; });
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  bool watched = false;
  while (!watched && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kWatchInterval);
    RunOnLoop([&] { watched = m_watchedSince[aKind] >= written; });
  }
  return watched;
}

bool
SiteStandIn::Has(const std::string& aKind, const std::string& aName)
{
  bool found = false;
  RunOnLoop([&] { found = m_objects[aKind].count(aName) > 0; });
  return found;
}

json
SiteStandIn::SpecOf(const std::string& aKind, const std::string& aName)
{
  json spec;
  RunOnLoop([&] {
    const auto found = m_objects[aKind].find(aName);
    if (found != m_objects[aKind].end()) {
      spec = found->second.m_spec;
    }
  });
  return spec;
}

SiteStandIn::Copy
SiteStandIn::TakeCopy()
{
  Copy copy;
  RunOnLoop([&] { copy = { m_objects, m_changes, m_revision }; });
  return copy;
}

void
SiteStandIn::GoAway()
{
  RunOnLoop([&] {
    m_silent = true;
    m_watches.clear();
    m_store->CloseAll();
  });
}

void
SiteStandIn::ComeBack(const Copy& aCopy,
                      const std::vector<ObjectWrite>& aRewritten)
{
  RunOnLoop([&] {
    ++m_era;
    m_objects = aCopy.m_objects;
    m_changes = aCopy.m_changes;
    m_revision = aCopy.m_revision;
    m_watchedSince.clear();
    for (const ObjectWrite& write : aRewritten) {
      ApplyChange(write.m_kind, write.m_name, &write.m_spec);
    }
    m_silent = false;
  });
}

void
SiteStandIn::Respond(const std::shared_ptr<ServerConnection>& aConnection,
                     int aStatus,
                     const std::string& aBody) const
{
  HttpFields fields;
  fields.Add("Store-Era", std::to_string(m_era));
  aConnection->SendResponse(aStatus, {}, fields, aBody);
}

std::size_t
SiteStandIn::ListCount(const std::string& aKind)
{
  std::size_t listed = 0;
  RunOnLoop([&] { listed = m_listCounts[aKind]; });
  return listed;
}

std::size_t
SiteStandIn::CopiesSent(const std::string& aKind)
{
  std::size_t copies = 0;
  RunOnLoop([&] { copies = m_copiesSent[aKind]; });
  return copies;
}

void
SiteStandIn::SilenceKind(const std::string& aKind)
{
  RunOnLoop([&] { m_silentKind = aKind; });
}

SiteStandIn::UnansweredRequests
SiteStandIn::Unanswered()
{
  UnansweredRequests unanswered;
  RunOnLoop([&] { unanswered = m_unanswered; });
  return unanswered;
}

void
SiteStandIn::LeaveUnanswered(
  const std::shared_ptr<ServerConnection>& aConnection)
{
  ++m_unanswered.m_count;
  ++m_unanswered.m_waiting;
  m_unanswered.m_mostWaiting =
    std::max(m_unanswered.m_mostWaiting, m_unanswered.m_waiting);
  aConnection->m_onDisconnect = [this] { --m_unanswered.m_waiting; };
}

void
SiteStandIn::SetSilent(bool aSilent)
{
  RunOnLoop([&] { m_silent = aSilent; });
}

Address
SiteStandIn::AddRunner(const std::string& aId,
                       const std::string& aService,
                       Play aPlay,
                       const json& aExtraFields)
{
  Address address{ "127.0.0.1", 0 };
  RunOnLoop([&] {
    m_runners.push_back(
      std::make_unique<HttpListener>(m_loop, address, std::move(aPlay)));
    address.m_port = m_runners.back()->Port();
    json spec = { { "service", aService },
                  { "address", address.ToString() },
                  { "zone", "here" },
                  { "slots", 4 },
                  { "state", "ready" } };
    if (aExtraFields.is_object()) {
      spec.update(aExtraFields);
    }
    ApplyChange("servers", aId, &spec);
  });
  return address;
}

void
SiteStandIn::CrashRunner(const Address& aAddress)
{
  // Deferred, since the call may come from one of the runner's connections.
  boost::asio::post(m_loop, [this, aAddress] {
    for (const auto& runner : m_runners) {
      if (runner->Port() == aAddress.m_port) {
        runner->Stop();
        runner->CloseAll();
        return;
      }
    }
  });
}

void
SiteStandIn::ApplyChange(const std::string& aKind,
                         const std::string& aName,
                         const json* aSpec)
{
  ++m_revision;
  auto& objects = m_objects[aKind];
  Object& object = objects[aName];
  object.m_created = object.m_created == 0 ? m_revision : object.m_created;
  object.m_revision = m_revision;
  object.m_spec = aSpec == nullptr ? object.m_spec : *aSpec;
  const json event = {
    { "deleted", aSpec == nullptr },
    { "object", ObjectJson(aName, m_revision, object.m_created, object.m_spec) }
  };
  m_changes.push_back({ aKind, event, m_revision });
  if (aSpec == nullptr) {
    objects.erase(aName);
  }
}

void
SiteStandIn::Answer(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (m_silent) {
    return;
  }
  const IncomingRequest& request = aConnection->Request();
  const std::string path =
    request.m_target.substr(0, request.m_target.find('?'));
  // "", "siskindeal", "objects", kind, name
  const std::vector<std::string> parts = absl::StrSplit(path, '/');
  if (parts.size() < 4 || parts[2] != "objects") {
    Respond(aConnection, 404, "");
    return;
  }
  if (parts[3] == m_silentKind) {
    LeaveUnanswered(aConnection);
    return;
  }
  if (request.m_method != "GET") {
    Write(aConnection, parts[3], parts.size() > 4 ? parts[4] : "");
    return;
  }
  const std::string since = QueryParam(request.m_target, "watch");
  if (since.empty()) {
    List(aConnection, parts[3]);
    return;
  }
  if (ParseNumber(since) > m_revision) {
    Respond(aConnection, 410, "{}");
    return;
  }
  const milliseconds wait(ParseNumber(QueryParam(request.m_target, "wait_ms")));
  m_watchedSince[parts[3]] =
    std::max(m_watchedSince[parts[3]], ParseNumber(since));
  m_watches.push_back({ aConnection,
                        parts[3],
                        ParseNumber(since),
                        std::chrono::steady_clock::now() + wait });
}

void
SiteStandIn::List(const std::shared_ptr<ServerConnection>& aConnection,
                  const std::string& aKind)
{
  ++m_listCounts[aKind];
  json items = json::array();
  for (const auto& [name, object] : m_objects[aKind]) {
    items.push_back(
      ObjectJson(name, object.m_revision, object.m_created, object.m_spec));
  }
  m_copiesSent[aKind] += items.size();
  Respond(
    aConnection,
    200,
    Serialize(
      { { "items", items }, { "has_more", false }, { "at", m_revision } }));
}

void
SiteStandIn::Write(const std::shared_ptr<ServerConnection>& aConnection,
                   const std::string& aKind,
                   std::string aName)
{
  const json body = json::parse(aConnection->Request().m_body);
  const bool creates = aName.empty();
  if (creates) {
    aName = body.at("metadata").at("name").get<std::string>();
  }
  if (creates && m_objects[aKind].count(aName) > 0) {
    Respond(aConnection, 409, "{}");
    return;
  }
  const json& metadata = body.at("metadata");
  if (!creates && metadata.contains("rev") &&
      metadata.at("rev") != m_objects[aKind][aName].m_revision) {
    Respond(aConnection, 409, "{}");
    return;
  }
  ApplyChange(aKind, aName, &body.at("spec"));
  Respond(aConnection, 200, "{}");
}

bool
SiteStandIn::ServeWatch(const Watch& aWatch, bool aTimedOut)
{
  json events = json::array();
  for (const Change& change : m_changes) {
    if (change.m_kind == aWatch.m_kind && change.m_revision > aWatch.m_since) {
      events.push_back(change.m_event);
    }
  }
  if (events.empty() && !aTimedOut) {
    return false;
  }
  m_copiesSent[aWatch.m_kind] += events.size();
  Respond(aWatch.m_connection,
          200,
          Serialize({ { "events", events }, { "at", m_revision } }));
  return true;
}

void
SiteStandIn::ServeWatches()
{
  if (m_silent) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(m_watches, [&](const Watch& aWatch) {
    return ServeWatch(aWatch, now >= aWatch.m_until);
  });
}

} // namespace siskindeal
