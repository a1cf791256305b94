#include "siskindeal/role.h"
#include "entry_p.h"
#include "kernel/end_of_process_p.h"
#include "node/listen_p.h"
#include "node/signals_p.h"
#include "node/start_settings_p.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

class EntryRole final : public Role
{
public:
  std::string Summary() const override
  {
    return "runs on an entry VM: serves callers and operators, and plans "
           "rollouts";
  }

  int Run(const std::string& aSettingsFile) override
  {
    const auto settings = ReadSettingsAtStart(
      "entry", LogStream::StandardError, aSettingsFile, ReadEntrySettings);
    ConfigureLog(
      "entry", settings.m_node.m_vm, ParseLogLevel(settings.m_node.m_logLevel));
    RunToEnd([&] {
      std::unique_ptr<EntryNode> entry;
      ListenWhenFree({ { "[node] rpc", settings.m_node.m_rpc },
                       { "[node] http", settings.m_node.m_http } },
                     settings.m_drain.m_longest + kStopReserve,
                     [&] { entry = std::make_unique<EntryNode>(settings); });
      WaitForStopSignal();
      entry->Drain();
    });
    Log(LogLevel::Info, "stop");
    return 0;
  }
};

const Registration<Role> kRegistered("entry", [] {
  return std::make_unique<EntryRole>();
});

} // namespace

} // namespace siskindeal
