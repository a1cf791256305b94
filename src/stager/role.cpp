#include "siskindeal/role.h"
#include "kernel/end_of_process_p.h"
#include "node/listen_p.h"
#include "node/signals_p.h"
#include "node/start_settings_p.h"
#include "siskindeal/log.h"
#include "stager/stager_p.h"

namespace siskindeal {

namespace {

// A stager ends at once, but its machine may be slow to end it.
constexpr std::chrono::milliseconds kLongestStop{ 10000 };

// Datagrams come first: of two processes that start at the same time, only one
// can bind that address.
std::vector<ListenAddress>
ListenAddresses(const NodeSettings& aNode)
{
  return { { "[node] rpc", aNode.m_rpc, /* datagrams */ true },
           { "[node] rpc", aNode.m_rpc } };
}

class StagerRole final : public Role
{
public:
  std::string Summary() const override
  {
    return "runs beside a model runner of a platform: fetches named weights "
           "and has the runner load them";
  }

  int Run(const std::string& aSettingsFile) override
  {
    const auto settings = ReadSettingsAtStart(
      "stager", LogStream::StandardOutput, aSettingsFile, ReadStagerSettings);
    ConfigureLog("stager",
                 settings.m_node.m_vm,
                 ParseLogLevel(settings.m_node.m_logLevel),
                 LogStream::StandardOutput);
    RunToEnd([&] {
      std::unique_ptr<Stager> stager;
      ListenWhenFree(ListenAddresses(settings.m_node), kLongestStop, [&] {
        stager = std::make_unique<Stager>(settings);
      });
      UnblockSignals(); // its handlers are installed
      stager->Run();
      BlockSignals(); // its handlers go before the process ends
    });
    return 0;
  }
};

const Registration<Role> kRegistered("stager", [] {
  return std::make_unique<StagerRole>();
});

} // namespace

} // namespace siskindeal
