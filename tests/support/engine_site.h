#pragma once
// Fake model runners and a fake weights origin for stager tests, on loopback.
// Each runner has its own host (127.0.0.x) and keeps the pieces that its stager
// stores.

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

// Returns the content of a piece, which differs per version.
std::string
PieceBytes(std::uint64_t aVersion, std::size_t aPiece);

class EngineSite
{
public:
  explicit EngineSite(SiteStandIn& aSite);
  ~EngineSite();
  EngineSite(const EngineSite&) = delete;
  EngineSite& operator=(const EngineSite&) = delete;

  // Adds a runner with aVersion loaded (0 for none) and lists it in the store.
  Address AddRunner(std::uint64_t aVersion);
  // The object config/main of the store.
  const nlohmann::json& Config() const { return m_config; }
  // Publishes aVersion as the newest, as an operator does.
  void PublishVersion(std::uint64_t aVersion);

  // Returns the version that a runner serves; 0 for none.
  std::uint64_t ServedVersion(std::size_t aRunner);
  // True if every load so far found all pieces complete and correct.
  bool AllLoadsIntact() { return Read(m_loadsIntact); }
  // Counts of the origin: responses sent, and connections reset.
  std::size_t ListsSent() { return Read(m_listsSent); }
  std::size_t PiecesSent() { return Read(m_piecesSent); }
  std::size_t RefusedConnections() { return Read(m_refusedConnections); }

  // Returns the versions that a runner loaded, in order.
  std::vector<std::uint64_t> LoadedVersions(std::size_t aRunner)
  {
    return Read(m_runners[aRunner]->m_loadedVersions);
  }

  // Set these before stagers start.
  std::uint32_t m_reportedRunning = 0; // requests, reported by each runner
  std::size_t m_maxOriginConnections = 1000; // further ones are reset
  std::set<std::size_t> m_corruptFromOrigin; // pieces, on first send
  // The origin leaves requests for its pieces unanswered.
  std::uint64_t m_withheldVersion = 0;
  // Pieces corrupted once at runner 0, when it has all of them.
  std::set<std::size_t> m_corruptWhenStaged;
  // Pieces corrupted once at runner 0, as soon as they are read back.
  std::set<std::size_t> m_corruptAfterRead;
  // Pieces that runner 0 once reads back kSlowRead late, when it has all.
  std::set<std::size_t> m_slowReads;
  static constexpr std::chrono::milliseconds kSlowRead{ 700 };

private:
  struct Runner
  {
    std::string m_id;
    std::map<std::size_t, std::string> m_staged;
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
    std::vector<std::uint64_t> m_loadedVersions;
    std::unique_ptr<HttpListener> m_listener;
  };

  void ServeOrigin(const std::shared_ptr<ServerConnection>& aConnection);
  void ServeRunner(Runner& aRunner,
                   const std::shared_ptr<ServerConnection>& aConnection);
  void HandleOrder(Runner& aRunner,
                   const std::shared_ptr<ServerConnection>& aConnection);
  void MaybeCorruptStaged(Runner& aRunner);
  void SendStaged(Runner& aRunner,
                  std::size_t aPiece,
                  const std::shared_ptr<ServerConnection>& aConnection);
  // Whether the faults of runner 0's staging area apply.
  bool IsStagedAtFirst(const Runner& aRunner) const;
  nlohmann::json ModelsJson(const Runner& aRunner) const;

  // Copies aValue on the stand-in's thread.
  template<typename Value>
  Value Read(const Value& aValue)
  {
    Value read{};
    m_site.RunOnLoop([&] { read = aValue; });
    return read;
  }

  SiteStandIn& m_site;
  nlohmann::json m_config;
  std::uint64_t m_newest = 1;
  std::size_t m_listsSent = 0;
  std::size_t m_refusedConnections = 0;
  std::size_t m_piecesSent = 0;
  bool m_loadsIntact = true;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::unique_ptr<HttpListener> m_origin;
  std::vector<std::shared_ptr<ServerConnection>> m_unanswered;
};

} // namespace siskindeal
