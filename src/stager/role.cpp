#include "siskindeal/role.h"
#include "kernel/end_of_process_p.h"
#include "siskindeal/log.h"
#include "stager/stager_p.h"

namespace siskindeal {

namespace {

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
    const auto settings = ReadStagerSettings(aSettingsFile);
    ConfigureLog("stager",
                 settings.m_node.m_vm,
                 ParseLogLevel(settings.m_node.m_logLevel),
                 LogStream::StandardOutput);
    RunToEnd([&] {
      Stager stager(settings);
      stager.Run();
    });
    return 0;
  }
};

const Registration<Role> kRegistered("stager", [] {
  return std::make_unique<StagerRole>();
});

} // namespace

} // namespace siskindeal
