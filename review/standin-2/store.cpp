// The platform's object store.

#include "box.h"

#include <algorithm>

namespace box {

namespace {

const std::string kObjects = "/siskindeal/objects/";

} // namespace

Store::Store(const std::string& aHost, std::uint16_t aPort)
{
  m_server = std::make_unique<Server>(
    aHost, aPort, [this](const Message& aRequest) { return Answer(aRequest); });
}

void
Store::Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec)
{
  const std::lock_guard lock(m_mutex);
  Apply(aKind, aName, &aSpec);
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  Apply(aKind, aName, nullptr);
}

json
Store::Encode(const std::string& aName, const Object& aObject)
{
  return { { "metadata",
             { { "name", aName },
               { "rev", aObject.m_revision },
               { "created", aObject.m_created },
               { "finalizers", json::array() },
               { "deleting", false } } },
           { "spec", aObject.m_spec },
           { "status", json::object() } };
}

// With m_mutex held. Null: the object is removed.
void
Store::Apply(const std::string& aKind,
             const std::string& aName,
             const json* aSpec)
{
  auto& objects = m_objects[aKind];
  Object object = objects[aName];
  if (aSpec != nullptr && object.m_spec == *aSpec) {
    return;
  }
  object.m_revision = ++m_revision;
  if (aSpec == nullptr) {
    objects.erase(aName);
  } else {
    object.m_created = object.m_created == 0 ? m_revision : object.m_created;
    object.m_spec = *aSpec;
    objects[aName] = object;
  }
  m_changes.push_back({ aKind,
                        m_revision,
                        { { "object", Encode(aName, object) },
                          { "deleted", aSpec == nullptr } } });
  m_changed.notify_all();
}

Reply
Store::Answer(const Message& aRequest)
{
  const std::string path = aRequest.Path();
  if (path.rfind(kObjects, 0) != 0) {
    return { 404, "{}" };
  }
  const std::string rest = path.substr(kObjects.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
    slash == std::string::npos ? "" : rest.substr(slash + 1);
  Reply reply;
  if (aRequest.m_method != "GET") {
    reply = Write(kind, name, aRequest);
  } else if (!aRequest.Query("watch").empty()) {
    reply = Watch(kind, aRequest);
  } else {
    reply = List(kind);
  }
  reply.m_fields.emplace_back("Content-Type", "application/json");
  reply.m_fields.emplace_back("Store-Era", "1");
  return reply;
}

Reply
Store::List(const std::string& aKind)
{
  const std::lock_guard lock(m_mutex);
  json items = json::array();
  for (const auto& [name, object] : m_objects[aKind]) {
    items.push_back(Encode(name, object));
  }
  return { 200,
           json{
             { "items", items }, { "has_more", false }, { "at", m_revision } }
             .dump() };
}

Reply
Store::Watch(const std::string& aKind, const Message& aRequest)
{
  const std::uint64_t since = std::stoull(aRequest.Query("watch"));
  const std::string wait = aRequest.Query("wait_ms");
  std::unique_lock lock(m_mutex);
  json events = json::array();
  const auto collect = [&] {
    events = json::array();
    for (const Change& change : m_changes) {
      if (change.m_kind == aKind && change.m_revision > since) {
        events.push_back(change.m_event);
      }
    }
    return !events.empty();
  };
  m_changed.wait_for(
    lock, Millis(wait.empty() ? 0 : std::stoul(wait)), collect);
  return { 200, json{ { "events", events }, { "at", m_revision } }.dump() };
}

Reply
Store::Write(const std::string& aKind,
             const std::string& aName,
             const Message& aRequest)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (body.is_discarded()) {
    return { 400, "{}" };
  }
  const std::lock_guard lock(m_mutex);
  const std::string name =
    aName.empty() ? body.at("metadata").at("name").get<std::string>() : aName;
  if (aRequest.m_method == "POST" && m_objects[aKind].contains(name)) {
    return { 409, Encode(name, m_objects[aKind][name]).dump() };
  }
  const json spec = body.value("spec", json::object());
  Apply(aKind, name, &spec);
  return { 200, Encode(name, m_objects[aKind][name]).dump() };
}

} // namespace box
