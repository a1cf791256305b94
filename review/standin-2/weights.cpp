// A stager stands still while it reads the staged pieces back, and a piece that
// it has read already turns bad meanwhile.

#include "box.h"

#include <openssl/sha.h>

#include <array>
#include <optional>
#include <thread>

namespace box {

namespace {

constexpr std::size_t kPieces = 96;
constexpr std::size_t kPieceBytes = 24576;
constexpr int kLayers = 16;
constexpr int kGatewayVm = 1;
constexpr int kRunnerVm = 20;
constexpr int kOriginVm = 30;
constexpr std::uint16_t kOriginPort = 8222;
const std::string kModel = "daka510000";
const std::string kService = "asistente-tecnico";
// The machine stands still as the answer with this piece is on its way.
constexpr std::size_t kFreezeAtPiece = 40;
constexpr std::size_t kRotten = 5; // read back before
constexpr Millis kFrozenFor{ 4000 };
constexpr Millis kRotsAfter{ 200 };
constexpr Millis kExcused{ 3000 }; // of the rule, for what turned bad just now
constexpr Millis kWarm{ 300 };

std::string
Bytes(std::uint64_t aVersion, std::size_t aPiece)
{
  std::string bytes(kPieceBytes, '\0');
  std::uint64_t state = aVersion * 1000003 + aPiece * 7919 + 1;
  for (char& byte : bytes) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    byte = static_cast<char>(state >> 56U);
  }
  return bytes;
}

std::string
Digest(const std::string& aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         hash.data());
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : hash) {
    text += kHex[byte >> 4U];
    text += kHex[byte & 15U];
  }
  return text;
}

struct Piece
{
  std::string m_bytes;
  std::optional<Time> m_badSince;
};

// A model runner with its staging area.
class Runner
{
public:
  Runner()
    : m_staged(kPieces)
  {
    for (std::size_t i = 0; i < kPieces; ++i) {
      m_staged[i].m_bytes = Bytes(1, i);
    }
  }

  void SetStager(pid_t aStager) { m_stager = aStager; }
  std::string Verdict() const { return m_verdict; }
  std::uint64_t Loaded() const { return m_loaded; }
  bool WasOrdered() const { return m_ordered; }

  Reply Answer(const Message& aRequest)
  {
    std::unique_lock lock(m_mutex);
    m_moves.wait(lock, [&] { return !m_frozen; });
    const std::string path = aRequest.Path();
    const std::string number = aRequest.Query("num");
    const std::size_t piece = number.empty() ? 0 : std::stoul(number);
    if (path == "/siskindeal/report") {
      return { 200, Report().dump() };
    }
    if (path.rfind("/siskindeal/stage-put/", 0) == 0 && piece < kPieces) {
      m_staged[piece] = { aRequest.m_body, std::nullopt };
      m_put += aRequest.m_body == Bytes(2, piece) ? 1 : 0;
      return { 200, "{}" };
    }
    if (path.rfind("/siskindeal/stage-get/", 0) == 0 && piece < kPieces) {
      return Get(piece);
    }
    if (path == "/siskindeal/order") {
      return Order(json::parse(aRequest.m_body));
    }
    if (aRequest.m_method == "POST") {
      return Run(aRequest);
    }
    return { 404, "{}" };
  }

private:
  json Report() const
  {
    return { { "stage", "colocated" },
             { "models",
               { { { "name", kModel },
                   { "version", m_loaded.load() },
                   { "adapters", json::array() } } } },
             { "layers",
               { { { "from", 0 },
                   { "to", kLayers },
                   { "version", m_loaded.load() } } } },
             { "busy", m_busy.load() },
             { "sequence", m_sequence },
             { "waiting", 0 },
             { "running", 0 },
             { "kv_used", 0 },
             { "kv_total", 1180000 },
             { "handle_count", 0 },
             { "born", m_born } };
  }

  Reply Get(std::size_t aPiece)
  {
    Reply reply{ 200, m_staged[aPiece].m_bytes };
    const bool isReadBack = m_put >= kPieces && !m_disturbed;
    if (isReadBack && aPiece == kRotten) {
      Record("piece " + std::to_string(kRotten) + " is read back, good");
    }
    if (isReadBack && aPiece == kFreezeAtPiece && HasTrouble()) {
      m_disturbed = true;
      reply.m_beforeWrite = [this] { Disturb(); };
    }
    return reply;
  }

  // The machine stands still; a piece that lies there turns bad.
  void Disturb()
  {
    Freeze(m_stager);
    m_frozen = true;
    Record("the stager's machine stands still, as the answer with piece " +
           std::to_string(kFreezeAtPiece) + " is on its way");
    std::thread([this] {
      std::this_thread::sleep_for(kRotsAfter);
      {
        const std::lock_guard lock(m_mutex);
        Piece& piece = m_staged[kRotten];
        piece.m_bytes[100] = static_cast<char>(piece.m_bytes[100] ^ 1);
        piece.m_badSince = Now();
        Record("staged piece " + std::to_string(kRotten) + " turns bad");
      }
      std::this_thread::sleep_for(kFrozenFor - kRotsAfter);
      {
        const std::lock_guard lock(m_mutex);
        m_frozen = false;
      }
      m_moves.notify_all();
      Thaw(m_stager);
      Record("the machine goes on");
    }).detach();
  }

  Reply Order(const json& aOrder)
  {
    if (aOrder.value("operation", "") != "start" ||
        aOrder.value("precondition", m_sequence) != m_sequence) {
      Record("order that doesn't fit: " + aOrder.dump());
      return { 409, "{}" };
    }
    ++m_sequence;
    const auto version = aOrder.at("version").get<std::uint64_t>();
    Record("order accepted: " + aOrder.dump());
    Take(version);
    m_busy = true;
    m_ordered = true;
    std::thread([this, version] {
      std::this_thread::sleep_for(kWarm);
      m_loaded = version;
      m_busy = false;
    }).detach();
    return { 202, "{}" };
  }

  // Takes the layers from the staged data as it is.
  void Take(std::uint64_t aVersion)
  {
    for (std::size_t i = 0; i < kPieces; ++i) {
      const Piece& piece = m_staged[i];
      if (piece.m_bytes == Bytes(aVersion, i)) {
        continue;
      }
      const auto age = std::chrono::duration_cast<Millis>(
        Now() - piece.m_badSince.value_or(Time{}));
      Record("layer " + std::to_string(i * kLayers / kPieces) +
             " is taken with bad piece " + std::to_string(i) + ", bad for " +
             std::to_string(age.count()) + " ms");
      if (age > kExcused) {
        m_taken = "a token is made with layer " +
                  std::to_string(i * kLayers / kPieces) +
                  ", taken while its piece " + std::to_string(i) +
                  " had been spoilt for " + std::to_string(age.count()) + " ms";
      }
    }
  }

  Reply Run(const Message& aRequest)
  {
    Reply reply{ 200,
                 "id: 1\ndata: token of version " + std::to_string(m_loaded) +
                   "\n\n",
                 RunFields(aRequest) };
    reply.m_fields.emplace_back("Content-Type", "text/event-stream");
    reply.m_fields.emplace_back("X-Siskindeal-Weight-Versions",
                                std::to_string(m_loaded));
    Record("request " + aRequest.Field("x-siskindeal-attempt-id") +
           " runs on version " + std::to_string(m_loaded));
    if (m_loaded == 2 && !m_taken.empty()) {
      m_verdict = m_taken;
    }
    return reply;
  }

  std::mutex m_mutex;
  std::condition_variable m_moves;
  std::vector<Piece> m_staged;
  std::atomic<pid_t> m_stager = 0;
  std::size_t m_put = 0; // pieces of version 2
  std::uint64_t m_sequence = 0;
  std::uint64_t m_born = UnixMillis();
  std::atomic<std::uint64_t> m_loaded = 1;
  std::atomic<bool> m_busy = false;
  std::atomic<bool> m_frozen = false;
  std::atomic<bool> m_ordered = false;
  bool m_disturbed = false;
  std::string m_taken; // what was wrong with the layers
  std::string m_verdict;
};

Reply
AnswerOrigin(const Message& aRequest)
{
  const std::string version = aRequest.Query("version");
  const std::uint64_t wanted = version.empty() ? 2 : std::stoull(version);
  if (aRequest.Path() == "/siskindeal/manifest/" + kModel) {
    json digests = json::array();
    for (std::size_t i = 0; i < kPieces; ++i) {
      digests.push_back(Digest(Bytes(wanted, i)));
    }
    return { 200,
             json{ { "model", kModel },
                   { "version", wanted },
                   { "chunk_bytes", kPieceBytes },
                   { "layers", kLayers },
                   { "piece_digests", digests } }
               .dump() };
  }
  const std::string number = aRequest.Query("num");
  if (number.empty()) {
    return { 404, "{}" };
  }
  return { 200, Bytes(wanted, std::stoul(number)) };
}

json
Config(const std::string& aOrigin)
{
  const json engine = { { "slots", 12 },
                        { "stride", 5 },
                        { "models", { { { "name", kModel } } } },
                        { "step_ms", 8.87 },
                        { "per_seq_ms", 0.0388 },
                        { "read_per_s", 19100.0 },
                        { "usual", { { "prompt", 952 }, { "answer", 98 } } },
                        { "layers", kLayers },
                        { "layer_mb", 4540.0 },
                        { "chunks", kPieces },
                        { "chunk_bytes", kPieceBytes } };
  return { { "version", 3 },
           { "routes",
             { { { "name", "r-1" },
                 { "host", "jepu9.example" },
                 { "path_prefix", "/lepu270/" },
                 { "kind", "streaming" },
                 { "timeout_ms", 6000 },
                 { "target_latency_ms", 400 },
                 { "priority", 1 },
                 { "service", kService },
                 { "max_attempts", 2 },
                 { "sticky_sessions", true },
                 { "resumable", true },
                 { "target_gap_ms", 400 } } } },
           { "services",
             { { { "name", kService },
                 { "health_path", "/healthz" },
                 { "max_conns", 588 },
                 { "engine", engine } },
               { { "name", "portal-socios" },
                 { "origin", aOrigin },
                 { "zone", "mvd-centro" },
                 { "link_mbps", 4.38 },
                 { "max_conns", 48 } } } } };
}

std::string
Ask(const Site& aSite, int aNumber)
{
  const Message answer =
    Call(aSite.Host(kGatewayVm),
         Site::kFrontPort,
         "POST",
         "/lepu270/2f",
         { { "Host", "jepu9.example" },
           { "X-Siskindeal-Attempt-Id", "id-" + std::to_string(aNumber) },
           { "X-Siskindeal-Model", kModel },
           { "X-Siskindeal-Token-Usage", "600,60" },
           { "X-Siskindeal-Prompt-Prefix", "5c1e07a2:40,91bd3f06:560" },
           { "X-Siskindeal-Deadline-Ms", "6000" } },
         "the lift is stuck at the third floor",
         Millis(6000));
  Record("client: id-" + std::to_string(aNumber) + " is answered " +
         std::to_string(answer.m_status) + ", " +
         answer.m_body.substr(0, answer.m_body.find("\n\n")));
  return answer.m_status == 200 ? answer.m_body : std::string();
}

} // namespace

void
RunWeights()
{
  constexpr Millis kStartTimeout{ 20000 };
  constexpr Millis kLoadTimeout{ 60000 };
  Site site(Cuaem());
  Store store(site.Host(100), Site::kStorePort);
  Runner runner;
  const Server app(
    site.Host(kRunnerVm), Site::kRunnerPort, [&](const Message& aRequest) {
      return runner.Answer(aRequest);
    });
  const Server origin(site.Host(kOriginVm), kOriginPort, AnswerOrigin);
  store.Put("config",
            "main",
            Config(site.Host(kOriginVm) + ":" + std::to_string(kOriginPort)));
  std::uint64_t beat = 1;
  const auto beatNow = [&] {
    store.Put(
      "servers",
      "i-7f3a91c2",
      { { "service", kService },
        { "address",
          site.Host(kRunnerVm) + ":" + std::to_string(Site::kRunnerPort) },
        { "zone", "mvd-centro" },
        { "version", "v1" },
        { "slots", 12 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "models",
          { { { "name", kModel }, { "version", runner.Loaded() } } } },
        { "sequence", beat++ } });
  };
  beatNow();
  site.StartGateway(kGatewayVm);
  runner.SetStager(site.StartStager(kRunnerVm, kService));
  if (!site.AwaitReady(kGatewayVm, kStartTimeout)) {
    End(2, "the gateway doesn't become ready");
  }
  std::this_thread::sleep_for(Millis(1500));
  if (Ask(site, 1).empty()) {
    End(2, "no request is served");
  }
  store.Put("versions", kModel, { { "model", kModel }, { "version", 2 } });
  Record("version 2 is named");
  const Time end = Now() + kLoadTimeout;
  while (runner.Loaded() != 2 && Now() < end) {
    std::this_thread::sleep_for(Millis(1200));
    beatNow();
  }
  if (runner.Loaded() != 2) {
    End(2, "version 2 isn't loaded");
  }
  for (int i = 2; i < 6 && runner.Verdict().empty(); ++i) {
    std::this_thread::sleep_for(Millis(500));
    Ask(site, i);
  }
  if (!runner.Verdict().empty()) {
    End(1, "WHOLE is broken: " + runner.Verdict());
  }
  End(0, "all layers were taken whole");
}

} // namespace box
