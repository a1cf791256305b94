#include "cli/operator_command_p.h"
#include "cli/target_text_p.h"
#include "settings/values_p.h"

#include <iostream>
#include <thread>

namespace siskindeal {

namespace {

using Json = nlohmann::json;
using Deadline = std::optional<std::chrono::steady_clock::time_point>;

constexpr std::chrono::milliseconds kPollInterval{ 1000 };

std::vector<TargetStatus>
FetchStatuses(OperatorClient& aClient)
{
  std::vector<TargetStatus> statuses;
  const Json body = aClient.Read(kTargetsPath);
  for (const Json& status : body.at("targets")) {
    statuses.push_back(ParseTargetStatus(status.dump()));
  }
  return statuses;
}

TargetStatus
FetchStatus(OperatorClient& aClient, const std::string& aName)
{
  const Json body = aClient.Read(TargetPath(aName));
  if (!body.at("status").is_null()) {
    return ParseTargetStatus(body["status"].dump());
  }
  TargetStatus status;
  status.m_name = aName;
  status.m_version = body.at("target").at("version");
  status.m_blockedReason = "not yet picked up by a planner";
  return status;
}

void
PrintStatuses(const std::vector<TargetStatus>& aStatuses,
              bool aJson,
              std::ostream& aOut)
{
  if (!aJson) {
    PrintStatusTable(aStatuses, aOut);
    return;
  }
  Json all = Json::array();
  for (const TargetStatus& status : aStatuses) {
    all.push_back(Json::parse(ToJson(status)));
  }
  aOut << all.dump(2) << "\n";
}

ExitStatus
ToExitStatus(const std::vector<TargetStatus>& aStatuses)
{
  for (const TargetStatus& status : aStatuses) {
    if (!status.m_met) {
      return ExitStatus::NotMet;
    }
  }
  return ExitStatus::Done;
}

// Shows the progress of a target: on a terminal, one line that is overwritten;
// otherwise one line per change.
class ProgressDisplay
{
public:
  ProgressDisplay(bool aJson, Console& aConsole)
    : m_json(aJson)
    , m_console(aConsole)
  {
  }

  void Update(const TargetStatus& aStatus)
  {
    PrintLine(m_json ? ToJson(aStatus) : ProgressLine(aStatus));
  }

  void PrintLine(const std::string& aLine)
  {
    if (aLine == m_lastLine) {
      return;
    }
    m_lastLine = aLine;
    if (!m_console.m_isTerminal || m_json) {
      m_console.m_out << aLine << std::endl;
      return;
    }
    m_console.m_out << "\r\x1b[K" << aLine << std::flush; // erases the line
  }

  void EndLine()
  {
    if (m_console.m_isTerminal && !m_json) {
      m_console.m_out << "\n";
    }
  }

private:
  const bool m_json;
  Console& m_console;
  std::string m_lastLine;
};

// Polls until the target is met or the deadline passes; retries while no entry
// is available.
ExitStatus
WatchTarget(OperatorClient& aClient,
            const std::string& aName,
            const Deadline& aDeadline,
            bool aJson,
            Console& aConsole)
{
  ProgressDisplay display(aJson, aConsole);
  while (true) {
    try {
      const TargetStatus status = FetchStatus(aClient, aName);
      display.Update(status);
      if (status.m_met) {
        display.EndLine();
        return ExitStatus::Done;
      }
    } catch (const CommandError& error) {
      if (error.Status() != ExitStatus::Unreachable) {
        display.EndLine();
        throw;
      }
      aConsole.m_error << "siskindeal: " << error.what() << "\n";
    }
    if (aDeadline && std::chrono::steady_clock::now() >= *aDeadline) {
      display.EndLine();
      return ExitStatus::NotMet;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

Deadline
ParseDeadline(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("timeout") == 0) {
    return std::nullopt;
  }
  try {
    return std::chrono::steady_clock::now() +
           ParseDuration(aArguments["timeout"].as<std::string>());
  } catch (const std::invalid_argument& error) {
    throw CommandError(ExitStatus::Usage,
                       std::string("--timeout: ") + error.what());
  }
}

class TargetList final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "list targets and their progress";
  }
  std::string Details() const override
  {
    return "  siskindeal target list --output json\n\n";
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    PrintStatuses(
      FetchStatuses(aClient), aInvocation.m_json, aInvocation.m_console.m_out);
    return ExitStatus::Done;
  }
};

class TargetStatusCommand final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "show whether targets are met, or wait until one is";
  }
  std::string Details() const override
  {
    return "Shows every target if NAME is omitted. Exits with 0 if all shown "
           "targets are met,\nelse with 9. --watch shows progress and an "
           "estimate until the target is met or\n--timeout expires, and "
           "continues through outages of entries.\n\n  siskindeal target "
           "status\n  siskindeal target "
           "status sunday --watch --timeout 10m\n\n";
  }
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "NAME", "the target's name", false };
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()("watch", "wait until the target is met");
    aOptions.add_options()("timeout",
                           "how long --watch waits, such as 10m",
                           cxxopts::value<std::string>(),
                           "TIME");
  }
  void Validate(const cxxopts::ParseResult& aArguments) const override
  {
    ParseDeadline(aArguments);
    if (aArguments.count("watch") != 0) {
      RequiredArgument(aArguments, "NAME");
    }
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const bool isWatch = aInvocation.m_arguments.count("watch") != 0;
    const Deadline deadline = ParseDeadline(aInvocation.m_arguments);
    if (aInvocation.m_argument.empty()) {
      const auto statuses = FetchStatuses(aClient);
      PrintStatuses(statuses, aInvocation.m_json, aInvocation.m_console.m_out);
      return ToExitStatus(statuses);
    }
    const std::string& name = aInvocation.m_argument;
    if (isWatch) {
      return WatchTarget(
        aClient, name, deadline, aInvocation.m_json, aInvocation.m_console);
    }
    return PrintStatus(FetchStatus(aClient, name),
                       aInvocation.m_json,
                       aInvocation.m_console.m_out);
  }

private:
  static ExitStatus PrintStatus(const TargetStatus& aStatus,
                                bool aJson,
                                std::ostream& aOut)
  {
    if (aJson) {
      aOut << Json::parse(ToJson(aStatus)).dump(2) << "\n";
    } else {
      PrintStatusTable({ aStatus }, aOut);
      for (const std::string& event : aStatus.m_history) {
        aOut << "  " << event << "\n";
      }
    }
    return ToExitStatus({ aStatus });
  }
};

const Registration<Command> kList("target list", [] {
  return std::make_unique<TargetList>();
});
const Registration<Command> kStatus("target status", [] {
  return std::make_unique<TargetStatusCommand>();
});

} // namespace

} // namespace siskindeal
