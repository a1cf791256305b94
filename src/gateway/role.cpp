#include "siskindeal/role.h"
#include "gateway/gateway_p.h"
#include "kernel/end_of_process_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

class GatewayRole final : public Role
{
public:
  std::string Summary() const override
  {
    return "runs on an entry VM of a platform: sends callers' requests to "
           "runners";
  }

  int Run(const std::string& aSettingsFile) override
  {
    const auto settings = ReadGatewaySettings(aSettingsFile);
    ConfigureLog("gateway",
                 settings.m_node.m_vm,
                 ParseLogLevel(settings.m_node.m_logLevel),
                 LogStream::StandardOutput);
    RunToEnd([&] {
      Gateway gateway(settings, aSettingsFile);
      gateway.Run();
    });
    return 0;
  }
};

const Registration<Role> kRegistered("gateway", [] {
  return std::make_unique<GatewayRole>();
});

} // namespace

} // namespace siskindeal
