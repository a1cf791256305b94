#pragma once
// A small deployment on loopback: the platform's store and plain runners as
// stand-ins, and gateways as processes with the command of the deploy file.

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>

#include <sys/types.h>

namespace review {

// Milliseconds since the program's start.
std::int64_t
Now();
void
SleepUntil(std::int64_t aTime);

// What was sent, answered and run, one line an event.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : m_file(aFile)
  {
  }
  void Add(const std::string& aLine);

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

struct StoredObject
{
  std::uint64_t m_revision = 0;
  std::uint64_t m_created = 0;
  std::string m_spec;
};

// The platform's metadata store (PROTOCOL.md): objects by kind and name, lists,
// watches and conditional writes, linearizable. It answers with Store-Era.
class Store
{
public:
  Store(const std::string& aHost, Record& aRecord);

  std::string Address() const { return m_server.Address(); }
  // Creates or replaces an object, whose spec is the JSON text aSpec. The bytes
  // are sent as they are. Returns the time of the acknowledgement. A write that
  // changes nothing doesn't increase the revision.
  std::int64_t Put(const std::string& aKind,
                   const std::string& aName,
                   const std::string& aSpec);
  std::int64_t Remove(const std::string& aKind, const std::string& aName);
  std::uint64_t Revision();

  // A drill: the store is away, and comes back from the copy that was taken.
  struct Copy
  {
    std::uint64_t m_revision = 0;
    std::size_t m_changes = 0;
    std::map<std::string, std::map<std::string, StoredObject>> m_objects;
  };
  Copy TakeCopy();
  void GoAway();
  void ComeBack(const Copy& aCopy);

private:
  struct Change
  {
    std::uint64_t m_revision = 0;
    std::string m_kind;
    std::string m_event; // JSON
  };

  bool Answer(Connection& aConnection, const Message& aRequest);
  std::string List(const std::string& aKind);
  std::string Watch(const std::string& aKind,
                    std::uint64_t aSince,
                    std::int64_t aWaitMs,
                    int& aStatus);
  std::string Write(const Message& aRequest,
                    const std::string& aKind,
                    const std::string& aName,
                    int& aStatus);
  std::uint64_t Apply(const std::string& aKind,
                      const std::string& aName,
                      const std::string* aSpec);

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, StoredObject>> m_objects;
  std::deque<Change> m_changes;
  std::uint64_t m_revision = 100;
  std::uint64_t m_era = 1;
  Server m_server; // last, since it uses the others
};

// A request as it reached a runner.
struct Arrival
{
  std::int64_t m_at = 0;
  std::string m_runner; // id
  std::string m_attempt;
  std::string m_tenant;
  std::string m_path;
  bool m_run = false; // false: rejected
};

// What all runners have seen.
class Arrivals
{
public:
  explicit Arrivals(Record& aRecord)
    : m_record(aRecord)
  {
  }
  void Add(const Arrival& aArrival);
  std::vector<Arrival> All();

private:
  Record& m_record;
  std::mutex m_mutex;
  std::vector<Arrival> m_all;
};

// A runner of a service. Each request takes kWorkMs.
class Runner
{
public:
  // Handles a request that is run, in place of the usual answer. Returns false
  // to end the connection.
  using Play = std::function<bool(Runner&, Connection&, const Message&)>;

  Runner(std::string aId,
         std::string aService,
         const std::string& aHost,
         std::string aZone,
         Arrivals& aArrivals,
         Play aPlay = nullptr);

  const std::string& Id() const { return m_id; }
  // The entry that the runner writes to the store.
  std::string Entry(const std::string& aState, int aColdMs = 0) const;
  // Ends the process: all its connections are reset.
  void Stop() { m_server.Stop(); }
  void Start();
  // From now on all answers say that the runner leaves.
  void Leave() { m_leaving = true; }
  // The fields that each answer to aRequest carries.
  std::vector<std::pair<std::string, std::string>> Fields(
    const Message& aRequest);
  static constexpr int kWorkMs = 20;
  static constexpr int kSlots = 6;

private:
  bool Answer(Connection& aConnection, const Message& aRequest);

  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::atomic<std::int64_t> m_born;
  std::atomic<bool> m_leaving{ false };
  Arrivals& m_arrivals;
  Play m_play;
  std::atomic<int> m_active{ 0 };
  Server m_server;
};

// One process of the project.
class Process
{
public:
  Process(std::vector<std::string> aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  bool Running();
  // How the process ended, once it has.
  const std::string& End() const { return m_end; }
  // Its resident memory; 0 if it has ended.
  std::int64_t MemoryKb() const;
  pid_t Id() const { return m_id; }

private:
  pid_t m_id;
  std::string m_end;
};

// Gateways, one a zone and region, at 127.0.0.11 and the next addresses.
class Gateways
{
public:
  Gateways(std::string aBinary,
           std::string aFolder,
           const std::string& aStore,
           int aCount);

  // Waits until all are ready. Returns false after 15 s.
  bool AwaitReady();
  int Count() const { return static_cast<int>(m_processes.size()); }
  bool AllRunning();
  // Starts processes again that have ended by themselves, as the platform does.
  // Call it periodically.
  void RestartEnded(Record& aRecord);
  // Kills all processes, and starts all again.
  void KillAll();
  void StartAll();
  // How often a gateway has ended by itself.
  int Ends(int aGateway) const;
  std::string Host(int aGateway) const;
  std::uint16_t Front() const;

private:
  void Start(int aGateway);

  std::string m_binary;
  std::string m_folder;
  std::vector<std::unique_ptr<Process>> m_processes;
  std::vector<int> m_ends; // by gateway
  std::uint16_t m_port = 0;
};

// What became of one client attempt.
struct Outcome
{
  std::string m_attempt;
  std::int64_t m_sentAt = 0;
  int m_gateway = 0;
  int m_status = 0; // 0: no complete answer
};

// A request of a client.
struct ClientRequest
{
  std::string m_method = "POST";
  std::string m_path;
  std::string m_key;
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_fields = {};
  int m_deadlineMs = 2500;
};

// Sends requests to gateways, each on a connection of its own.
class Clients
{
public:
  Clients(const Gateways& aGateways, Record& aRecord, std::string aHost)
    : m_gateways(aGateways)
    , m_record(aRecord)
    , m_host(std::move(aHost))
  {
  }
  ~Clients() { Wait(); }

  // Sends a request in a thread of its own; returns its attempt id.
  std::string Send(const ClientRequest& aRequest, int aGateway);
  // Waits until all requests have ended.
  void Wait();
  std::vector<Outcome> All();

private:
  void Run(const ClientRequest& aRequest, Outcome aOutcome);

  const Gateways& m_gateways;
  Record& m_record;
  std::string m_host;
  std::atomic<int> m_running{ 0 };
  std::atomic<int> m_next{ 0 };
  std::mutex m_mutex;
  std::vector<Outcome> m_outcomes;
};

// The keys of a tenant.
struct Tenant
{
  std::string m_name;
  std::vector<std::string> m_keys;
};
// A configuration with two routes of one service at host tee.example:
// /book/ (non_idempotent) and /look/ (idempotent, two attempts).
std::string
PlainConfig(std::uint64_t aVersion,
            const std::string& aService,
            const std::vector<Tenant>& aTenants);

// The arguments and the environment of a case's program.
struct Options
{
  std::string m_binary;
  std::string m_folder; // of the case; gets record.txt
  std::string m_temporary;
  bool m_trouble = true; // TROUBLE isn't 0
};
// Throws std::invalid_argument.
Options
ReadOptions(int aCount, char** aArguments);

// The exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

} // namespace review
