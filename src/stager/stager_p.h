#pragma once
// Stager process, which runs beside one model runner. It fetches named weights
// into the runner's staging area, serves pieces to peers and announces to the
// gateways which version the runner has loaded. Pieces are stored at the
// runner.

#include "net/datagrams_p.h"
#include "net/http_server_p.h"
#include "site/object_feed_p.h"
#include "stager/fetch_plan_p.h"
#include "stager/fetch_target_p.h"
#include "stager/load_turn_p.h"
#include "stager/piece_verification_p.h"
#include "stager/store_fallback_p.h"
#include "weights/link_shaper_p.h"

#include <boost/asio/signal_set.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskindeal {

// Served to peers: /lists/MODEL/VERSION and /pieces/MODEL/VERSION/NUMBER.
inline constexpr std::string_view kListsPath = "/lists/";
inline constexpr std::string_view kPiecesPath = "/pieces/";

// A gateway that has sent nothing for longer is taken for gone.
inline constexpr std::chrono::milliseconds kGatewayTimeout{ 4000 };

class Stager
{
public:
  explicit Stager(const StagerSettings& aSettings);
  ~Stager();

  // Serves until a stop signal or Stop.
  void Run();
  // Makes Run return. Thread-safe.
  void Stop();

private:
  // Progress of fetching m_target.
  enum class FetchStage
  {
    Resting,  // nothing to fetch
    Listing,  // requests the piece list
    Checking, // compares pieces already staged with the list
    Fetching,
  };

  // Progress of loading a version whose pieces are all staged.
  enum class LoadStage
  {
    Staged,    // waiting for its turn
    Draining,  // the runner gets no new requests
    Verifying, // reads all pieces back
    Loading,   // the load order has been sent
  };

  // The next version is fetched while one is loading. Its pieces stay in
  // m_buffer until the runner accepts the load order.
  struct Load
  {
    std::uint64_t m_id = 0; // differs for each load
    PieceList m_pieces;
    std::string m_listText;
    PieceVerification m_verification;
    LoadStage m_stage = LoadStage::Staged;
    MonotonicTime m_since{};
    std::chrono::milliseconds m_drain{ 0 };
    bool m_ordered = false; // the order was accepted
  };

  struct KnownGateway
  {
    Address m_address; // for datagrams
    MonotonicTime m_lastSeen{};
    std::uint16_t m_configPort = 0; // answers for the configuration; 0: none
    // Time since which it may have missed a change in the store.
    std::chrono::milliseconds m_configAge{ 0 };
  };

  struct Peer
  {
    StagerPeer m_stager;
    v1::StagerNotice m_notice;
  };

  void AwaitSignal();
  void OnVersion(const SiteObject& aObject);
  // Watches the store for named versions while no gateway reports them.
  void UpdateVersionFeed();
  void OnNewestVersion(const std::string& aModel, std::uint64_t aVersion);
  // Records versions that another process reported.
  void RecordNamed(
    const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed);
  FetchProgress Progress() const;
  double HeldFraction() const;
  std::chrono::milliseconds SinceNamed(std::uint64_t aVersion) const;
  // Reads the configuration unless it was read recently. With many routes it is
  // large, and all stagers tend to need it at the same time.
  void ReadConfigIfStale();
  void ReadConfig();
  // A gateway of this region that has the configuration, chosen at random.
  std::optional<Address> ChooseConfigGateway();
  void ReadConfigFromGateway(const Address& aGateway);
  void ReadConfigFromStore();
  void OnStoredConfig(const BufferedResponse& aAnswer);
  void OnConfig(const SiteObject& aObject);
  void ListAllowingStale(std::string_view aKind,
                         std::function<void(BufferedResponse)> aDone);
  void ReadPeers();
  void OnPeers(const BufferedResponse& aAnswer);
  void OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom);
  void Announce();
  // Hosts that get a notice: all of the own region, those of other regions that
  // import a piece recently imported here, and a few random ones.
  std::set<std::string> AnnounceTargets();
  void Tick();
  void PollRunner();
  void OnReport(const BufferedResponse& aAnswer);
  void Step();
  void StepFetch();
  // Whether the peers that may give pieces have been heard; without them, all
  // pieces would be taken from the origin.
  bool KnowsPeers() const;
  void StepLoad();
  bool NeedsWeights() const;
  void BeginVersion();
  void ListPieces();
  const Peer* PickListHolder();
  bool MayListFromOrigin() const;
  void RequestPieceList(const std::shared_ptr<ConnectionPool>& aPool,
                        const Address& aFrom,
                        const std::string& aTarget);
  void OnPieceList(const BufferedResponse& aAnswer);
  // Records that the origin doesn't serve the target any more, if that is what
  // its response says. The target is then given up for a newer version.
  void RecordIfWithdrawn(const BufferedResponse& aAnswer);
  void CheckPiece(std::size_t aPiece);
  void OnPieceChecked(std::size_t aPiece, const BufferedResponse& aAnswer);
  void OnCheckDone();
  void StartFetches();
  void OnAllPiecesHeld();
  bool StagingOccupied() const;
  void StoreBuffered();
  void BeginLoad();
  void EndLoad();
  // Reads staged pieces back until the load may be ordered.
  void ContinueVerifying();
  void VerifyPiece(std::size_t aPiece);
  void OnPieceVerified(std::size_t aPiece, const BufferedResponse& aAnswer);
  void DropPiece(std::size_t aPiece);
  void FetchPiece(const PieceFetch& aFetch);
  void OnPieceFetched(const PieceFetch& aFetch,
                      const BufferedResponse& aAnswer);
  void OnPieceStored(const PieceFetch& aFetch, bool aStored);
  void MaybeTakeTurn();
  void SendLoadOrder();
  // aLoad: the load that the order was for.
  void OnLoadOrderReply(std::uint64_t aLoad, const BufferedResponse& aAnswer);
  void ServeRequest(const std::shared_ptr<ServerConnection>& aConnection);
  void ServePieceList(const std::shared_ptr<ServerConnection>& aConnection);
  void ServePiece(const std::shared_ptr<ServerConnection>& aConnection);
  void UploadNext();
  // A piece requested by a peer.
  struct PieceUpload
  {
    std::shared_ptr<ServerConnection> m_connection;
    std::uint64_t m_version = 0;
    std::size_t m_piece = 0;
  };
  const PieceList* FindPieceList(std::uint64_t aVersion) const;
  bool Holds(std::uint64_t aVersion, std::size_t aPiece) const;
  void Upload(const PieceUpload& aUpload);
  void FinishUpload(const PieceUpload& aUpload, const std::string* aBytes);
  std::string StateJson() const;
  std::vector<StagerPeer> PeersForFetch() const;
  // Hashed with the host, so that ranks among stagers differ per version.
  std::string VersionKey(std::uint64_t aVersion) const;
  std::uint64_t LoadedVersion() const;
  static const char* StageName(FetchStage aStage);
  static const char* StageName(LoadStage aStage);
  void EnterFetchStage(FetchStage aStage);
  void EnterLoadStage(LoadStage aStage);
  void LogStage(const char* aStage, std::uint64_t aVersion) const;
  bool LoadInProgress() const;
  void CallRunner(std::string_view aMethod,
                  const std::string& aTarget,
                  std::string aBody,
                  std::function<void(BufferedResponse)> aDone,
                  std::optional<std::chrono::milliseconds> aSendBefore = {});

  StagerSettings m_settings;
  Address m_store;
  Loop m_loop{ 1 };
  std::shared_ptr<ConnectionPool> m_pool;
  std::shared_ptr<ConnectionPool> m_originPool; // the origin limits connections
  Random m_random;
  std::string m_region;
  std::optional<ServiceRecord> m_service;
  std::optional<Address> m_origin;
  std::string m_originRegion;
  std::string m_model;
  NamedVersions m_named;
  std::uint64_t m_target = 0; // version to fetch; 0 for the newest
  EngineReport m_report;
  bool m_runnerReachable = false;
  bool m_polling = false;
  MonotonicTime m_lastPollAt{};
  FetchStage m_fetchStage = FetchStage::Resting;
  std::uint64_t m_epoch = 0; // responses of an earlier epoch are dropped
  PieceList m_pieces;
  std::string m_listText;        // m_pieces as received, served to peers
  std::uint64_t m_withdrawn = 0; // the last version that was withdrawn
  bool m_listSuspect = false;    // too many pieces did not match
  std::unique_ptr<FetchPlan> m_plan;
  std::uint32_t m_corruptPieces = 0;
  MonotonicTime m_fetchStageAt{};
  std::optional<Load> m_load;
  std::uint64_t m_loads = 0; // begun so far
  // Pieces of m_target by number, until they can be stored at the runner.
  std::map<std::size_t, std::string> m_buffer;
  bool m_storing = false; // a buffered piece is being stored
  MonotonicTime m_retryAt{};
  std::map<std::string, Peer> m_peers; // by host
  // Regions by host, including peers not heard from yet.
  std::map<std::string, std::string> m_peerHosts;
  // Pieces fetched from the origin or another region, with the time.
  std::deque<std::pair<MonotonicTime, std::size_t>> m_imported;
  bool m_requestsRepeatable = false;              // on another runner
  std::map<std::string, KnownGateway> m_gateways; // by address

  // Pieces requested by peers. They are sent one at a time, since the runner's
  // responses share the link.
  std::deque<PieceUpload> m_uploads;
  std::shared_ptr<ServerConnection> m_uploading;
  LinkShaper m_link;
  Timer m_uploadTimer;
  std::uint32_t m_ticks = 0;
  MonotonicTime m_startedAt = LoopNow();
  MonotonicTime m_announcedAt{};
  MonotonicTime m_peersReadAt{};
  // When the list was answered for the first time, or reading it failed.
  std::optional<MonotonicTime> m_peersAnsweredAt;
  StoreFallback m_storeFallback{ m_startedAt, m_random };
  MonotonicTime m_configReadAt{};
  bool m_readingConfig = false;
  bool m_gatewayFailed = false; // when it was asked for the configuration last
  bool m_readingPeers = false;
  Timer m_ticker;
  boost::asio::signal_set m_signals;
  std::unique_ptr<HttpListener> m_httpListener;
  std::unique_ptr<DatagramSocket> m_datagrams;
  std::shared_ptr<ObjectFeed> m_versionFeed;
};

} // namespace siskindeal
