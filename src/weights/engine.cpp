#include "siskindeal/json.h"
#include "weights/engine_p.h"

#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 30000 };
constexpr std::chrono::milliseconds kOrderTimeout{ 600000 };
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

bool
Succeeded(const HttpReply& aReply)
{
  return aReply.m_outcome == HttpOutcome::Answered &&
         aReply.m_status == kStatusOk;
}

EngineState
ParseState(const HttpReply& aReply)
{
  EngineState state;
  state.m_status = aReply.m_status;
  if (aReply.m_outcome != HttpOutcome::Answered) {
    state.m_error = aReply.m_error;
    return state;
  }
  try {
    const auto json = ParseJson(aReply.m_body);
    state.m_answered = aReply.m_status == kStatusOk;
    state.m_staleToken = aReply.m_status == kStatusConflict;
    state.m_loaded = json.value("loaded", std::vector<std::string>{});
    state.m_content = json.value("content", "");
    state.m_fencingToken = json.value("fencing_token", std::uint64_t{ 0 });
    if (aReply.m_status != kStatusOk) {
      state.m_error =
        "engine returned status " + std::to_string(aReply.m_status);
    }
  } catch (const nlohmann::json::exception& failure) {
    state.m_answered = false;
    state.m_error = failure.what();
  }
  return state;
}

} // namespace

Engine::Engine(std::string aUrl, std::shared_ptr<WeightsIo> aIo)
  : m_url(std::move(aUrl))
  , m_io(std::move(aIo))
{
}

HttpClientRequest
Engine::MakeRequest(const std::string& aMethod, const std::string& aPath) const
{
  HttpClientRequest request;
  request.m_method = aMethod;
  request.m_url = m_url + aPath;
  request.m_timeout = kCallTimeout;
  return request;
}

void
Engine::Stage(const std::string& aDigest,
              std::uint32_t aIndex,
              std::string aBytes,
              std::function<void(bool)> aDone)
{
  auto request = MakeRequest(
    "PUT", "/engine/staging/" + aDigest + "/" + std::to_string(aIndex));
  request.m_body = std::move(aBytes);
  m_io->Http(std::move(request),
             [aDone](const HttpReply& aReply) { aDone(Succeeded(aReply)); });
}

void
Engine::Read(const std::string& aDigest,
             std::uint32_t aIndex,
             std::function<void(Staged)> aDone)
{
  m_io->Http(
    MakeRequest("GET",
                "/engine/staging/" + aDigest + "/" + std::to_string(aIndex)),
    [aDone](HttpReply aReply) {
      Staged staged;
      staged.m_answered =
        Succeeded(aReply) || aReply.m_status == kStatusNotFound;
      if (Succeeded(aReply)) {
        staged.m_bytes = std::move(aReply.m_body);
      }
      aDone(std::move(staged));
    });
}

void
Engine::ListStagedChunks(
  const std::string& aDigest,
  std::function<void(std::optional<std::vector<std::uint32_t>>)> aDone)
{
  m_io->Http(MakeRequest("GET", "/engine/staging/" + aDigest),
             [aDone](const HttpReply& aReply) {
               if (aReply.m_status == kStatusNotFound) {
                 return aDone(std::vector<std::uint32_t>{});
               }
               if (!Succeeded(aReply)) {
                 return aDone(std::nullopt);
               }
               std::optional<std::vector<std::uint32_t>> chunks;
               try {
                 chunks = ParseJson(aReply.m_body)
                            .at("chunks")
                            .get<std::vector<std::uint32_t>>();
               } catch (const nlohmann::json::exception&) {
                 chunks = std::nullopt;
               }
               aDone(std::move(chunks));
             });
}

void
Engine::DropStaged(const std::string& aDigest)
{
  m_io->Http(MakeRequest("DELETE", "/engine/staging/" + aDigest),
             [](const HttpReply&) {});
}

void
Engine::Load(const std::string& aDigest,
             const std::string& aBase,
             std::uint32_t aChunks,
             std::uint64_t aToken,
             std::function<void(EngineState)> aDone)
{
  SendOrder(nlohmann::json{ { "order", "load" },
                            { "digest", aDigest },
                            { "base", aBase },
                            { "chunks", aChunks },
                            { "fencing_token", aToken } }
              .dump(),
            std::move(aDone));
}

void
Engine::Unload(const std::string& aDigest,
               std::uint64_t aToken,
               std::function<void(EngineState)> aDone)
{
  SendOrder(nlohmann::json{ { "order", "unload" },
                            { "digest", aDigest },
                            { "fencing_token", aToken } }
              .dump(),
            std::move(aDone));
}

void
Engine::SendOrder(std::string aBody, std::function<void(EngineState)> aDone)
{
  auto request = MakeRequest("POST", "/engine/orders");
  request.m_headers["content-type"] = "application/json";
  request.m_body = std::move(aBody);
  request.m_timeout = kOrderTimeout;
  m_io->Http(std::move(request),
             [aDone](const HttpReply& aReply) { aDone(ParseState(aReply)); });
}

void
Engine::State(std::function<void(EngineState)> aDone)
{
  m_io->Http(MakeRequest("GET", "/engine/state"),
             [aDone](const HttpReply& aReply) { aDone(ParseState(aReply)); });
}

} // namespace siskindeal
