#pragma once
// A stager's process, beside one model runner: it brings named weights to the
// runner, passes pieces on to its peers and tells gateways what the runner
// holds. Pieces lie at the runner; none is kept here.

#include "net/datagrams_p.h"
#include "net/http_server_p.h"
#include "site/object_feed_p.h"
#include "stager/fetch_plan_p.h"
#include "stager/load_turn_p.h"
#include "weights/link_shaper_p.h"

#include <boost/asio/signal_set.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskindeal {

// What peers are given: /lists/MODEL/VERSION and /pieces/MODEL/VERSION/NUMBER.
inline constexpr std::string_view kListsPath = "/lists/";
inline constexpr std::string_view kPiecesPath = "/pieces/";

class Stager
{
public:
  explicit Stager(const StagerSettings& aSettings);
  ~Stager();

  // Serves until a stop signal comes.
  void Run();
  // Ends Run, as a stop signal does; from any thread.
  void Stop();

private:
  // How far the pieces of m_target have come.
  enum class Stage
  {
    Resting,  // all that is named is here
    Listing,  // asks which pieces there are
    Checking, // looks which of them lie at the runner
    Fetching,
  };

  // How far the runner has come in taking a version whose pieces are all here.
  enum class LoadStage
  {
    Staged,    // waits for its turn
    Draining,  // its turn: the runner gets no new work
    Verifying, // reads all pieces back
    Loading,   // the runner takes them
  };

  // While one is loaded the next version is fetched; until the runner has
  // accepted the order the next one's pieces wait in m_buffer.
  struct Load
  {
    PieceList m_pieces;
    std::string m_listText;
    LoadStage m_stage = LoadStage::Staged;
    MonotonicTime m_since{};
    std::chrono::milliseconds m_drain{ 0 };
    bool m_ordered = false; // the order was accepted
  };

  struct HeardGateway
  {
    Address m_address;
    MonotonicTime m_heardAt{};
  };

  struct Peer
  {
    StagerPeer m_stager;
    v1::StagerNotice m_notice;
  };

  void AwaitSignal();
  void OnVersion(const SiteObject& aObject);
  // Weights were named aAge ago, by the store's or another process's word.
  void NoteNamed(const std::string& aModel,
                 std::uint64_t aVersion,
                 std::chrono::milliseconds aAge);
  void NoteNamed(
    const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed);
  bool FinishesTargetFirst(std::uint64_t aNewest) const;
  double HeldShare() const;
  std::chrono::milliseconds SinceNamed(std::uint64_t aVersion) const;
  // Reads it unless it was read a while ago only: with many routes it is large,
  // and all stagers have the same reasons at once.
  void MaybeReadConfig();
  void ReadConfig();
  void OnConfig(const WholeAnswer& aAnswer);
  void ListStale(std::string_view aKind,
                 std::function<void(WholeAnswer)> aDone);
  void ReadPeers();
  void OnPeers(const WholeAnswer& aAnswer);
  void OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom);
  void Tell();
  // The hosts that a notice goes to: all of the own region, and of the others
  // those that wait for a piece that was brought here, and a few by chance.
  std::set<std::string> HostsToTell();
  void Tick();
  void PollRunner();
  void OnReport(const WholeAnswer& aAnswer);
  void Step();
  void StepFetch();
  void StepLoad();
  bool NeedsWeights() const;
  void BeginVersion();
  void ListPieces();
  const Peer* HolderOfList();
  bool MayAskOrigin() const;
  std::size_t ListRank() const;
  void AskForList(const std::shared_ptr<ConnectionPool>& aPool,
                  const Address& aFrom,
                  const std::string& aTarget);
  void OnPieceList(const WholeAnswer& aAnswer);
  void CheckPiece(std::size_t aPiece);
  void OnChecked(std::size_t aPiece, const WholeAnswer& aAnswer);
  void AfterCheck();
  void FetchMore();
  void OnComplete();
  bool StagingIsTaken() const;
  void StoreBuffered();
  void BeginLoad();
  void EndLoad();
  void VerifyPiece(std::size_t aPiece);
  void OnVerified(std::size_t aPiece, const WholeAnswer& aAnswer);
  void LosePiece(std::size_t aPiece);
  void Fetch(const PieceFetch& aFetch);
  void OnPiece(const PieceFetch& aFetch, const WholeAnswer& aAnswer);
  void OnStored(const PieceFetch& aFetch, bool aStored);
  void MaybeTakeTurn();
  void OrderLoad();
  void OnOrdered(const WholeAnswer& aAnswer);
  void AnswerPages(const std::shared_ptr<ServerConnection>& aConnection);
  void AnswerList(const std::shared_ptr<ServerConnection>& aConnection);
  void AnswerPiece(const std::shared_ptr<ServerConnection>& aConnection);
  void UploadNext();
  // A piece that a peer waits for.
  struct PieceUpload
  {
    std::shared_ptr<ServerConnection> m_connection;
    std::uint64_t m_version = 0;
    std::size_t m_piece = 0;
  };
  const PieceList* ListOf(std::uint64_t aVersion) const;
  bool Holds(std::uint64_t aVersion, std::size_t aPiece) const;
  void Upload(const PieceUpload& aUpload);
  void FinishUpload(const PieceUpload& aUpload, const std::string* aBytes);
  std::string StateJson() const;
  std::vector<StagerPeer> FetchPeers() const;
  // Tells versions apart in the orders that stagers agree on.
  std::string VersionKey(std::uint64_t aVersion) const;
  std::uint64_t Loaded() const;
  static const char* StageName(Stage aStage);
  static const char* StageName(LoadStage aStage);
  void Enter(Stage aStage);
  void EnterLoad(LoadStage aStage);
  void LogStage(const char* aStage, std::uint64_t aVersion) const;
  bool KeepsRunnerFree() const;
  void CallRunner(std::string_view aMethod,
                  const std::string& aTarget,
                  std::string aBody,
                  std::function<void(WholeAnswer)> aDone);

  StagerSettings m_settings;
  Address m_store;
  Loop m_loop{ 1 };
  std::shared_ptr<ConnectionPool> m_pool;
  std::shared_ptr<ConnectionPool> m_originPool; // the origin's are few
  Random m_random;
  std::string m_region;
  std::optional<ServiceRecord> m_service;
  std::optional<Address> m_origin;
  std::string m_originRegion;
  std::string m_model;
  NamedVersions m_named;
  std::uint64_t m_target = 0; // being brought to the runner
  EngineReport m_report;
  bool m_runnerAnswers = false;
  bool m_polling = false;
  MonotonicTime m_pollAt{};
  Stage m_stage = Stage::Resting;
  std::uint64_t m_epoch = 0; // answers to an earlier fetch are left out
  PieceList m_pieces;
  std::string m_listText;     // what m_pieces was read from, for peers
  bool m_listDoubted = false; // too many pieces differed from it
  std::unique_ptr<FetchPlan> m_plan;
  std::uint32_t m_badPieces = 0;
  MonotonicTime m_stageAt{};
  std::optional<Load> m_load;
  // Pieces of m_target, by number, until they may lie at the runner.
  std::map<std::size_t, std::string> m_buffer;
  bool m_storing = false; // one of them is being stored
  MonotonicTime m_retryAt{};
  std::map<std::string, Peer> m_peers; // by host
  // Listed, maybe not heard yet: the region, by host.
  std::map<std::string, std::string> m_peerHosts;
  // Pieces that came from the origin or another region, and when.
  std::deque<std::pair<MonotonicTime, std::size_t>> m_brought;
  bool m_mayCut = false; // every stream of the service can be resumed
  std::map<std::string, HeardGateway> m_gateways; // by address

  // Pieces that peers wait for; one goes out at a time, since answers of the
  // runner share the link.
  std::deque<PieceUpload> m_uploads;
  std::shared_ptr<ServerConnection> m_uploading;
  LinkShaper m_link;
  Timer m_uploadTimer;
  std::uint32_t m_ticks = 0;
  MonotonicTime m_startedAt = LoopNow();
  MonotonicTime m_toldAt{};
  MonotonicTime m_peersReadAt{};
  MonotonicTime m_configReadAt{};
  Timer m_ticker;
  boost::asio::signal_set m_signals;
  std::unique_ptr<HttpListener> m_pages;
  std::unique_ptr<DatagramSocket> m_datagrams;
  std::shared_ptr<ObjectFeed> m_versionFeed;
};

} // namespace siskindeal
