#include "store.h"

#include <chrono>

namespace review {

namespace {

using nlohmann::json;

const std::string kPrefix = "/siskindeal/objects/";
const Fields kJson = { { "content-type", "application/json" } };

void
AnswerJson(Peer& aPeer, int aStatus, const json& aBody)
{
  aPeer.Answer(aStatus, kJson, aBody.dump());
}

} // namespace

Store::Store(const std::string& aHost, int aPort)
  : m_server(aHost, aPort, [this](const Request& aRequest, Peer& aPeer) {
    Handle(aRequest, aPeer);
  })
{
}

json
Store::ToJson(const std::string& aName, const Object& aObject)
{
  return { { "metadata",
             { { "name", aName },
               { "rev", aObject.m_revision },
               { "created", aObject.m_created },
               { "finalizers", json::array() },
               { "deleting", false } } },
           { "spec", aObject.m_spec },
           { "status", nullptr } };
}

void
Store::PutLocked(const std::string& aKind,
                 const std::string& aName,
                 const json& aSpec)
{
  Object& object = m_objects[aKind][aName];
  if (object.m_revision != 0 && object.m_spec == aSpec) {
    return;
  }
  object.m_spec = aSpec;
  object.m_revision = ++m_revision;
  if (object.m_created == 0) {
    object.m_created = m_revision;
  }
  m_history.push_back(
    { m_revision,
      aKind,
      { { "deleted", false }, { "object", ToJson(aName, object) } } });
  m_changed.notify_all();
}

void
Store::Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec)
{
  const std::lock_guard lock(m_mutex);
  PutLocked(aKind, aName, aSpec);
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  Objects& objects = m_objects[aKind];
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return;
  }
  const json last = ToJson(aName, found->second);
  objects.erase(found);
  m_history.push_back(
    { ++m_revision, aKind, { { "deleted", true }, { "object", last } } });
  m_changed.notify_all();
}

void
Store::Handle(const Request& aRequest, Peer& aPeer)
{
  if (aRequest.m_path.rfind(kPrefix, 0) != 0) {
    AnswerJson(aPeer, 404, json::object());
    return;
  }
  const std::string rest = aRequest.m_path.substr(kPrefix.size());
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
    slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (aRequest.m_method != "GET") {
    Write(kind, name, aRequest, aPeer);
  } else if (!aRequest.Query("watch").empty()) {
    Watch(kind, aRequest, aPeer);
  } else {
    List(kind, aPeer);
  }
}

void
Store::List(const std::string& aKind, Peer& aPeer)
{
  json items = json::array();
  std::uint64_t at = 0;
  {
    const std::lock_guard lock(m_mutex);
    at = m_revision;
    for (const auto& [name, object] : m_objects[aKind]) {
      items.push_back(ToJson(name, object));
    }
  }
  AnswerJson(
    aPeer, 200, { { "items", items }, { "has_more", false }, { "at", at } });
}

void
Store::Watch(const std::string& aKind, const Request& aRequest, Peer& aPeer)
{
  const std::uint64_t from = std::stoull(aRequest.Query("watch"));
  const std::chrono::milliseconds wait(std::stoul(aRequest.Query("wait_ms")));
  const auto end = std::chrono::steady_clock::now() + wait;
  json events = json::array();
  std::uint64_t at = 0;
  {
    std::unique_lock lock(m_mutex);
    while (true) {
      for (const Change& change : m_history) {
        if (change.m_revision > from && change.m_kind == aKind) {
          events.push_back(change.m_event);
        }
      }
      at = m_revision;
      if (!events.empty() ||
          m_changed.wait_until(lock, end) == std::cv_status::timeout) {
        break;
      }
    }
  }
  AnswerJson(aPeer, 200, { { "events", events }, { "at", at } });
}

void
Store::Write(const std::string& aKind,
             const std::string& aName,
             const Request& aRequest,
             Peer& aPeer)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    AnswerJson(aPeer, 400, json::object());
    return;
  }
  const json& metadata = body.at("metadata");
  const std::string name =
    aName.empty() ? metadata.value("name", std::string()) : aName;
  int status = 200;
  json answer;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[aKind].find(name);
    const bool exists = found != m_objects[aKind].end();
    const bool creates = aRequest.m_method == "POST";
    const bool conflicts =
      exists && (creates || (metadata.contains("rev") &&
                             metadata.at("rev") != found->second.m_revision));
    if (conflicts) {
      status = 409;
      answer = ToJson(name, found->second);
    } else if (!exists && !creates) {
      status = 404;
    } else {
      PutLocked(aKind, name, body.value("spec", json()));
      answer = ToJson(name, m_objects[aKind][name]);
    }
  }
  AnswerJson(aPeer, status, answer);
}

} // namespace review
