#include "support/soak_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kPoll{ 5 };
constexpr milliseconds kRestartDelay{ 100 }; // after an unasked end
constexpr std::uint64_t kMaxRestartMs = 500;
constexpr std::uint64_t kMaxStartHangupMs = 100;
constexpr std::uint64_t kMaxBurst = 5;
constexpr std::uint64_t kMaxBurstMs = 20;
constexpr std::uint64_t kMinPauseMs = 20;
constexpr std::uint64_t kMaxPauseMs = 1500;
constexpr std::uint64_t kMaxBrokenSettingsMs = 200;

std::int64_t
Since(SteadyTime aFrom, SteadyTime aTo)
{
  return duration_cast<milliseconds>(aTo - aFrom).count();
}

void
HangUp(DeployedProcess& aProcess)
{
  aProcess.m_hungUpAt = steady_clock::now();
  aProcess.m_process->Signal(SIGHUP);
}

std::string
AgeText(const char* aWhat, const std::optional<SteadyTime>& aAt)
{
  return std::string(", ") + aWhat +
         (aAt ? " " + std::to_string(Since(*aAt, steady_clock::now())) +
                  " ms before"
              : " never");
}

std::string
HistoryText(const DeployedProcess& aProcess)
{
  return AgeText("started", aProcess.m_startedAt) +
         AgeText("SIGTERM", aProcess.m_stoppedAt) +
         AgeText("SIGHUP", aProcess.m_hungUpAt) +
         (aProcess.m_signalToEnd
            ? ", signal " + std::to_string(*aProcess.m_signalToEnd) +
                " to its end"
            : "") +
         AgeText("settings rewritten", aProcess.m_rewrittenAt) +
         ", last line: " + aProcess.LastLogLine();
}

} // namespace

SteadyTime
SoakFleet::Member::NoticedAt(SteadyTime aSignalAt) const
{
  SteadyTime noticedAt = aSignalAt;
  for (const Pause& pause : m_pauses) {
    if (pause.m_from <= aSignalAt && aSignalAt <= pause.m_to) {
      noticedAt = std::max(noticedAt, pause.m_to);
    }
  }
  return noticedAt;
}

SoakFleet::SoakFleet(DeployedSite& aSite,
                     seconds aGrace,
                     std::uint64_t aSeed,
                     Random& aRandom)
  : m_site(aSite)
  , m_grace(aGrace)
  , m_seed(aSeed)
  , m_random(aRandom)
  , m_startedAt(steady_clock::now())
  , m_members(aSite.Vms().size())
{
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    m_members[i].m_vm = i;
    Start(m_members[i]);
  }
}

void
SoakFleet::After(milliseconds aTime, std::function<void()> aTask)
{
  m_due.emplace(steady_clock::now() + aTime, std::move(aTask));
}

void
SoakFleet::RunFor(milliseconds aTime)
{
  const auto end = steady_clock::now() + aTime;
  do {
    while (!m_due.empty() && m_due.begin()->first <= steady_clock::now()) {
      const auto task = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      task();
    }
    Observe();
    std::this_thread::sleep_for(kPoll);
  } while (steady_clock::now() < end);
}

milliseconds
SoakFleet::UpTo(std::uint64_t aMaxMs)
{
  return milliseconds(m_random.Below(aMaxMs));
}

void
SoakFleet::ReportViolation(const std::string& aWhat,
                           std::size_t aVm,
                           const std::string& aRequest,
                           SteadyTime aAt)
{
  ++m_violations;
  ADD_FAILURE() << "seed " << m_seed << ", at " << Since(m_startedAt, aAt)
                << " ms, " << m_site.Vms()[aVm].m_name
                << (aRequest.empty() ? "" : ", request " + aRequest) << ": "
                << aWhat << "; log: " << m_site.LogFile(aVm);
}

void
SoakFleet::Start(Member& aMember)
{
  aMember.m_current = m_site.Start(aMember.m_vm);
  aMember.m_startsAtEnd = false;
  if (m_random.Below(3) == 0) {
    After(UpTo(kMaxStartHangupMs),
          [process = aMember.m_current] { HangUp(*process); });
  }
}

void
SoakFleet::StartIfAbsent(Member& aMember)
{
  if (!aMember.m_current) {
    Start(aMember);
  }
}

void
SoakFleet::StartLater(Member& aMember, milliseconds aTime)
{
  After(aTime, [this, &aMember] { StartIfAbsent(aMember); });
}

void
SoakFleet::Stop(Member& aMember, bool aStartsAtEnd)
{
  const auto process = std::exchange(aMember.m_current, nullptr);
  process->m_stoppedAt = steady_clock::now();
  aMember.m_stops.push_back(*process->m_stoppedAt);
  aMember.m_startsAtEnd = aStartsAtEnd;
  process->m_process->Signal(SIGTERM);
  if (m_random.Below(4) == 0) {
    process->m_signalToEnd = m_random.Below(2) == 0 ? SIGHUP : SIGTERM;
  }
  m_leaving.emplace_back(&aMember, process);
}

void
SoakFleet::Kill(Member& aMember,
                const std::shared_ptr<DeployedProcess>& aProcess)
{
  aProcess->m_killedAt = steady_clock::now();
  aMember.m_kills.push_back(*aProcess->m_killedAt);
  aProcess->m_process->Signal(SIGKILL);
}

void
SoakFleet::HangUpInBurst(const Member& aMember)
{
  const std::uint64_t signals = 1 + m_random.Below(kMaxBurst);
  for (std::uint64_t i = 0; i < signals; ++i) {
    After(UpTo(kMaxBurstMs),
          [process = aMember.m_current] { HangUp(*process); });
  }
}

void
SoakFleet::PauseProcess(Member& aMember)
{
  const auto process = aMember.m_current;
  if (process->m_isPaused) {
    return;
  }
  process->m_isPaused = true;
  const auto from = steady_clock::now();
  process->m_process->Signal(SIGSTOP);
  After(milliseconds(kMinPauseMs) + UpTo(kMaxPauseMs),
        [&aMember, process, from] {
          process->m_process->Signal(SIGCONT);
          process->m_isPaused = false;
          process->m_resumedAt = steady_clock::now();
          aMember.m_pauses.push_back({ from, *process->m_resumedAt });
        });
}

// Rewrites the settings file of a process that has read it: whole, in two
// parts, or with a directory in its place for a moment.
void
SoakFleet::RewriteSettings(Member& aMember)
{
  const auto process = aMember.m_current;
  if (!process->HasStarted()) {
    return;
  }
  const DeployedVm& vm = m_site.Vms()[aMember.m_vm];
  process->m_rewrittenAt = steady_clock::now();
  const std::uint64_t how = m_random.Below(3);
  std::error_code ignored; // it may be a directory or absent
  if (how == 0) {
    m_site.PlaceSettings(aMember.m_vm);
  } else if (how == 1) {
    std::ofstream(vm.m_settingsFile)
      << vm.m_settings.substr(0, m_random.Below(vm.m_settings.size()));
  } else {
    std::filesystem::remove(vm.m_settingsFile, ignored);
    std::filesystem::create_directory(vm.m_settingsFile, ignored);
  }
  if (m_random.Below(3) != 0) {
    HangUp(*process);
  }
  After(UpTo(kMaxBrokenSettingsMs), [this, &aMember] {
    m_site.PlaceSettings(aMember.m_vm);
    if (aMember.m_current && m_random.Below(2) == 0) {
      HangUp(*aMember.m_current);
    }
  });
}

void
SoakFleet::Disturb()
{
  Member& member = m_members[m_random.Below(m_members.size())];
  const std::uint64_t what = m_random.Below(12);
  if (!member.m_current) {
    return;
  }
  if (what < 3) {
    HangUpInBurst(member);
  } else if (what < 6) {
    RewriteSettings(member);
  } else if (what < 8) {
    PauseProcess(member);
  } else if (what < 11) {
    const bool startsAtEnd = m_random.Below(2) == 0;
    Stop(member, startsAtEnd);
    if (!startsAtEnd) {
      StartLater(member, UpTo(kMaxRestartMs));
    }
  } else {
    m_leaving.emplace_back(&member, member.m_current);
    Kill(member, std::exchange(member.m_current, nullptr));
    StartLater(member, UpTo(kMaxRestartMs));
  }
}

void
SoakFleet::Observe()
{
  for (Member& member : m_members) {
    const auto process = member.m_current;
    if (process && process->m_process->EndsWithin(milliseconds(0))) {
      member.m_current = nullptr;
      RecordUnaskedEnd(member, *process);
      StartLater(member, kRestartDelay);
    }
  }
  std::erase_if(m_leaving, [this](auto& aLeaving) {
    return HasLeft(*aLeaving.first, *aLeaving.second);
  });
}

void
SoakFleet::RecordUnaskedEnd(Member& aMember, DeployedProcess& aProcess)
{
  const auto now = steady_clock::now();
  aMember.m_unaskedEnds.push_back(now);
  ReportViolation("ended unasked with status " +
                    std::to_string(aProcess.m_process->Wait()) +
                    HistoryText(aProcess),
                  aMember.m_vm,
                  {},
                  now);
}

// Returns whether a process that was stopped or killed has ended.
bool
SoakFleet::HasLeft(Member& aMember, DeployedProcess& aProcess)
{
  const auto now = steady_clock::now();
  if (!aProcess.m_process->EndsWithin(milliseconds(0))) {
    if (aProcess.m_signalToEnd) {
      aProcess.m_process->Signal(*aProcess.m_signalToEnd);
    }
    const auto since =
      std::max(aProcess.m_stoppedAt.value_or(*aProcess.m_killedAt),
               aProcess.m_resumedAt.value_or(SteadyTime()));
    if (!aProcess.m_isPaused && !aProcess.m_killedAt &&
        now - since > m_grace + kEndLimit) {
      ReportViolation("runs on" + HistoryText(aProcess), aMember.m_vm, {}, now);
      aProcess.m_killedAt = now;
      aProcess.m_process->Signal(SIGKILL);
    }
    return false;
  }
  const SteadyTime from =
    aProcess.m_stoppedAt.value_or(aProcess.m_killedAt.value_or(now));
  aMember.m_exits.push_back({ from, now, !aProcess.m_stoppedAt });
  if (!aProcess.m_killedAt) {
    CheckAskedEnd(aMember, aProcess);
  }
  if (aMember.m_startsAtEnd) {
    StartLater(aMember, UpTo(kMaxRestartMs));
  }
  return true;
}

void
SoakFleet::CheckAskedEnd(const Member& aMember, DeployedProcess& aProcess)
{
  const int status = aProcess.m_process->Wait();
  if (status != 0) {
    ReportViolation("ended with status " + std::to_string(status) +
                      HistoryText(aProcess),
                    aMember.m_vm,
                    {},
                    steady_clock::now());
    return;
  }
  const json last =
    json::parse(aProcess.LastLogLine(), nullptr, /* allow_exceptions */ false);
  if (!last.is_object() || last.value("event", "") != "stop") {
    ReportViolation("its last line doesn't say why it ended" +
                      HistoryText(aProcess),
                    aMember.m_vm,
                    {},
                    steady_clock::now());
  }
}

void
SoakFleet::RestoreAll()
{
  const auto end = steady_clock::now() + m_grace + 2 * kEndLimit;
  const auto isDone = [this] {
    return m_due.empty() && m_leaving.empty() &&
           std::all_of(m_members.begin(), m_members.end(), [](auto& aMember) {
             return aMember.m_current != nullptr;
           });
  };
  while (!isDone() && steady_clock::now() < end) {
    RunFor(kPoll);
  }
  EXPECT_TRUE(isDone()) << "seed " << m_seed;
}

void
SoakFleet::StopAll()
{
  for (Member& member : m_members) {
    if (member.m_current) {
      Stop(member, /* aStartsAtEnd */ false);
    }
  }
  const auto end = steady_clock::now() + m_grace + 2 * kEndLimit;
  while (!m_leaving.empty() && steady_clock::now() < end) {
    RunFor(kPoll);
  }
  EXPECT_TRUE(m_leaving.empty()) << "seed " << m_seed;
}

} // namespace siskindeal
