#include "cli/operator_command_p.h"
#include "cli/table_p.h"

#include <iostream>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr const char* kQuarantinePath = "/v1/operator/quarantine";

class QuarantineList final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "list requests that crashed upstreams";
  }
  std::string Details() const override
  {
    return "A suspect was in flight when an upstream crashed and runs alone; a "
           "quarantined\nrequest has crashed an upstream again and is rejected "
           "everywhere with \"not run\".\n\n";
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const Json list = aClient.Read(kQuarantinePath).at("fingerprints");
    if (aInvocation.m_json) {
      aInvocation.m_console.m_out << list.dump(2) << "\n";
      return ExitStatus::Done;
    }
    TextTable table({ "FINGERPRINT", "STATE", "CLASS", "CRASHES" });
    for (const Json& entry : list) {
      table.Add({ entry.at("fingerprint").get<std::string>(),
                  entry.at("state").get<std::string>(),
                  entry.at("class").get<std::string>(),
                  entry.at("crashes").dump() });
    }
    table.Print(aInvocation.m_console.m_out);
    return ExitStatus::Done;
  }
};

class QuarantineRelease final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "allow a quarantined request to run again";
  }
  std::string Details() const override
  {
    return "  siskindeal quarantine release 00a1b2c3d4e5f607\n\n";
  }
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "FINGERPRINT",
                     "fingerprint as shown by `quarantine list`" };
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const std::string& fingerprint = aInvocation.m_argument;
    const Json body = aClient.CallIdempotent(
      "DELETE", std::string(kQuarantinePath) + "/" + fingerprint);
    if (aInvocation.m_json) {
      aInvocation.m_console.m_out << body.dump(2) << "\n";
    } else {
      aInvocation.m_console.m_out << fingerprint << " released\n";
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
