#pragma once
// The gateway process: accepts callers' requests and forwards each to a runner.
// Single-threaded: everything runs on one event loop.

#include "dispatch/answer_length_p.h"
#include "dispatch/evacuations_p.h"
#include "dispatch/list_outage_p.h"
#include "dispatch/named_versions_p.h"
#include "dispatch/placement_p.h"
#include "dispatch/priority_admission_p.h"
#include "dispatch/retry_budget_p.h"
#include "dispatch/route_durations_p.h"
#include "gateway/config_follower_p.h"
#include "gateway/config_lag_p.h"
#include "gateway/config_server_p.h"
#include "gateway/crash_watch_p.h"
#include "gateway/link_delays_p.h"
#include "gateway/peers_p.h"
#include "gateway/recent_deliveries_p.h"
#include "gateway/route_index_p.h"
#include "gateway/suspicion_store_p.h"
#include "net/datagrams_p.h"
#include "net/http_server_p.h"
#include "net/tick_delay_p.h"
#include "siskindeal/log.h"
#include "site/object_feed_p.h"

#include <boost/asio/signal_set.hpp>

#include <set>

namespace siskindeal {

class CallerExchange;

inline constexpr std::string_view kGatewayKind =
  "gateways"; // kind of the store objects that register gateways

RetryAllowance
AllowanceOf(const GatewayRoleSettings& aSettings);

class Gateway
{
public:
  // aSettingsFile is reloaded on SIGHUP; empty: no file.
  explicit Gateway(const GatewaySettings& aSettings,
                   std::string aSettingsFile = {});
  ~Gateway();

  // Serves until a stop signal arrives and requests in flight have completed or
  // the grace period is over.
  void Run();

  // Starts a graceful shutdown, as SIGTERM does. Thread-safe.
  void RequestShutdown();
  // The bound ports, for settings with port 0.
  std::uint16_t CallersPort() const { return m_callerListener->Port(); }
  std::uint16_t DirectoryPort() const { return m_directoryListener->Port(); }
  std::uint16_t ReadyPort() const { return m_readyListener->Port(); }
  std::uint16_t AdminPort() const { return m_adminListener->Port(); }
  std::uint16_t DatagramPort() const { return m_datagrams->Port(); }

  // Used by CallerExchange.

  const std::shared_ptr<const RouteIndex>& Routes() const { return m_routes; }
  RunnerTable& Runners() { return m_runners; }
  RunnerLimits& Limits() { return m_limits; }
  const RunnerNotices& Notices() const { return m_notices; }
  // Records what a runner states about itself in its response to a request.
  void RecordNotice(const std::string& aRequest,
                    const RunnerIncarnation& aRunner,
                    const ResponseHead& aHead,
                    MonotonicTime aSentAt);
  Placer& RequestPlacer() { return m_placer; }
  SharedRetryBudget& Retries() { return m_retries; }
  CrashWatch& Crashes() { return m_crashes; }
  // Whether this start of a runner is known to have ended: it refused a
  // connection, or a later start is known. One that left the list may live.
  bool HasEnded(const RunnerIncarnation& aRunner) const;
  SuspicionExchange& Suspicions() { return m_suspicions; }
  // Whether a request has crashed its runners and isn't to be tried again here.
  bool IsQuarantined(std::uint64_t aFingerprint) const;
  // Whether a request may be sent in view of the parts of its prompt.
  PartDecision DecideParts(const std::vector<PromptPart>& aParts) const;
  const std::shared_ptr<ConnectionPool>& Pool() const { return m_pool; }
  // A connection to a runner in aRegion: a new one in place of an idle one if
  // it must be unshared, and if the link to another region may queue, since
  // that handshakes first.
  std::shared_ptr<HttpConnection> Connect(const Address& aRunner,
                                          const std::string& aRegion,
                                          bool aIsUnshared);
  RecentDeliveries& Deliveries() { return m_deliveries; }
  Loop& EventLoop() { return m_loop; }
  Random& Rng() { return m_random; }
  RouteDurations& Durations() { return m_durations; }
  // Whether a request of the route that begins now is answered before a planned
  // stop ends it. True unless the gateway is stopping.
  bool CompletesBeforeStop(const std::string& aRoute,
                           std::chrono::milliseconds aUntilDeadline) const;
  // Whether the configuration is recent enough to authenticate callers with.
  bool ConfigIsFresh() const;
  std::chrono::milliseconds ConfigAge() const;
  // Whether another gateway has had a newer configuration for so long that
  // requests must not be judged by this one's.
  bool ConfigIsSuperseded() const;
  // Whether it is known which places are evacuated, if they can be at all.
  bool KnowsEvacuations() const;
  // Whether what crashes runners has been read from the store, or has not come
  // within the time that callers are kept waiting for it.
  bool KnowsSuspicions() const;
  // Whether the costs of a service's requests are learned: its routes have
  // different priorities.
  bool LearnsCosts(const std::string& aService) const;
  AnswerLengths& Lengths() { return m_lengths; }
  PriorityAdmission& Admission() { return m_admission; }
  // Records the pace that a runner states; 0: none.
  void RecordPace(RunnerState& aRunner, double aPace);
  // Sets the versions of weights that the request may run on.
  void SetVersions(RequestShape& aShape) const;
  // The version that nothing must begin without any more, even what was sent
  // before it was due; none for an unnamed model.
  std::optional<std::uint64_t> OverdueVersion(const std::string& aModel) const;
  void Add(const std::shared_ptr<CallerExchange>& aExchange);
  void Remove(const std::shared_ptr<CallerExchange>& aExchange);
  // Counts bytes exchanged with a runner, if it is in another region.
  void CountRegionBytes(const std::string& aRegion,
                        const char* aKind,
                        std::size_t aBytes) const;
  // Logs one line about a request, subject to a rate limit.
  void LogRequest(LogLevel aLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields);

private:
  // What a heartbeat and a region report of one round have in common.
  struct Advertisement
  {
    std::vector<wire::Suspicion> m_suspicions;
    std::vector<v1::PartSuspicion> m_partSuspicions;
    std::vector<v1::RunnerLimitReport> m_limits;
    std::vector<v1::RunnerLeavingReport> m_leaving;
  };

  // A configuration that the store held, in the order of eras and versions.
  struct StoredConfig
  {
    std::uint64_t m_era = 0;
    std::uint64_t m_version = 0;

    bool operator<(const StoredConfig& aOther) const
    {
      return std::tie(m_era, m_version) <
             std::tie(aOther.m_era, aOther.m_version);
    }
  };

  // Returns none if the object isn't a valid configuration. aSource: the store
  // or the gateway that it comes from.
  static std::optional<SiteConfig> ReadConfig(const SiteObject& aObject,
                                              std::string_view aSource);
  // Returns whether it is newer than the present configuration. aBytes: its
  // encoded size.
  bool ApplyConfig(SiteConfig aConfig,
                   std::size_t aBytes,
                   std::string_view aSource);
  // Logs the regions that routes and teams name and no place is in.
  void LogUnknownHomes(const SiteConfig& aConfig) const;
  void OnStoredConfig(const SiteObject& aObject);
  void RecordStoredConfig(const StoredConfig& aStored);
  // Records that all changes up to aKnownUntil (boot time) are known, unless
  // the store has lost the present configuration.
  void RecordConfigKnown(std::chrono::milliseconds aKnownUntil);
  void OnConfigKnownByPeer(const v1::ConfigReply& aReply,
                           std::chrono::milliseconds aKnownUntil);
  // Has everything read and written again that a store may have lost.
  void OnStoreEra(std::uint64_t aEra);
  void OnConfigReply(const v1::ConfigReply& aReply,
                     std::chrono::milliseconds aKnownUntil,
                     const std::string& aPeer);
  ConfigKnowledge OwnConfig() const;
  // What this gateway asks another one for.
  ConfigQuestion OwnQuestion() const;
  // Passes on what is known of the configuration and the runners.
  void PublishConfig();
  void UpdateConfigSources();
  void OnRunner(const SiteObject& aObject);
  void OnRunners(const std::vector<SiteObject>& aObjects);
  // Runners may expire from the list during an outage of the store, which shows
  // as a gap in what is known of them, from whatever source. Failed reads of
  // this gateway alone leave none, and neither does a source that had no gap.
  void CheckForRunnerOutage(
    std::chrono::milliseconds aKnownUntil,
    std::optional<std::chrono::milliseconds> aSourceWithoutGapSince = {});
  void OnRunnerListReply(const v1::RunnerListReply& aReply,
                         std::chrono::milliseconds aKnownUntil,
                         const std::string& aPeer);
  // Applies a list or changes that another gateway read.
  void ApplyRunnerDelta(const RunnerListDelta& aDelta,
                        const RunnerListMark& aMark);
  void StartEvacuationFeed();
  void OnEvacuations(const std::vector<SiteObject>& aObjects);
  void OnEvacuation(const SiteObject& aObject);
  // Whether an entry evacuates a place; logged if it doesn't.
  bool IsEvacuation(const SiteObject& aObject) const;
  bool IsKnownPlace(const std::string& aPlace) const;
  std::size_t RunnersIn(const std::set<std::string>& aPlaces) const;
  void RecordEvacuations(const EvacuationKnowledge& aKnown,
                         std::string_view aSource);
  // Has placement apply the evacuated places, and tells the other gateways.
  void ApplyEvacuations(const std::set<std::string>& aFormer,
                        std::string_view aSource);
  void SweepEvacuations();
  void MergeEvacuations(const v1::EvacuationState& aState);
  void AppendEvacuations(v1::EvacuationState& aState) const;
  void OnVersion(const SiteObject& aObject);
  void MergeNamedVersions(
    const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed);
  // The age of a version that is found by a process that hasn't read the store
  // before.
  std::chrono::milliseconds AgeAtStart() const;
  // The age at which requests have to run on a version or a newer one.
  std::chrono::milliseconds DueAge() const;
  // Logs which versions have become due, and how many runners hold them.
  void LogDueVersions();
  void OnGateway(const SiteObject& aObject);
  void OnGateways(const std::vector<SiteObject>& aObjects);
  // Reads the registered gateways until all that had registered before this one
  // are known. Those that register later announce themselves by datagram.
  void UpdateGatewayFeed();
  // Whether all gateways that run are probably known.
  bool KnowsGatewayCount() const;
  // Divides the shared retry allowance among the known gateways.
  void UpdateGatewayCount();
  void OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom);
  void OnBeacon(const v1::GatewayBeacon& aBeacon, const Address& aFrom);
  void OnRegionReport(const v1::Datagram& aDatagram);
  // Records what a report shows of the links to and from its region.
  void RecordLinkDelays(const v1::RegionReport& aReport);
  // Passes the delays on to placement.
  void UpdateLinkDelays();
  // Logs delays between regions that have changed much.
  void LogLinkDelays();
  // Logs what datagrams were sent in the last second if that has changed much,
  // or if the system dropped any.
  void LogDatagrams();
  // Adds for how long a report that is relayed was queued.
  void AppendMeasurement(v1::RegionReport& aRelayed) const;
  // Adds for how long the reports of other regions are queued.
  void AppendLinkDelays(v1::RegionReport& aReport) const;
  void OnStagerNotice(const v1::StagerNotice& aNotice);
  void ApplyRunnerReport(RunnerState& aRunner, const v1::RunnerReport& aReport);
  // The feeds that only a gateway that reads the store needs.
  std::vector<std::shared_ptr<ObjectFeed>> SharedFeeds() const;
  void Register();
  void RegisterAfter(std::chrono::milliseconds aDelay);
  v1::Datagram Beacon() const;
  v1::Datagram BeaconWithLoads() const;
  // Adds the paces that runners have stated lately, to this gateway itself or
  // to any.
  void AppendPaces(
    bool aOnlyOwn,
    google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aTo) const;
  void MergePaces(
    const google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aLoads);
  void UpdateAdmission();
  void AppendDemand(v1::GatewayBeacon& aBeacon) const;
  // Adds the demand of the region's gateways together.
  void AppendDemand(v1::RegionReport& aReport) const;
  void MergeRegionDemand(const v1::RegionReport& aReport);
  void MergeDemand(
    const std::string& aSource,
    const google::protobuf::RepeatedPtrField<v1::ServiceDemand>& aDemand);
  void SendToRegionPeers(const v1::Datagram& aDatagram, DatagramKind aKind);
  void SendLoadChanges();
  // Between two reports of changed loads to the region's gateways.
  std::uint32_t TicksPerLoadReport() const;
  // Sends a heartbeat to this region's gateways and a report to other regions.
  void Advertise(bool aIncludeVersions);
  void SendHeartbeat(bool aIncludeVersions, const Advertisement& aCommon);
  void SendRegionReport(bool aIncludeVersions, const Advertisement& aCommon);
  std::vector<v1::RunnerLimitReport> LimitsToAdvertise();
  void MergeLimits(
    const google::protobuf::RepeatedPtrField<v1::RunnerLimitReport>& aLimits);
  void UpdateLimits();
  // Null if the configuration doesn't have the service.
  const ServiceRecord* ServiceOf(const RunnerRecord& aRunner) const;
  // Records whether a runner is cold, before any request is placed by what has
  // changed of it.
  void ObserveCold(const RunnerRecord& aRunner);
  void RecordReturnedPlaces(const std::set<std::string>& aPlaces);
  void UpdateColdRunners();
  std::vector<v1::RunnerLeavingReport> LeavingToAdvertise();
  void MergeLeaving(
    const google::protobuf::RepeatedPtrField<v1::RunnerLeavingReport>&
      aLeaving);
  void UpdateNotices();
  // Counts the crashes that replaced starts of runners show.
  void RecordRestarts();
  bool IsListed(const RunnerIncarnation& aRunner);
  void AppendRegionLoads(v1::RegionReport& aReport);
  void AppendConfigState(v1::GatewayBeacon& aBeacon) const;
  // Takes over that another gateway knew all changes of the list of runners.
  void MergeRunnersKnown(const v1::ConfigState& aState);
  void SendToStagers();
  void ApplyPeerLoads();
  void Tick();
  void RunPeriodicTasks(MonotonicTime aNow);
  void HandleReady(const std::shared_ptr<ServerConnection>& aConnection);
  void HandleDirectory(const std::shared_ptr<ServerConnection>& aConnection);
  // Counts an answer of the directory, and logs one that lists gateways of
  // other regions than the caller's, one a second at most.
  void RecordDirectoryAnswer(const std::vector<ServingGateway>& aServing,
                             const std::string& aCallerRegion);
  void HandleAdmin(const std::shared_ptr<ServerConnection>& aConnection);
  std::string StateJson() const;
  bool AcceptsCallers() const;
  // Whether the directory should list this gateway's address.
  bool IsAdvertised() const;
  void AwaitSignal();
  // Reads the settings now and a few times later, since the file may still be
  // written when SIGHUP arrives. Never throws.
  void ReadSettings();
  void RecordRejection(const std::string& aReason);
  // Applies the reloadable settings: the times and the retry allowance of
  // [gateway].
  void ApplySettings(const GatewaySettings& aLatest);
  void StartDrain();
  void MaybeStop();
  // The time left until unfinished requests are ended.
  std::chrono::milliseconds UntilShutdown() const;
  // Whether callers may still have this gateway's address from a directory.
  bool AddressMayBeCached() const;
  // Answers all requests that are in flight or in arrival.
  void EndUnfinished();
  std::shared_ptr<ObjectFeed> StartFeed(std::string_view aKind,
                                        FeedTiming aPace,
                                        FeedCallbacks aEvents,
                                        bool aActive = true);

  GatewaySettings m_settings;
  std::string m_settingsFile;
  Address m_store;
  Loop m_loop{ 1 };
  std::shared_ptr<ConnectionPool> m_pool;
  Random m_random;
  std::shared_ptr<const RouteIndex> m_routes; // null before the first config
  std::shared_ptr<const std::string> m_configSpec; // compressed; likewise
  StoredConfig m_storedConfig;
  bool m_configIsLost = false; // the store holds an older one
  // Boot time up to which changes of the configuration are known.
  std::optional<std::chrono::milliseconds> m_configKnownUntil;
  std::uint64_t m_storeEra = 0; // 0: not named yet
  RunnerList m_runnerList;      // as in the store
  ListOutage m_runnerOutage;
  Evacuations m_evacuations;
  std::set<std::string> m_storedEvacuations; // as this gateway's feed has them
  NamedVersions m_named;
  std::map<std::string, std::uint64_t> m_dueVersions; // logged, by model
  ConfigServer m_configServer{ m_runnerList, m_named };
  std::shared_ptr<ConfigFollower> m_configFollower;
  ConfigLag m_configLag;
  bool m_readsStore = false;
  RunnerTable m_runners;
  bool m_haveRunnerList = false;
  bool m_haveGatewayList = false;
  std::optional<MonotonicTime> m_gatewaysKnownAt; // the list's first arrival
  // Boot time since which this gateway is registered in the store.
  std::optional<std::chrono::milliseconds> m_registeredAt;
  MonotonicTime m_startedAt = LoopNow();
  RunnerLimits m_limits;
  RunnerNotices m_notices;
  Placer m_placer;
  PriorityAdmission m_admission;
  AnswerLengths m_lengths;
  SharedRetryBudget m_retries;
  RouteDurations m_durations;
  SuspicionExchange m_suspicions;
  CrashWatch m_crashes{ m_loop, m_suspicions };
  SuspicionStore m_suspicionStore;
  std::optional<MonotonicTime> m_firstConfigAt;
  // The last report of a stager in this region.
  struct ReceivedRunnerReport
  {
    v1::RunnerReport m_report;
    MonotonicTime m_receivedAt{};
  };

  struct SettingsReload
  {
    int m_readsLeft = 0;
    std::string m_rejection; // the latest that was logged
    std::optional<GatewaySettings> m_read;
  };

  SettingsReload m_reload; // for the latest SIGHUP
  GatewayPeers m_peers;
  LinkDelays m_linkDelays;
  RecentDeliveries m_deliveries;
  std::map<std::string, std::chrono::milliseconds> m_loggedDelays; // by region
  std::map<std::string, ReceivedRunnerReport> m_runnerReports;     // by id
  std::uint64_t m_loggedDatagramBytes = 0; // of a second
  MonotonicTime m_foreignAnswerLoggedAt{};
  std::string m_region;
  std::string m_lastLoadBeacon; // serialized; unchanged loads aren't sent
  std::uint64_t m_incarnation;
  std::set<std::shared_ptr<CallerExchange>> m_exchanges;
  std::optional<MonotonicTime> m_drainingSince;
  std::chrono::duration<double> m_gracePeriod{ 0 }; // from then to the exit
  double m_logTokens = 0;
  std::uint64_t m_logDropped = 0;

  std::uint32_t m_ticks = 0;
  TickDelay m_tickDelay;
  Timer m_ticker;
  Timer m_registerTimer;
  Timer m_reloadTimer;
  boost::asio::signal_set m_signals;
  std::unique_ptr<HttpListener> m_callerListener;
  std::unique_ptr<HttpListener> m_readyListener;
  std::unique_ptr<HttpListener> m_directoryListener;
  std::unique_ptr<HttpListener> m_adminListener;
  std::unique_ptr<DatagramSocket> m_datagrams;
  std::shared_ptr<ObjectFeed> m_configFeed;
  std::shared_ptr<ObjectFeed> m_runnerFeed;
  std::shared_ptr<ObjectFeed> m_versionFeed;
  // Null if places can't be evacuated.
  std::shared_ptr<ObjectFeed> m_evacuationFeed;
  std::shared_ptr<ObjectFeed> m_gatewayFeed;
};

} // namespace siskindeal
