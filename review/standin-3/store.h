#pragma once
// The platform's metadata store, as PROTOCOL.md tells it: objects by kind and
// name, one revision counter, lists and watches.

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

class Store
{
public:
  Store(const std::string& aHost, int aPort);

  // Creates or replaces an object; one that stays as it is gets no revision.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct Object
  {
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    nlohmann::json m_spec;
  };

  struct Change
  {
    std::uint64_t m_revision = 0;
    std::string m_kind;
    nlohmann::json m_event;
  };

  using Objects = std::map<std::string, Object>;

  void Handle(const Request& aRequest, Peer& aPeer);
  void List(const std::string& aKind, Peer& aPeer);
  void Watch(const std::string& aKind, const Request& aRequest, Peer& aPeer);
  void Write(const std::string& aKind,
             const std::string& aName,
             const Request& aRequest,
             Peer& aPeer);
  void PutLocked(const std::string& aKind,
                 const std::string& aName,
                 const nlohmann::json& aSpec);
  static nlohmann::json ToJson(const std::string& aName, const Object& aObject);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 100;
  std::map<std::string, Objects> m_objects; // by kind
  std::deque<Change> m_history;
  Server m_server; // last: it serves from its construction on
};

} // namespace review
