#pragma once
// Passes the configuration, the list of runners and the named versions of
// weights on to other processes that ask for them.

#include "dispatch/named_versions_p.h"
#include "net/http_server_p.h"
#include "site/config_relay_p.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// What a gateway can pass on.
struct ConfigSnapshot
{
  std::uint64_t m_version = 0;
  StorePosition m_position;                    // up to which all is known
  std::chrono::milliseconds m_knownUntil{ 0 }; // boot time, likewise
  std::shared_ptr<const std::string> m_spec;   // compressed with gzip
  // Likewise, of the list of runners.
  std::chrono::milliseconds m_runnersKnownUntil{ 0 };
  std::uint64_t m_storedVersion = 0; // that the store holds at m_position
  // Boot time since which the list of runners was known without a gap.
  std::chrono::milliseconds m_runnersWithoutGapSince{ 0 };

  // Up to when everything that is passed on is known.
  std::chrono::milliseconds KnownUntil() const
  {
    return std::min(m_knownUntil, m_runnersKnownUntil);
  }
};

// A question names the version that its sender has, how long ago that was known
// to be the newest, and how long to wait for news. Without news the response is
// held, so that what is learned meanwhile is passed on at once.
class ConfigServer
{
public:
  ConfigServer(const RunnerList& aRunners, const NamedVersions& aNamed)
    : m_runners(aRunners)
    , m_named(aNamed)
  {
  }

  // aConnection has received a request for kConfigPath.
  void Answer(const std::shared_ptr<ServerConnection>& aConnection);
  // Sets what is passed on and answers the questions that it is news to.
  void Update(ConfigSnapshot aSnapshot);
  // Answers the questions that have waited long enough.
  void Tick();

private:
  struct Question
  {
    std::shared_ptr<ServerConnection> m_connection;
    std::uint64_t m_version = 0;
    std::optional<RunnerListMark> m_runners;    // unset: not wanted
    std::chrono::milliseconds m_arrivedAt{ 0 }; // boot time, as the next two
    std::chrono::milliseconds m_knownUntil{ 0 };
    std::chrono::milliseconds m_answerAt{ 0 };
  };

  bool HasNewsFor(const Question& aQuestion) const;
  void Respond(const Question& aQuestion) const;
  void AnswerSome(bool (ConfigServer::*aIsDue)(const Question&) const);
  bool IsDue(const Question& aQuestion) const;

  const RunnerList& m_runners;
  const NamedVersions& m_named;
  ConfigSnapshot m_snapshot;
  std::vector<Question> m_held;
};

} // namespace siskindeal
