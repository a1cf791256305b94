#pragma once
// A gateway's process: it takes callers' requests and sends each to a runner.
// One loop runs all of it.

#include "dispatch/named_versions_p.h"
#include "dispatch/placement_p.h"
#include "dispatch/retry_budget_p.h"
#include "gateway/crash_watch_p.h"
#include "gateway/peers_p.h"
#include "gateway/route_index_p.h"
#include "net/datagrams_p.h"
#include "net/http_server_p.h"
#include "siskindeal/log.h"
#include "site/object_feed_p.h"

#include <boost/asio/signal_set.hpp>

#include <set>

namespace siskindeal {

class CallerExchange;

inline constexpr std::string_view kGatewayKind =
  "gateways"; // objects of our own

class Gateway
{
public:
  // aSettingsFile is read again at SIGHUP; empty: none.
  explicit Gateway(const GatewaySettings& aSettings,
                   std::string aSettingsFile = {});
  ~Gateway();

  // Serves until a stop signal has come and what was in progress has ended.
  void Run();

  // Begins a planned stop, as SIGTERM does; from any thread.
  void AskToLeave();
  // Where it listens, once it runs; for settings with port 0.
  std::uint16_t CallersPort() const { return m_callers->Port(); }
  std::uint16_t DirectoryPort() const { return m_directory->Port(); }
  std::uint16_t ReadyPort() const { return m_ready->Port(); }
  std::uint16_t PagesPort() const { return m_pages->Port(); }
  std::uint16_t DatagramPort() const { return m_datagrams->Port(); }

  // For exchanges.

  const std::shared_ptr<const RouteIndex>& Routes() const { return m_routes; }
  RunnerTable& Runners() { return m_runners; }
  Placer& Placing() { return m_placer; }
  SharedRetryBudget& Retries() { return m_retries; }
  CrashWatch& Crashes() { return m_crashes; }
  const std::shared_ptr<ConnectionPool>& Pool() const { return m_pool; }
  Random& Chance() { return m_random; }
  // Whether the configuration is recent enough to accept keys by it.
  bool ConfigIsFresh() const;
  std::chrono::milliseconds ConfigAge() const;
  // Sets which weights the request may run on.
  void SetVersions(RequestShape& aShape) const;
  void Add(const std::shared_ptr<CallerExchange>& aExchange);
  void Remove(const std::shared_ptr<CallerExchange>& aExchange);
  // One line about a request, unless too many were written just now.
  void LogRequest(LogLevel aLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields);

private:
  void OnConfig(const SiteObject& aObject);
  void OnRunner(const SiteObject& aObject);
  void OnRunners(const std::vector<SiteObject>& aObjects);
  // aAge: how long ago it was named, as far as is known.
  void OnVersion(const SiteObject& aObject, std::chrono::milliseconds aAge);
  void NoteNamed(
    const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed);
  void OnGateway(const SiteObject& aObject);
  void OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom);
  void OnBeacon(const v1::GatewayBeacon& aBeacon, const Address& aFrom);
  void OnRegionReport(const v1::Datagram& aDatagram);
  void OnStagerNotice(const v1::StagerNotice& aNotice);
  void NoteRunner(RunnerState& aRunner, const v1::RunnerReport& aReport);
  void Register();
  v1::Datagram Beacon() const;
  v1::Datagram BeaconWithLoads() const;
  void SendNear(const v1::Datagram& aDatagram);
  void TellRegion();
  void TellAlive(bool aWithNamed);
  void TellOtherRegions(bool aWithNamed);
  void AddRegionLoads(v1::RegionReport& aReport);
  void TellStagers();
  void ApplyPeerLoads();
  void Tick();
  void AnswerReady(const std::shared_ptr<ServerConnection>& aConnection);
  void AnswerDirectory(const std::shared_ptr<ServerConnection>& aConnection);
  void AnswerPages(const std::shared_ptr<ServerConnection>& aConnection);
  std::string StateJson() const;
  bool TakesCallers() const;
  // Whether callers should be told this address.
  bool IsNamed() const;
  void AwaitSignal();
  void Reload();
  void Leave();
  void MaybeStop();
  std::shared_ptr<ObjectFeed> Feed(std::string_view aKind,
                                   FeedPace aPace,
                                   FeedEvents aEvents);

  GatewaySettings m_settings;
  std::string m_settingsFile;
  Address m_store;
  Loop m_loop{ 1 };
  std::shared_ptr<ConnectionPool> m_pool;
  Random m_random;
  std::shared_ptr<const RouteIndex> m_routes; // null before the first config
  RunnerTable m_runners;
  bool m_haveRunners = false;
  Placer m_placer;
  SharedRetryBudget m_retries;
  CrashWatch m_crashes{ m_loop };
  // What a stager of this region told last of its runner.
  struct HeardRunner
  {
    v1::RunnerReport m_report;
    MonotonicTime m_at{};
  };

  GatewayPeers m_peers;
  std::map<std::string, HeardRunner> m_ownRunners; // by id
  std::string m_region;
  std::string m_toldRegion; // the last beacon's loads, serialized
  NamedVersions m_named;
  std::uint64_t m_incarnation;
  std::set<std::shared_ptr<CallerExchange>> m_exchanges;
  std::optional<MonotonicTime> m_leavingSince;
  double m_logTokens = 0;
  std::uint64_t m_logDropped = 0;

  std::uint32_t m_ticks = 0;
  Timer m_ticker;
  Timer m_registerTimer;
  boost::asio::signal_set m_signals;
  std::unique_ptr<HttpListener> m_callers;
  std::unique_ptr<HttpListener> m_ready;
  std::unique_ptr<HttpListener> m_directory;
  std::unique_ptr<HttpListener> m_pages;
  std::unique_ptr<DatagramSocket> m_datagrams;
  std::shared_ptr<ObjectFeed> m_configFeed;
  std::shared_ptr<ObjectFeed> m_runnerFeed;
  std::shared_ptr<ObjectFeed> m_versionFeed;
  std::shared_ptr<ObjectFeed> m_gatewayFeed;
};

} // namespace siskindeal
