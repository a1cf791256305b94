#include "cli/operator_command_p.h"
#include "cli/target_text_p.h"
#include "settings/values_p.h"

#include <iostream>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

void
AddTargetOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("class",
                         "class of work, as named in the configuration",
                         cxxopts::value<std::string>(),
                         "CLASS");
  aOptions.add_options()("vms",
                         "number of VMs that should serve",
                         cxxopts::value<std::uint32_t>(),
                         "N");
  aOptions.add_options()("share",
                         "instead of --vms: share of the VMs in the places, "
                         "above 0 and at most 1",
                         cxxopts::value<double>(),
                         "X");
  aOptions.add_options()("place",
                         "place to use; may be repeated; default: every place",
                         cxxopts::value<std::vector<std::string>>(),
                         "PLACE");
  aOptions.add_options()("within",
                         "deadline from now, such as 10m",
                         cxxopts::value<std::string>(),
                         "TIME");
  aOptions.add_options()("time-weight",
                         "1 counts only time, 0 only bytes from the origin",
                         cxxopts::value<double>(),
                         "X");
}

std::int64_t
ParseWithinSeconds(const std::string& aText)
{
  try {
    const auto within = ParseDuration(aText);
    const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(within);
    if (seconds.count() > 0 && seconds == within) {
      return seconds.count();
    }
  } catch (const std::invalid_argument& error) {
    throw CommandError(ExitStatus::Usage,
                       std::string("--within: ") + error.what());
  }
  throw CommandError(ExitStatus::Usage, "--within: expected whole seconds");
}

// Sets the members of a target for the options that are present.
void
ApplyOptions(const cxxopts::ParseResult& aArguments, Json& aTarget)
{
  if (aArguments.count("vms") != 0 && aArguments.count("share") != 0) {
    throw CommandError(ExitStatus::Usage,
                       "expected --vms or --share, not both");
  }
  if (aArguments.count("class") != 0) {
    aTarget["class"] = aArguments["class"].as<std::string>();
  }
  if (aArguments.count("vms") != 0) {
    aTarget.erase("share");
    aTarget["vms"] = aArguments["vms"].as<std::uint32_t>();
  }
  if (aArguments.count("share") != 0) {
    aTarget.erase("vms");
    aTarget["share"] = aArguments["share"].as<double>();
  }
  if (aArguments.count("place") != 0) {
    aTarget["places"] = aArguments["place"].as<std::vector<std::string>>();
  }
  if (aArguments.count("within") != 0) {
    aTarget["within_s"] =
      ParseWithinSeconds(aArguments["within"].as<std::string>());
  }
  if (aArguments.count("time-weight") != 0) {
    aTarget["time_weight"] = aArguments["time-weight"].as<double>();
  }
}

void
PrintChange(const std::string& aVerb,
            const std::string& aName,
            const Json& aObject,
            bool aJson,
            Console& aConsole)
{
  if (aJson) {
    aConsole.m_out << aObject.dump(2) << "\n";
    return;
  }
  aConsole.m_out << "target \"" << aName << "\" " << aVerb;
  if (aObject.contains("version")) {
    aConsole.m_out << ", version " << aObject["version"];
  }
  aConsole.m_out << "\n";
}

class TargetCommand : public OperatorCommand
{
protected:
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "NAME", "the target's name" };
  }
};

class TargetCreate final : public TargetCommand
{
public:
  std::string Summary() const override { return "create a target"; }
  std::string Details() const override
  {
    return "A target sets how many VMs should serve the current release of a "
           "class of work, in\nwhich places and by when. The catalogue defines "
           "the current release; a target never\nnames weights or "
           "addresses.\n\n"
           "  siskindeal target create sunday --class \"booking chat\" "
           "--vms 12 --within 10m\n  siskindeal target create rounds "
           "--class rounds --share 0.5 --place burton\n\n";
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    AddTargetOptions(aOptions);
  }
  void Validate(const cxxopts::ParseResult& aArguments) const override
  {
    if (aArguments.count("class") == 0 ||
        aArguments.count("vms") + aArguments.count("share") == 0) {
      throw CommandError(ExitStatus::Usage,
                         "expected --class and either --vms or --share");
    }
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const std::string& name = aInvocation.m_argument;
    Json target = { { "name", name } };
    ApplyOptions(aInvocation.m_arguments, target);
    const Json object =
      aClient.Change({ "PUT", TargetPath(name), 0, target.dump() });
    PrintChange(
      "stated", name, object, aInvocation.m_json, aInvocation.m_console);
    return ExitStatus::Done;
  }
};

class TargetRevise final : public TargetCommand
{
public:
  std::string Summary() const override { return "change a target"; }
  std::string Details() const override
  {
    return "Members without an option keep their values. The change applies to "
           "the version that\nwas read, or to --version; if someone else has "
           "changed the target since, nothing is\nchanged and both changes are "
           "shown.\n\n"
           "  siskindeal target revise sunday --vms 20\n\n";
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    AddTargetOptions(aOptions);
    aOptions.add_options()("every-place", "remove the list of places");
    AddVersionOption(aOptions, "change only this version");
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const std::string& name = aInvocation.m_argument;
    Json target = aClient.Read(TargetPath(name)).at("target");
    const auto version = GetVersionOption(aInvocation.m_arguments)
                           .value_or(target.at("version").get<std::uint64_t>());
    target.erase("version");
    target.erase("stated_at");
    if (aInvocation.m_arguments.count("every-place") != 0) {
      target.erase("places");
    }
    ApplyOptions(aInvocation.m_arguments, target);
    const Json object =
      aClient.Change({ "PUT", TargetPath(name), version, target.dump() });
    PrintChange(
      "revised", name, object, aInvocation.m_json, aInvocation.m_console);
    return ExitStatus::Done;
  }
};

class TargetDelete final : public TargetCommand
{
public:
  std::string Summary() const override { return "delete a target"; }
  std::string Details() const override
  {
    return "VMs that are serving continue to serve; the target is no longer "
           "enforced.\n\n  siskindeal target delete sunday\n\n";
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    AddVersionOption(aOptions, "delete only this version");
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const std::string& name = aInvocation.m_argument;
    auto version = GetVersionOption(aInvocation.m_arguments);
    if (!version) {
      version = aClient.Read(TargetPath(name)).at("target").at("version");
    }
    const Json object =
      aClient.Change({ "DELETE", TargetPath(name), *version });
    PrintChange(
      "withdrawn", name, object, aInvocation.m_json, aInvocation.m_console);
    return ExitStatus::Done;
  }
};

const Registration<Command> kCreate("target create", [] {
  return std::make_unique<TargetCreate>();
});
const Registration<Command> kRevise("target revise", [] {
  return std::make_unique<TargetRevise>();
});
const Registration<Command> kDelete("target delete", [] {
  return std::make_unique<TargetDelete>();
});

} // namespace

} // namespace siskindeal
