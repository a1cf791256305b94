#include "agent/weights_agent_p.h"

#include "siskindeal/error.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kRetry{ 500 };
constexpr int kOk = 200;

} // namespace

void
WeightsAgent::Impl::Recover()
{
  m_context->m_engine->Read(
    RecordStagingName(),
    0,
    [self = shared_from_this()](const Engine::Staged& aStaged) {
      if (!aStaged.m_answered) {
        return self->m_context->m_io->PostAfter(kRetry,
                                                [self] { self->Recover(); });
      }
      WeightsRecord record;
      try {
        if (aStaged.m_bytes) {
          record = ParseWeightsRecord(*aStaged.m_bytes);
        }
      } catch (const Error& failure) {
        Log(LogLevel::Warning,
            "weights_record_refused",
            { { "what", failure.what() } });
        return self->OnRecord(WeightsRecord{}, false);
      }
      self->OnRecord(record, aStaged.m_bytes.has_value());
    });
}

void
WeightsAgent::Impl::OnRecord(const WeightsRecord& aRecord, bool aFound)
{
  {
    const OrderedLock lock(m_mutex);
    for (const auto& [shard, token] : aRecord.m_tokens) {
      Grow(shard, token);
    }
  }
  for (const auto& entry : aRecord.m_entries) {
    Restore(entry);
  }
  if (aFound) {
    return BecomeReady();
  }
  LearnTokens();
}

void
WeightsAgent::Impl::LearnTokens()
{
  const auto& platform = m_context->m_settings.m_platform;
  if (platform.m_url.empty()) {
    return BecomeReady();
  }
  HttpClientRequest request;
  request.m_url = platform.m_url + "/v1/objects?prefix=leases/";
  request.m_timeout = platform.m_timeout;
  m_context->m_io->Http(
    std::move(request), [self = shared_from_this()](const HttpReply& aReply) {
      try {
        if (aReply.m_outcome == HttpOutcome::Answered &&
            aReply.m_status == kOk) {
          for (const auto& [shard, token] : ParseLeaseTokens(aReply.m_body)) {
            const OrderedLock lock(self->m_mutex);
            self->Grow(shard, token);
          }
          return self->BecomeReady();
        }
      } catch (const Error& failure) {
        Log(LogLevel::Warning,
            "lease_objects_refused",
            { { "what", failure.what() } });
      }
      self->m_context->m_io->PostAfter(kRetry * 2, [self] {
        {
          const OrderedLock lock(self->m_mutex);
          if (self->m_ready || self->m_stopped) {
            return;
          }
        }
        self->LearnTokens();
      });
    });
}

void
WeightsAgent::Impl::ObserveFencingToken(const std::string& aShard,
                                        std::uint64_t aToken)
{
  {
    const OrderedLock lock(m_mutex);
    if (!Grow(aShard, aToken)) {
      return;
    }
  }
  Persist([](bool) {});
}

void
WeightsAgent::Impl::Restore(const WeightsRecord::Entry& aEntry)
{
  m_context->m_engine->Read(
    ManifestStagingName(aEntry.m_digest),
    0,
    [self = shared_from_this(), aEntry](const Engine::Staged& aStaged) {
      if (!aStaged.m_answered) {
        return self->m_context->m_io->PostAfter(
          kRetry, [self, aEntry] { self->Restore(aEntry); });
      }
      Manifest manifest;
      try {
        manifest = ParseManifest(aStaged.m_bytes.value_or(""));
      } catch (const Error&) {
        return;
      }
      if (manifest.Digest() != aEntry.m_digest) {
        return;
      }
      auto session = self->MakeSession(manifest, "swarm");
      {
        const OrderedLock lock(self->m_mutex);
        auto& held = self->m_held[aEntry.m_digest];
        if (held.m_session) {
          return;
        }
        held.m_session = session;
        held.m_classes = aEntry.m_classes;
        held.m_shard = aEntry.m_shard;
        held.m_token = self->m_tokens[aEntry.m_shard];
        held.m_loadWhenStaged = aEntry.m_loaded;
        held.m_loadAgain = aEntry.m_loaded; // the engine may have it still
      }
      session->Start();
    });
}

void
WeightsAgent::Impl::BecomeReady()
{
  {
    const OrderedLock lock(m_mutex);
    if (m_ready) {
      return;
    }
    m_ready = true;
  }
  Log(LogLevel::Info, "orders_taken");
  Persist([](bool) {});
  StageMarker();
  WatchEngine();
}

void
WeightsAgent::Impl::Persist(std::function<void(bool)> aDone)
{
  {
    const OrderedLock lock(m_mutex);
    m_unwritten.push_back(std::move(aDone));
    if (m_writing) {
      return;
    }
    m_writing = true;
  }
  WriteRecord();
}

void
WeightsAgent::Impl::WriteRecord()
{
  WeightsRecord record;
  std::vector<std::function<void(bool)>> waiting;
  {
    const OrderedLock lock(m_mutex);
    if (m_unwritten.empty()) {
      m_writing = false;
      return;
    }
    waiting.swap(m_unwritten);
    record.m_tokens = m_tokens;
    for (const auto& [digest, held] : m_held) {
      const bool loaded =
        held.m_load == LoadState::Serving || held.m_load == LoadState::Loading;
      record.m_entries.push_back(
        WeightsRecord::Entry{ digest, held.m_shard, held.m_classes, loaded });
    }
  }
  m_context->m_engine->Stage(
    RecordStagingName(),
    0,
    ToJson(record),
    [self = shared_from_this(), waiting = std::move(waiting)](bool aWritten) {
      for (const auto& done : waiting) {
        done(aWritten);
      }
      self->WriteRecord();
    });
}

} // namespace siskindeal
