#include "support/engine_site.h"

#include "siskindeal/digest.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace siskindeal {

namespace {

using nlohmann::json;

constexpr std::size_t kPieceBytes = 2000;
constexpr int kFirstHost = 11; // the first runner is at 127.0.0.11

std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aKey)
{
  const auto at = aTarget.find(aKey + "=");
  std::uint64_t number = 0;
  if (at != std::string::npos) {
    const std::string rest = aTarget.substr(at + aKey.size() + 1);
    (void)absl::SimpleAtoi(rest.substr(0, rest.find('&')), &number);
  }
  return number;
}

} // namespace

std::string
PieceBytes(std::uint64_t aVersion, std::size_t aPiece)
{
  std::string bytes = std::to_string(aVersion) + "/" + std::to_string(aPiece);
  bytes.resize(kPieceBytes, static_cast<char>('a' + aPiece % 26));
  return bytes;
}

EngineSite::EngineSite(SiteStandIn& aSite)
  : m_site(aSite)
{
  Address origin{ "127.0.0.1", 0 };
  m_site.RunOnLoop([&] {
    m_origin = std::make_unique<HttpListener>(
      m_site.m_loop, origin, [this](const auto& aConnection) {
        ServeOrigin(aConnection);
      });
    origin.m_port = m_origin->Port();
  });
  const json engine = { { "slots", 4 },
                        { "models", { { { "name", kEngineModel } } } } };
  const json route = { { "name", "chat" },          { "host", "x.example" },
                       { "path_prefix", "/chat/" }, { "kind", "streaming" },
                       { "service", "chat" },       { "resumable", true } };
  const json weights = { { "name", "weights" },
                         { "origin", origin.ToString() } };
  m_config = { { "version", 1 },
               { "routes", { route } },
               { "services",
                 { { { "name", "chat" }, { "engine", engine } }, weights } } };
  m_site.Put("config", "main", m_config);
}

EngineSite::~EngineSite()
{
  m_site.RunOnLoop([&] {
    for (const auto& runner : m_runners) {
      runner->m_listener->Stop();
      runner->m_listener->CloseAll();
    }
    m_origin->Stop();
    m_origin->CloseAll();
    m_unanswered.clear();
  });
  m_site.RunOnLoop([] {}); // waits for pending listener handlers
}

Address
EngineSite::AddRunner(std::uint64_t aVersion)
{
  auto runner = std::make_unique<Runner>();
  Runner& added = *runner;
  added.m_id = "i-" + std::to_string(m_runners.size());
  added.m_version = aVersion;
  for (std::size_t i = 0; aVersion > 0 && i < kEnginePieces; ++i) {
    added.m_staged[i] = PieceBytes(aVersion, i);
  }
  Address address{ "127.0.0." + std::to_string(kFirstHost + m_runners.size()),
                   0 };
  m_site.RunOnLoop([&] {
    added.m_listener = std::make_unique<HttpListener>(
      m_site.m_loop, address, [this, &added](const auto& aConnection) {
        ServeRunner(added, aConnection);
      });
    address.m_port = added.m_listener->Port();
    m_runners.push_back(std::move(runner));
  });
  m_site.Put("servers",
             added.m_id,
             { { "service", "chat" },
               { "address", address.ToString() },
               { "zone", "here" },
               { "state", "ready" } });
  return address;
}

void
EngineSite::PublishVersion(std::uint64_t aVersion)
{
  m_site.RunOnLoop([&] { m_newest = aVersion; });
  m_site.Put("versions",
             kEngineModel,
             { { "model", kEngineModel }, { "version", aVersion } });
}

std::uint64_t
EngineSite::ServedVersion(std::size_t aRunner)
{
  std::uint64_t version = 0;
  m_site.RunOnLoop([&] { version = m_runners[aRunner]->m_version; });
  return version;
}

void
EngineSite::ServeOrigin(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (m_origin->Connections() > m_maxOriginConnections) {
    ++m_refusedConnections;
    aConnection->Disconnect();
    return;
  }
  const std::string target = aConnection->Request().m_target;
  const std::uint64_t requested = QueryNumber(target, "version");
  const std::uint64_t version = requested == 0 ? m_newest : requested;
  constexpr std::uint64_t kVersionsServed = 2;
  if (version + kVersionsServed <= m_newest) {
    aConnection->SendResponse(410, {}, {}, "");
    return;
  }
  if (target.find("/manifest/") != std::string::npos) {
    ++m_listsSent;
    json digests = json::array();
    for (std::size_t i = 0; i < kEnginePieces; ++i) {
      digests.push_back(Sha256Hex(PieceBytes(version, i)));
    }
    aConnection->SendResponse(200,
                              {},
                              {},
                              json{ { "model", kEngineModel },
                                    { "version", version },
                                    { "chunk_bytes", kPieceBytes },
                                    { "piece_digests", digests } }
                                .dump());
    return;
  }
  if (version == m_withheldVersion) {
    m_unanswered.push_back(aConnection);
    return;
  }
  ++m_piecesSent;
  const auto piece = static_cast<std::size_t>(QueryNumber(target, "num"));
  std::string bytes = PieceBytes(version, piece);
  if (m_corruptFromOrigin.erase(piece) > 0) {
    bytes[0] = '!';
  }
  aConnection->SendResponse(200, {}, {}, bytes);
}

json
EngineSite::ModelsJson(const Runner& aRunner) const
{
  json models = json::array();
  if (aRunner.m_version > 0) {
    models.push_back(
      { { "name", kEngineModel }, { "version", aRunner.m_version } });
  }
  return models;
}

void
EngineSite::ServeRunner(Runner& aRunner,
                        const std::shared_ptr<ServerConnection>& aConnection)
{
  const IncomingRequest& request = aConnection->Request();
  const auto piece =
    static_cast<std::size_t>(QueryNumber(request.m_target, "num"));
  if (request.m_target.find("/report") != std::string::npos) {
    aConnection->SendResponse(200,
                              {},
                              {},
                              json{ { "models", ModelsJson(aRunner) },
                                    { "busy", false },
                                    { "running", m_reportedRunning },
                                    { "sequence", aRunner.m_sequence } }
                                .dump());
  } else if (request.m_target.find("/stage-put/") != std::string::npos) {
    aRunner.m_staged[piece] = request.m_body;
    MaybeCorruptStaged(aRunner);
    aConnection->SendResponse(200, {}, {}, "");
  } else if (request.m_target.find("/stage-get/") != std::string::npos) {
    SendStaged(aRunner, piece, aConnection);
  } else if (request.m_target.find("/order") != std::string::npos) {
    HandleOrder(aRunner, aConnection);
  } else {
    aConnection->SendResponse(404, {}, {}, "");
  }
}

bool
EngineSite::IsStagedAtFirst(const Runner& aRunner) const
{
  return &aRunner == m_runners.front().get() &&
         aRunner.m_staged.size() >= kEnginePieces;
}

void
EngineSite::SendStaged(Runner& aRunner,
                       std::size_t aPiece,
                       const std::shared_ptr<ServerConnection>& aConnection)
{
  const auto found = aRunner.m_staged.find(aPiece);
  if (found == aRunner.m_staged.end()) {
    aConnection->SendResponse(404, {}, {}, "");
    return;
  }
  const std::string bytes = found->second;
  const bool hasFaults = IsStagedAtFirst(aRunner);
  if (hasFaults && m_corruptAfterRead.erase(aPiece) > 0) {
    found->second[0] = '!';
  }
  if (!hasFaults || m_slowReads.erase(aPiece) == 0) {
    aConnection->SendResponse(200, {}, {}, bytes);
    return;
  }
  const auto timer = std::make_shared<Timer>(m_site.m_loop);
  timer->expires_after(kSlowRead);
  timer->async_wait([timer, aConnection, bytes](const NetError&) {
    aConnection->SendResponse(200, {}, {}, bytes);
  });
}

void
EngineSite::MaybeCorruptStaged(Runner& aRunner)
{
  if (!IsStagedAtFirst(aRunner)) {
    return;
  }
  for (const std::size_t piece : std::exchange(m_corruptWhenStaged, {})) {
    aRunner.m_staged[piece][0] = '!';
  }
}

void
EngineSite::HandleOrder(Runner& aRunner,
                        const std::shared_ptr<ServerConnection>& aConnection)
{
  const json order = json::parse(aConnection->Request().m_body);
  const auto version = order.at("version").get<std::uint64_t>();
  if (order.at("precondition") != aRunner.m_sequence) {
    aConnection->SendResponse(409, {}, {}, "");
    return;
  }
  ++aRunner.m_sequence;
  for (std::size_t i = 0; i < kEnginePieces; ++i) {
    m_loadsIntact =
      m_loadsIntact && aRunner.m_staged[i] == PieceBytes(version, i);
  }
  aRunner.m_version = version;
  aRunner.m_loadedVersions.push_back(version);
  aConnection->SendResponse(202, {}, {}, "");
}

} // namespace siskindeal
