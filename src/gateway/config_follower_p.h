#pragma once
// Asks another gateway for the configuration and the list of runners, and how
// recent they are.

#include "gateway/config_sources_p.h"
#include "net/http_connection_p.h"
#include "siskindeal/random.h"
#include "site/config_relay_p.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace siskindeal {

class ConfigFollower : public std::enable_shared_from_this<ConfigFollower>
{
public:
  // What is known already; the follower adds how long to wait.
  using Knowledge = std::function<ConfigQuestion()>;
  // Gets a reply, the boot time up to which all changes are known by it, and
  // the gateway that sent it.
  using ReplyHandler = std::function<void(const v1::ConfigReply&,
                                          std::chrono::milliseconds,
                                          const std::string&)>;

  ConfigFollower(Loop& aLoop,
                 std::shared_ptr<ConnectionPool> aPool,
                 Knowledge aKnowledge,
                 ReplyHandler aOnReply);

  // Asks aPeer from now on, again after each reply; without a value, none.
  void Follow(const std::optional<ConfigHolder>& aPeer);

private:
  void ScheduleNext(std::chrono::milliseconds aDelay);
  void Ask();
  void OnReply(const ConfigHolder& aPeer,
               const BufferedResponse& aAnswer,
               std::chrono::milliseconds aSentAt);

  Loop& m_loop;
  std::shared_ptr<ConnectionPool> m_pool;
  Knowledge m_knowledge;
  ReplyHandler m_onReply;
  Timer m_timer;
  Random m_random;
  std::optional<ConfigHolder> m_peer;
  std::set<std::string> m_asked; // VMs whose reply is outstanding
};

} // namespace siskindeal
