#include "standin/store.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace siskindeal::standin {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 100 };

struct ByteRange
{
  std::uint64_t m_first = 0;
  std::uint64_t m_last = 0;
};

// Parses "bytes=A-B".
std::optional<ByteRange>
ParseRange(const std::string& aText, std::uint64_t aSize)
{
  const auto range = StripPrefix(aText, "bytes=");
  const auto dash = range ? range->find('-') : std::string::npos;
  ByteRange parsed;
  if (dash == std::string::npos ||
      !absl::SimpleAtoi(range->substr(0, dash), &parsed.m_first) ||
      !absl::SimpleAtoi(range->substr(dash + 1), &parsed.m_last) ||
      parsed.m_first > parsed.m_last || parsed.m_first >= aSize) {
    return std::nullopt;
  }
  parsed.m_last = std::min(parsed.m_last, aSize - 1);
  return parsed;
}

std::string
ReadFile(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw Error(Reason::NotFound, Verdict::NotRun, "file not found: " + aPath);
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

} // namespace

StoreStandIn::StoreStandIn(StoreOptions aOptions)
  : StandIn(aOptions.m_standIn)
  , m_options(std::move(aOptions))
  , m_link(std::make_shared<Link>(GetScheduler(), m_options.m_bytesPerSecond))
{
  Start();
}

StoreStandIn::~StoreStandIn()
{
  Stop();
}

std::string
StoreStandIn::Publish(const std::string& aName,
                      const std::string& aFile,
                      std::uint64_t aChunkBytes,
                      const std::string& aBaseDigest)
{
  return PublishBytes(aName,
                      aFile,
                      ReadFile(m_options.m_directory + "/" + aFile),
                      aChunkBytes,
                      aBaseDigest);
}

std::string
StoreStandIn::PublishBytes(const std::string& aName,
                           const std::string& aFile,
                           std::string aBytes,
                           std::uint64_t aChunkBytes,
                           const std::string& aBaseDigest)
{
  Manifest manifest;
  manifest.m_size = aBytes.size();
  manifest.m_chunkSize = aChunkBytes;
  manifest.m_baseDigest = aBaseDigest;
  manifest.m_origin = aFile;
  const std::string_view bytes = aBytes;
  for (std::uint64_t offset = 0; offset < aBytes.size();
       offset += aChunkBytes) {
    manifest.m_chunkDigests.push_back(
      Sha256Hex(bytes.substr(offset, aChunkBytes)));
  }
  const absl::MutexLock lock(&m_mutex);
  m_files[aFile] = std::make_shared<const std::string>(std::move(aBytes));
  m_releases[aName] = manifest;
  return manifest.Digest();
}

std::uint64_t
StoreStandIn::OriginBytes() const
{
  return m_link->Carried();
}

bool
StoreStandIn::TakeToken()
{
  const absl::MutexLock lock(&m_mutex);
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - m_lastRefill;
  m_tokens =
    std::min(m_options.m_requestsPerSecond,
             m_tokens + elapsed.count() * m_options.m_requestsPerSecond);
  m_lastRefill = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void
StoreStandIn::Handle(HttpRequest aRequest, const Responder& aResponder)
{
  if (StripPrefix(aRequest.m_path, "/standin/")) {
    HandleAdmin(aRequest, aResponder);
  } else if (!TakeToken()) {
    AnswerRetryAfter(aResponder, 429, kRetryAfter);
  } else if (const auto name = StripPrefix(aRequest.m_path, "/v1/releases/")) {
    HandleRelease(*name, aResponder);
  } else if (const auto file = StripPrefix(aRequest.m_path, "/v1/origin/")) {
    HandleOrigin(aRequest, *file, aResponder);
  } else {
    AnswerError(aResponder, 404, "not_found");
  }
}

void
StoreStandIn::HandleRelease(const std::string& aName,
                            const Responder& aResponder)
{
  std::string manifest;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_releases.find(aName);
    if (found != m_releases.end()) {
      manifest = ToJson(found->second);
    }
  }
  if (manifest.empty()) {
    AnswerError(aResponder, 404, "not_found");
    return;
  }
  aResponder->Respond(
    200, { { "content-type", "application/json" } }, std::move(manifest));
}

void
StoreStandIn::HandleOrigin(const HttpRequest& aRequest,
                           const std::string& aFile,
                           const Responder& aResponder)
{
  std::shared_ptr<const std::string> file;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_files.find(aFile);
    file = found == m_files.end() ? nullptr : found->second;
  }
  if (file == nullptr) {
    AnswerError(aResponder, 404, "not_found");
    return;
  }
  const auto range =
    ParseRange(GetString(aRequest.m_headers, "range"), file->size());
  if (!range) {
    AnswerError(aResponder, 416, "bad_request");
    return;
  }
  const auto size = range->m_last - range->m_first + 1;
  auto bytes = file->substr(range->m_first, size);
  if (GetFaults().Take("corrupt_chunk", aRequest)) {
    bytes[size / 2] = static_cast<char>(bytes[size / 2] ^ 1);
  }
  const auto contentRange = "bytes " + std::to_string(range->m_first) + "-" +
                            std::to_string(range->m_last) + "/" +
                            std::to_string(file->size());
  m_link->Transfer(
    size, [aResponder, contentRange, bytes = std::move(bytes)]() mutable {
      aResponder->Respond(206,
                          { { "content-type", "application/octet-stream" },
                            { "content-range", contentRange } },
                          std::move(bytes));
    });
}

void
StoreStandIn::HandleAdmin(const HttpRequest& aRequest,
                          const Responder& aResponder)
{
  constexpr std::uint64_t kChunkBytes = 1 << 20;
  if (aRequest.m_path == "/standin/publish") {
    const auto body = nlohmann::json::parse(aRequest.m_body);
    const auto digest = Publish(body.at("name").get<std::string>(),
                                body.at("file").get<std::string>(),
                                body.value("chunk_size", kChunkBytes),
                                body.value("base", ""));
    Answer(aResponder, 200, { { "digest", digest } });
  } else if (aRequest.m_path == "/standin/stats") {
    Answer(aResponder, 200, { { "origin_bytes", OriginBytes() } });
  } else {
    AnswerError(aResponder, 404, "not_found");
  }
}

} // namespace siskindeal::standin
