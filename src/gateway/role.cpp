#include "siskindeal/role.h"
#include "gateway/gateway_p.h"
#include "kernel/end_of_process_p.h"
#include "node/listen_p.h"
#include "node/signals_p.h"
#include "node/start_settings_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

// Datagrams come first: of two processes that start at the same time, only one
// can bind that address.
std::vector<ListenAddress>
ListenAddresses(const GatewaySettings& aSettings)
{
  return { { "[node] rpc", aSettings.m_node.m_rpc, /* datagrams */ true },
           { "[node] rpc", aSettings.m_node.m_rpc },
           { "[node] http", aSettings.m_node.m_http },
           { "[gateway] ready", aSettings.m_gateway.m_ready },
           { "[gateway] directory", aSettings.m_gateway.m_directory } };
}

// The time within which a process that is stopping has ended.
std::chrono::milliseconds
LongestStop(const GatewaySettings& aSettings)
{
  return kStopReserve +
         std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::duration<double>(aSettings.m_gateway.m_graceSeconds));
}

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
    const auto settings = ReadSettingsAtStart(
      "gateway", LogStream::StandardOutput, aSettingsFile, ReadGatewaySettings);
    ConfigureLog("gateway",
                 settings.m_node.m_vm,
                 ParseLogLevel(settings.m_node.m_logLevel),
                 LogStream::StandardOutput);
    RunToEnd([&] {
      std::unique_ptr<Gateway> gateway;
      ListenWhenFree(ListenAddresses(settings), LongestStop(settings), [&] {
        gateway = std::make_unique<Gateway>(settings, aSettingsFile);
      });
      UnblockSignals(); // its handlers are installed
      gateway->Run();
      BlockSignals(); // its handlers go before the process ends
    });
    return 0;
  }
};

const Registration<Role> kRegistered("gateway", [] {
  return std::make_unique<GatewayRole>();
});

} // namespace

} // namespace siskindeal
