#include "standin/platform.h"

#include "siskindeal/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace siskindeal::standin {

namespace {

constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::chrono::milliseconds kRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxWatchWait{ 60000 };

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.rfind(aPrefix, 0) == 0;
}

} // namespace

PlatformStandIn::PlatformStandIn(PlatformOptions aOptions)
  : StandIn(aOptions.m_standIn)
  , m_options(std::move(aOptions))
{
  Start();
}

PlatformStandIn::~PlatformStandIn()
{
  Stop();
}

void
PlatformStandIn::Handle(HttpRequest aRequest, const Responder& aResponder)
{
  if (StripPrefix(aRequest.m_path, "/standin/")) {
    HandleAdmin(aRequest, aResponder);
    return;
  }
  if (!TakeToken(aRequest.m_method != "GET")) {
    AnswerRetryAfter(aResponder, 429, kRetryAfter);
    return;
  }
  if (const auto key = StripPrefix(aRequest.m_path, "/v1/objects/")) {
    HandleObject(aRequest, *key, aResponder);
  } else if (aRequest.m_path == "/v1/objects") {
    List(aRequest, aResponder);
  } else if (aRequest.m_path == "/v1/watch") {
    Watch(aRequest, aResponder);
  } else if (aRequest.m_path == "/v1/vms") {
    ListVms(aResponder);
  } else {
    AnswerError(aResponder, 404, "not_found");
  }
}

bool
PlatformStandIn::TakeToken(bool aWrite)
{
  const absl::MutexLock lock(&m_mutex);
  const double rate =
    aWrite ? m_options.m_writesPerSecond : m_options.m_readsPerSecond;
  auto& bucket = aWrite ? m_writes : m_reads;
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - bucket.m_lastRefill;
  bucket.m_tokens = std::min(rate, bucket.m_tokens + elapsed.count() * rate);
  bucket.m_lastRefill = now;
  if (bucket.m_tokens < 1) {
    ++m_counts.m_refused;
    return false;
  }
  bucket.m_tokens -= 1;
  ++(aWrite ? m_counts.m_writes : m_counts.m_reads);
  return true;
}

nlohmann::json
PlatformStandIn::ToJson(const std::string& aKey, const Object& aObject)
{
  return { { "key", aKey },
           { "version", aObject.m_version },
           { "value", aObject.m_value },
           { "change_id", aObject.m_changeId },
           { "deleted", aObject.m_deleted } };
}

void
PlatformStandIn::HandleObject(const HttpRequest& aRequest,
                              const std::string& aKey,
                              const Responder& aResponder)
{
  if (aRequest.m_method != "GET") {
    Write(aRequest, aKey, aResponder);
    return;
  }
  nlohmann::json found;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto object = m_objects.find(aKey);
    if (object != m_objects.end() && !object->second.m_deleted) {
      found = ToJson(aKey, object->second);
    }
  }
  if (found.is_null()) {
    AnswerError(aResponder, 404, "not_found");
  } else {
    Answer(aResponder, 200, found);
  }
}

void
PlatformStandIn::Write(const HttpRequest& aRequest,
                       const std::string& aKey,
                       const Responder& aResponder)
{
  const bool deletes = aRequest.m_method == "DELETE";
  const auto changeId = GetString(aRequest.m_headers, "x-change-id");
  if (aRequest.m_query.count("expect") == 0 || changeId.empty() ||
      (!deletes && aRequest.m_method != "PUT")) {
    AnswerError(aResponder, 400, "bad_request");
    return;
  }
  if (aRequest.m_body.size() > kMaxValueBytes) {
    AnswerError(aResponder, 413, "too_large");
    return;
  }
  const auto expected =
    GetNumber(aRequest.m_query, "expect", ~std::uint64_t{ 0 });
  Object object;
  bool conflict = false;
  WatchResponses responses;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_objects.find(aKey);
    if (found != m_objects.end()) {
      object = found->second;
    }
    const bool exists = object.m_version > 0 && !object.m_deleted;
    if (deletes && !exists) {
      AnswerError(aResponder, 404, "not_found");
      return;
    }
    conflict = object.m_version != expected && (exists || expected != 0);
    if (!conflict) {
      object = { object.m_version + 1,
                 deletes ? std::string() : aRequest.m_body,
                 changeId,
                 deletes };
      responses = Commit(aKey, object);
    }
  }
  Answer(aResponder, conflict ? 409 : 200, ToJson(aKey, object));
  SendResponses(responses);
}

PlatformStandIn::WatchResponses
PlatformStandIn::Commit(const std::string& aKey, Object aObject)
{
  WatchResponses responses;
  m_objects[aKey] = aObject;
  m_history.push_back({ ++m_revision, aKey, std::move(aObject) });
  while (m_history.size() > m_options.m_history) {
    m_history.pop_front();
  }
  for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
    if (HasPrefix(aKey, watcher->m_prefix)) {
      responses.emplace_back(watcher->m_responder,
                             ChangesAfter(watcher->m_prefix, watcher->m_after));
      watcher = m_watchers.erase(watcher);
    } else {
      ++watcher;
    }
  }
  return responses;
}

void
PlatformStandIn::SendResponses(const WatchResponses& aResponses)
{
  for (const auto& [responder, changes] : aResponses) {
    Answer(responder, 200, changes);
  }
}

nlohmann::json
PlatformStandIn::ChangesAfter(const std::string& aPrefix, std::uint64_t aAfter)
{
  // Reports only the latest change of each key, in order of revision.
  std::map<std::string, std::uint64_t> last;
  for (const auto& change : m_history) {
    last[change.m_key] = change.m_revision;
  }
  auto objects = nlohmann::json::array();
  for (const auto& change : m_history) {
    if (change.m_revision > aAfter && HasPrefix(change.m_key, aPrefix) &&
        last[change.m_key] == change.m_revision) {
      objects.push_back(ToJson(change.m_key, change.m_object));
    }
  }
  return { { "revision", m_revision }, { "objects", std::move(objects) } };
}

void
PlatformStandIn::List(const HttpRequest& aRequest, const Responder& aResponder)
{
  const auto prefix = GetString(aRequest.m_query, "prefix");
  nlohmann::json answer;
  {
    const absl::MutexLock lock(&m_mutex);
    auto objects = nlohmann::json::array();
    for (const auto& [key, object] : m_objects) {
      if (HasPrefix(key, prefix) && !object.m_deleted) {
        objects.push_back(ToJson(key, object));
      }
    }
    answer = { { "revision", m_revision }, { "objects", std::move(objects) } };
  }
  Answer(aResponder, 200, answer);
}

void
PlatformStandIn::Watch(const HttpRequest& aRequest, const Responder& aResponder)
{
  const auto prefix = GetString(aRequest.m_query, "prefix");
  const auto after = GetNumber(aRequest.m_query, "after", 0);
  const auto wait = std::min(
    kMaxWatchWait,
    std::chrono::milliseconds(GetNumber(aRequest.m_query, "wait_ms", 0)));
  const bool gap = GetFaults().Take("watch_gap", aRequest).has_value();
  nlohmann::json changes;
  bool compacted = false;
  std::uint64_t id = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    compacted =
      gap || after > m_revision ||
      (!m_history.empty() && after + 1 < m_history.front().m_revision);
    if (!compacted) {
      changes = ChangesAfter(prefix, after);
      if (changes["objects"].empty() && wait.count() > 0) {
        id = ++m_lastWatcherId;
        m_watchers.push_back({ id, prefix, after, aResponder });
      }
    }
  }
  if (compacted) {
    AnswerError(aResponder, 410, "compacted");
    return;
  }
  if (id == 0) {
    Answer(aResponder, 200, changes);
    return;
  }
  GetScheduler().After(wait, [this, id] {
    Responder responder;
    nlohmann::json unchanged;
    {
      const absl::MutexLock lock(&m_mutex);
      const auto found = std::find_if(
        m_watchers.begin(), m_watchers.end(), [id](const auto& aWatcher) {
          return aWatcher.m_id == id;
        });
      if (found == m_watchers.end()) {
        return;
      }
      responder = found->m_responder;
      unchanged = ChangesAfter(found->m_prefix, found->m_after);
      m_watchers.erase(found);
    }
    Answer(responder, 200, unchanged);
  });
}

void
PlatformStandIn::ListVms(const Responder& aResponder)
{
  auto vms = nlohmann::json::array();
  {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [name, vm] : m_vms) {
      vms.push_back({ { "vm", name },
                      { "place", vm.m_place },
                      { "service", vm.m_service },
                      { "rpc", vm.m_rpc },
                      { "leaving", vm.m_leaving } });
    }
  }
  Answer(aResponder, 200, { { "vms", std::move(vms) } });
}

void
PlatformStandIn::HandleAdmin(const HttpRequest& aRequest,
                             const Responder& aResponder)
{
  const auto vm = StripPrefix(aRequest.m_path, "/standin/vms/");
  if (vm && aRequest.m_method == "DELETE") {
    RemoveVm(*vm);
  } else if (vm && aRequest.m_method == "PUT") {
    const auto body = nlohmann::json::parse(aRequest.m_body);
    SetVm({ *vm,
            body.value("place", ""),
            body.value("service", ""),
            body.value("rpc", ""),
            body.value("leaving", false) },
          aRequest.m_query.count("at_once") != 0);
  } else if (const auto key =
               StripPrefix(aRequest.m_path, "/standin/objects/")) {
    SetObject(*key, aRequest.m_body);
  } else if (aRequest.m_path == "/standin/stats") {
    const auto counts = Counts();
    Answer(aResponder,
           200,
           { { "reads", counts.m_reads },
             { "writes", counts.m_writes },
             { "refused", counts.m_refused } });
    return;
  } else {
    AnswerError(aResponder, 404, "not_found");
    return;
  }
  Answer(aResponder, 200, { { "ok", true } });
}

void
PlatformStandIn::SetObject(const std::string& aKey, const std::string& aValue)
{
  WatchResponses responses;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto version = m_objects[aKey].m_version + 1;
    responses = Commit(aKey, { version, aValue, NewId(), false });
  }
  SendResponses(responses);
}

std::string
PlatformStandIn::ObjectValue(const std::string& aKey)
{
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_objects.find(aKey);
  return found == m_objects.end() ? std::string() : found->second.m_value;
}

void
PlatformStandIn::SetVm(const PlatformVm& aVm, bool aImmediately)
{
  const auto apply = [this, aVm] {
    const absl::MutexLock lock(&m_mutex);
    m_vms[aVm.m_vm] = aVm;
  };
  if (aImmediately) {
    apply();
  } else {
    GetScheduler().After(m_options.m_vmLag, apply);
  }
}

void
PlatformStandIn::RemoveVm(const std::string& aVm, bool aImmediately)
{
  const auto apply = [this, aVm] {
    const absl::MutexLock lock(&m_mutex);
    m_vms.erase(aVm);
  };
  if (aImmediately) {
    apply();
  } else {
    GetScheduler().After(m_options.m_vmLag, apply);
  }
}

PlatformCounts
PlatformStandIn::Counts()
{
  const absl::MutexLock lock(&m_mutex);
  return m_counts;
}

} // namespace siskindeal::standin
