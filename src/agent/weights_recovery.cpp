#include "agent/weights_agent_p.h"

#include "siskindeal/error.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 500 };
constexpr std::chrono::milliseconds kTokenRetryDelay = kRetryDelay * 2;
constexpr int kHttpOk = 200;

} // namespace

void
WeightsAgent::Impl::Recover()
{
  m_context->m_engine->Read(
    RecordStagingName(),
    0,
    [self = shared_from_this()](const Engine::Staged& aStaged) {
      if (!aStaged.m_answered) {
        return self->m_context->m_io->PostAfter(kRetryDelay,
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
      RaiseToken(shard, token);
    }
  }
  for (const auto& entry : aRecord.m_entries) {
    RestoreWeights(entry);
  }
  if (aFound) {
    return BecomeReady();
  }
  FetchLeaseTokens();
}

void
WeightsAgent::Impl::FetchLeaseTokens()
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
            aReply.m_status == kHttpOk) {
          for (const auto& [shard, token] : ParseLeaseTokens(aReply.m_body)) {
            const OrderedLock lock(self->m_mutex);
            self->RaiseToken(shard, token);
          }
          return self->BecomeReady();
        }
      } catch (const Error& failure) {
        Log(LogLevel::Warning,
            "lease_objects_refused",
            { { "what", failure.what() } });
      }
      self->m_context->m_io->PostAfter(kTokenRetryDelay, [self] {
        {
          const OrderedLock lock(self->m_mutex);
          if (self->m_ready || self->m_stopped) {
            return;
          }
        }
        self->FetchLeaseTokens();
      });
    });
}

void
WeightsAgent::Impl::ObserveFencingToken(const std::string& aShard,
                                        std::uint64_t aToken)
{
  {
    const OrderedLock lock(m_mutex);
    if (!RaiseToken(aShard, aToken)) {
      return;
    }
  }
  Persist([](bool) {});
}

void
WeightsAgent::Impl::RestoreWeights(const WeightsRecord::Entry& aEntry)
{
  m_context->m_engine->Read(
    ManifestStagingName(aEntry.m_digest),
    0,
    [self = shared_from_this(), aEntry](const Engine::Staged& aStaged) {
      if (!aStaged.m_answered) {
        return self->m_context->m_io->PostAfter(
          kRetryDelay, [self, aEntry] { self->RestoreWeights(aEntry); });
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
        auto& weights = self->m_weights[aEntry.m_digest];
        if (weights.m_session) {
          return;
        }
        weights.m_session = session;
        weights.m_classes = aEntry.m_classes;
        weights.m_shard = aEntry.m_shard;
        weights.m_token = self->m_tokens[aEntry.m_shard];
        weights.m_loadWhenStaged = aEntry.m_loaded;
        weights.m_reloadWhenStaged = aEntry.m_loaded; // may still be loaded
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
    m_persistCallbacks.push_back(std::move(aDone));
    if (m_writeInFlight) {
      return;
    }
    m_writeInFlight = true;
  }
  WriteRecord();
}

void
WeightsAgent::Impl::WriteRecord()
{
  WeightsRecord record;
  std::vector<std::function<void(bool)>> callbacks;
  {
    const OrderedLock lock(m_mutex);
    if (m_persistCallbacks.empty()) {
      m_writeInFlight = false;
      return;
    }
    callbacks.swap(m_persistCallbacks);
    record.m_tokens = m_tokens;
    for (const auto& [digest, weights] : m_weights) {
      const bool loaded = weights.m_load == LoadState::Serving ||
                          weights.m_load == LoadState::Loading;
      record.m_entries.push_back(WeightsRecord::Entry{
        digest, weights.m_shard, weights.m_classes, loaded });
    }
  }
  m_context->m_engine->Stage(RecordStagingName(),
                             0,
                             ToJson(record),
                             [self = shared_from_this(),
                              callbacks = std::move(callbacks)](bool aWritten) {
                               for (const auto& done : callbacks) {
                                 done(aWritten);
                               }
                               self->WriteRecord();
                             });
}

} // namespace siskindeal
