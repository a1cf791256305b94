#include "cli/client_p.h"
#include "cli/command_p.h"
#include "cli/table_p.h"

#include <iostream>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr const char* kQuarantinePath = "/v1/operator/quarantine";

class QuarantineList final : public Command
{
public:
  std::string Summary() const override
  {
    return "list requests that crashed upstreams";
  }
  std::string Explanation() const override
  {
    return std::string(
             "A suspect was in flight at a crash and runs alone; a quarantined "
             "request has crashed\nan upstream again and is refused everywhere "
             "with \"not run\".\n\n") +
           kClientExplanation;
  }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    OperatorClient client(ClientSettingsOf(aArguments));
    const Json list = client.Read(kQuarantinePath).at("fingerprints");
    if (json) {
      aConsole.m_out << list.dump(2) << "\n";
      return ExitStatus::Done;
    }
    TextTable table({ "FINGERPRINT", "STATE", "CLASS", "CRASHES" });
    for (const Json& entry : list) {
      table.Add({ entry.at("fingerprint").get<std::string>(),
                  entry.at("state").get<std::string>(),
                  entry.at("class").get<std::string>(),
                  entry.at("crashes").dump() });
    }
    table.Print(aConsole.m_out);
    return ExitStatus::Done;
  }
};

class QuarantineRelease final : public Command
{
public:
  std::string Summary() const override
  {
    return "let a quarantined request run again";
  }
  std::string Explanation() const override
  {
    return std::string("  siskindeal quarantine release 00a1b2c3d4e5f607\n\n") +
           kClientExplanation;
  }
  std::string Positional() const override { return "FINGERPRINT"; }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options("hidden")("FINGERPRINT",
                                   "as quarantine list shows it",
                                   cxxopts::value<std::string>());
    aOptions.parse_positional({ "FINGERPRINT" });
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    const std::string print = RequiredArgument(aArguments, "FINGERPRINT");
    OperatorClient client(ClientSettingsOf(aArguments));
    const Json body =
      client.Repeatable("DELETE", std::string(kQuarantinePath) + "/" + print);
    if (json) {
      aConsole.m_out << body.dump(2) << "\n";
    } else {
      aConsole.m_out << print << " released\n";
    }
    return ExitStatus::Done;
  }
};

const Registration<Command> kList("quarantine list", [] {
  return std::make_unique<QuarantineList>();
});
const Registration<Command> kRelease("quarantine release", [] {
  return std::make_unique<QuarantineRelease>();
});

} // namespace

} // namespace siskindeal
