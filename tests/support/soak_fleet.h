#pragma once
// Disturbs the processes of a deployed site: signals, restarts and rewritten
// settings. Records what was done to each, and reports each process that ends
// without having been asked to.

#include "siskindeal/random.h"
#include "support/deployed_site.h"

#include <functional>
#include <map>

namespace siskindeal {

class SoakFleet
{
public:
  // For what a process or a site must reach some time.
  static constexpr std::chrono::seconds kEndLimit{ 20 };

  struct Pause
  {
    SteadyTime m_from;
    SteadyTime m_to;
  };

  // From the signal that ends a process until its end has been observed.
  struct Exit
  {
    SteadyTime m_from;
    SteadyTime m_to;
    bool m_isKill = false;
  };

  // A VM with its process and what was done to it.
  struct Member
  {
    std::size_t m_vm = 0;
    std::shared_ptr<DeployedProcess> m_current; // null between two starts
    std::vector<SteadyTime> m_kills;
    std::vector<SteadyTime> m_stops;
    std::vector<Pause> m_pauses;
    std::vector<Exit> m_exits;
    std::vector<SteadyTime> m_unaskedEnds;
    bool m_startsAtEnd = false; // the next start follows the end

    // When a signal is noticed: at the end of a pause that it came in.
    SteadyTime NoticedAt(SteadyTime aSignalAt) const;
  };

  // Starts all processes.
  SoakFleet(DeployedSite& aSite,
            std::chrono::seconds aGrace,
            std::uint64_t aSeed,
            Random& aRandom);

  const std::vector<Member>& Members() const { return m_members; }
  std::size_t Violations() const { return m_violations; }

  // Lets aTask run after a time, while RunFor does.
  void After(std::chrono::milliseconds aTime, std::function<void()> aTask);
  void RunFor(std::chrono::milliseconds aTime);

  // Signals or restarts one process, or rewrites its settings.
  void Disturb();
  // Waits until all that has begun has ended and all processes run.
  void RestoreAll();
  // Stops all processes by SIGTERM and waits for their ends.
  void StopAll();

  // Reports a broken rule. aRequest is empty if it concerns no request.
  void ReportViolation(const std::string& aWhat,
                       std::size_t aVm,
                       const std::string& aRequest,
                       SteadyTime aAt);

private:
  void Start(Member& aMember);
  void StartIfAbsent(Member& aMember);
  void StartLater(Member& aMember, std::chrono::milliseconds aTime);
  void Stop(Member& aMember, bool aStartsAtEnd);
  void Kill(Member& aMember, const std::shared_ptr<DeployedProcess>& aProcess);
  void HangUpInBurst(const Member& aMember);
  void PauseProcess(Member& aMember);
  void RewriteSettings(Member& aMember);
  // Looks for processes that have ended, or that should have.
  void Observe();
  bool HasLeft(Member& aMember, DeployedProcess& aProcess);
  void RecordUnaskedEnd(Member& aMember, DeployedProcess& aProcess);
  void CheckAskedEnd(const Member& aMember, DeployedProcess& aProcess);
  std::chrono::milliseconds UpTo(std::uint64_t aMaxMs);

  DeployedSite& m_site;
  std::chrono::seconds m_grace;
  std::uint64_t m_seed;
  Random& m_random;
  SteadyTime m_startedAt;
  std::vector<Member> m_members;
  // Stopped or killed, and not known to have ended.
  std::vector<std::pair<Member*, std::shared_ptr<DeployedProcess>>> m_leaving;
  std::multimap<SteadyTime, std::function<void()>> m_due;
  std::size_t m_violations = 0;
};

} // namespace siskindeal
