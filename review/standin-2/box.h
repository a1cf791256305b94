#pragma once
// What the cases of this review share: a small HTTP server and client over
// blocking sockets, the platform's object store, and the deployed processes.
// Speaks what the users' pages PROTOCOL and DEPLOY say; uses loopback only.

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace box {

using nlohmann::json;
using Millis = std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;

Time
Now();

// Whether the disruption of the case is to happen (TROUBLE isn't 0).
bool
HasTrouble();

// record.txt: one line an observation, with the time since the start.
void
OpenRecord(const std::string& aFile);
void
Record(const std::string& aLine);

// Ends all processes that were started, and this one.
[[noreturn]] void
End(int aStatus, const std::string& aReason);

struct Message
{
  std::string m_method; // of a request
  std::string m_target;
  int m_status = 0; // of a response; 0: none, or an incomplete one
  std::map<std::string, std::string> m_fields; // names in lower case
  std::string m_body;
  // Of a request: whether its connection is still open.
  std::function<bool()> m_isOpen{};

  std::string Field(const std::string& aName) const;
  // The value of a query parameter; empty: there is none.
  std::string Query(const std::string& aName) const;
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
};

struct Reply
{
  int m_status = 200;
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_fields{};
  // Called before the response is written.
  std::function<void()> m_beforeWrite{};
};

// Serves each connection on a thread of its own.
class Server
{
public:
  using Handler = std::function<Reply(const Message&)>;

  Server(const std::string& aHost, std::uint16_t aPort, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Closes the listener and resets all connections, as a crash does.
  void Crash();

private:
  struct State;
  std::shared_ptr<State> m_state;
};

// Sends one request on a connection of its own.
Message
Call(const std::string& aHost,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::vector<std::pair<std::string, std::string>>& aFields,
     const std::string& aBody,
     Millis aTimeout);

// The platform's store: lists, watches and writes of objects.
class Store
{
public:
  Store(const std::string& aHost, std::uint16_t aPort);

  void Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct Object
  {
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    json m_spec;
  };
  struct Change
  {
    std::string m_kind;
    std::uint64_t m_revision = 0;
    json m_event;
  };

  Reply Answer(const Message& aRequest);
  Reply List(const std::string& aKind);
  Reply Watch(const std::string& aKind, const Message& aRequest);
  Reply Write(const std::string& aKind,
              const std::string& aName,
              const Message& aRequest);
  void Apply(const std::string& aKind,
             const std::string& aName,
             const json* aSpec);
  static json Encode(const std::string& aName, const Object& aObject);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Object>> m_objects; // by kind
  std::vector<Change> m_changes;
  std::uint64_t m_revision = 100;
  std::unique_ptr<Server> m_server;
};

// What the settings take from a site's sheet and file.
struct Sheet
{
  std::string m_place;
  std::string m_region;
  std::string m_otherPlace;
  std::string m_otherRegion;
  Millis m_configWithin{ 0 };
  Millis m_versionWithin{ 0 };
  Millis m_evacuateWithin{ 0 }; // 0: the site has no such bound
  int m_retrySlack = 0;
  double m_sideMegabits = 0;
};

// fcb-tee, and cuaem-siskindeal-grown.
Sheet
FcbTee();
Sheet
Cuaem();

// A host of loopback for each VM, with the same ports on each.
class Site
{
public:
  static constexpr std::uint16_t kFrontPort = 8005;
  static constexpr std::uint16_t kReadyPort = 8002;
  static constexpr std::uint16_t kStorePort = 8007;
  static constexpr std::uint16_t kRunnerPort = 8080;

  explicit Site(Sheet aSheet);

  std::string Host(int aVm) const;
  const std::string& Place() const { return m_sheet.m_place; }
  const std::string& OtherPlace() const { return m_sheet.m_otherPlace; }
  // Start a process as the deploy file does; return its id.
  pid_t StartGateway(int aVm);
  pid_t StartStager(int aVm, const std::string& aService);
  // Waits until a gateway says that it is ready.
  bool AwaitReady(int aVm, Millis aTimeout) const;

private:
  std::string Common(const std::string& aRole, int aVm) const;
  std::string Regions() const;
  pid_t Start(const std::string& aRole, int aVm, const std::string& aSettings);

  Sheet m_sheet;
  std::string m_network; // the first three numbers of all hosts
  std::string m_directory;
  int m_starts = 0;
};

// Ends a process that Site started, and waits for its end.
void
Kill(pid_t aProcess);
// Stops a process and waits until it stands still.
void
Freeze(pid_t aProcess);
void
Thaw(pid_t aProcess);

// The fields of a runner's answer to a request that it has run.
std::vector<std::pair<std::string, std::string>>
RunFields(const Message& aRequest);

// Milliseconds of the time of day.
std::uint64_t
UnixMillis();

// The cases. Each ends the process.
[[noreturn]] void
RunWeights();
[[noreturn]] void
RunCold();
[[noreturn]] void
RunLimit();
[[noreturn]] void
RunPart();
[[noreturn]] void
RunVersion();

} // namespace box
