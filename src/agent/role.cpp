#include "siskindeal/role.h"
#include "agent_p.h"
#include "kernel/end_of_process_p.h"
#include "node/listen_p.h"
#include "node/signals_p.h"
#include "node/start_settings_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

class AgentRole final : public Role
{
public:
  std::string Summary() const override
  {
    return "runs next to an upstream: forwards requests and orders, and "
           "fetches weights";
  }

  int Run(const std::string& aSettingsFile) override
  {
    const auto settings = ReadSettingsAtStart(
      "agent", LogStream::StandardError, aSettingsFile, ReadAgentSettings);
    ConfigureLog(
      "agent", settings.m_node.m_vm, ParseLogLevel(settings.m_node.m_logLevel));
    RunToEnd([&] {
      std::unique_ptr<AgentNode> agent;
      ListenWhenFree({ { "[node] rpc", settings.m_node.m_rpc },
                       { "[node] http", settings.m_node.m_http } },
                     settings.m_drain.m_longest + kStopReserve,
                     [&] { agent = std::make_unique<AgentNode>(settings); });
      WaitForStopSignal();
      agent->Drain();
    });
    Log(LogLevel::Info, "stop");
    return 0;
  }
};

const Registration<Role> kRegistered("agent", [] {
  return std::make_unique<AgentRole>();
});

} // namespace

} // namespace siskindeal
