#pragma once
// A small deployment on loopback: the store, gateways with the commands of the
// deploy file, and runners as processes of this program.

#include "store.h"

#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

inline constexpr int kFrontPort = 8005;
inline constexpr int kRunnerPort = 8001;

std::int64_t
UnixMillis();

// Lines with the time since the start, written by several threads.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
  {
  }
  void Write(const std::string& aLine);
  std::chrono::milliseconds Elapsed() const;

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  std::chrono::steady_clock::time_point m_begin =
    std::chrono::steady_clock::now();
};

// A process that this program started and ends.
class Process
{
public:
  Process(const std::vector<std::string>& aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  // Whether it has ended by itself.
  bool HasEnded();
  // Whether it has been stopped, as by SIGSTOP, since the last call.
  bool TakeStopped();
  // Sends the signal and waits for the end, for which it gets some seconds.
  void End(int aSignal);

private:
  pid_t m_id = -1;
};

class Site
{
public:
  // aSelf: the path of this program, whose mode "runner" plays the runners.
  Site(const std::string& aSelf, Record& aRecord);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Store& Objects() { return *m_store; }
  std::string Host(int aNumber) const;
  const std::string& Folder() const { return m_folder; }

  void StartGateway(int aNumber);
  Process& Gateway(int aNumber) { return *m_gateways.at(aNumber); }
  // Waits until all gateways say that they are ready.
  bool AwaitReady(std::chrono::seconds aTimeout) const;

  // Starts a runner that registers under the service. aMode is what it plays.
  // aStart tells starts apart that have ids of their own; 0: the first one.
  void StartRunner(int aNumber,
                   const std::string& aService,
                   const std::string& aMode,
                   int aStart = 0);
  // Kills a runner. Its entry stays, as after a crash.
  void KillRunner(int aNumber);
  bool RunnerHasEnded(int aNumber);
  bool TakeRunnerStopped(int aNumber);
  void RemoveEntry(int aNumber, int aStart = 0);
  static std::string RunnerId(int aNumber, int aStart = 0);
  // What a runner has written of its runs.
  std::string RunnerLog(int aNumber) const;

private:
  std::string m_self;
  Record& m_record;
  std::string m_network;
  std::string m_folder;
  std::unique_ptr<Store> m_store;
  std::map<int, std::unique_ptr<Process>> m_gateways;
  std::map<int, std::unique_ptr<Process>> m_runners;
};

} // namespace review
