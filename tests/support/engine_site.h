#pragma once
// Model runners and an origin of weights for tests of stagers, on loopback:
// each runner has a host of its own (127.0.0.x) and holds what its stager puts
// there.

#include "support/site.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

inline const std::string kEngineModel = "booking-7b";
inline constexpr std::size_t kEnginePieces = 12;

// The bytes of a piece, different for each version.
std::string
PieceBytes(std::uint64_t aVersion, std::size_t aPiece);

class EngineSite
{
public:
  explicit EngineSite(SiteStandIn& aSite);
  ~EngineSite();
  EngineSite(const EngineSite&) = delete;
  EngineSite& operator=(const EngineSite&) = delete;

  // Adds a runner that holds aVersion of the weights (0: none) and lists it.
  Address AddRunner(std::uint64_t aVersion);
  // What the store holds at config/main.
  const nlohmann::json& Config() const { return m_config; }
  // The operator names weights.
  void Name(std::uint64_t aVersion);

  // What a runner serves; 0: nothing.
  std::uint64_t Serves(std::size_t aRunner);
  // Whether every version that was ever taken was whole when it was.
  bool AllTakenWhole() { return Read(m_takenWhole); }
  // By the origin; connections that it reset.
  std::size_t ListsSent() { return Read(m_lists); }
  std::size_t PiecesSent() { return Read(m_pieces); }
  std::size_t Refused() { return Read(m_refused); }

  // The versions that a runner took, in that order.
  std::vector<std::uint64_t> Taken(std::size_t aRunner)
  {
    return Read(m_runners[aRunner]->m_taken);
  }

  // Set before stagers run.
  std::uint32_t m_running = 0;            // requests, as every runner reports
  std::size_t m_originConnections = 1000; // further ones are reset
  std::set<std::size_t> m_spoiltByOrigin; // pieces, the first time each is sent
  // Pieces that turn bad at runner 0 once it has all of them, once.
  std::set<std::size_t> m_spoiltWhenStaged;

private:
  struct Runner
  {
    std::string m_id;
    std::map<std::size_t, std::string> m_staged;
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
    std::vector<std::uint64_t> m_taken;
    std::unique_ptr<HttpListener> m_listener;
  };

  void AnswerOrigin(const std::shared_ptr<ServerConnection>& aConnection);
  void AnswerRunner(Runner& aRunner,
                    const std::shared_ptr<ServerConnection>& aConnection);
  void TakeOrder(Runner& aRunner,
                 const std::shared_ptr<ServerConnection>& aConnection);
  void MaybeSpoil(Runner& aRunner);
  nlohmann::json ModelsJson(const Runner& aRunner) const;

  // What the stand-in's thread holds, as it is now.
  template<typename Value>
  Value Read(const Value& aValue)
  {
    Value read{};
    m_site.On([&] { read = aValue; });
    return read;
  }

  SiteStandIn& m_site;
  nlohmann::json m_config;
  std::uint64_t m_newest = 1;
  std::size_t m_lists = 0;
  std::size_t m_refused = 0;
  std::size_t m_pieces = 0;
  bool m_takenWhole = true;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::unique_ptr<HttpListener> m_origin;
};

} // namespace siskindeal
