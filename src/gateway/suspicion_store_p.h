#pragma once
// Keeps the suspicions in the platform's store, so that they outlast a failure
// of all gateways. Each gateway reads them once when it starts; those that read
// the store for the others write changes.

#include "gateway/suspicion_exchange_p.h"
#include "net/http_connection_p.h"
#include "siskindeal/random.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

inline constexpr std::string_view kSuspicionKind = "suspicions";

class SuspicionStore
{
public:
  SuspicionStore(Loop& aLoop,
                 std::shared_ptr<ConnectionPool> aPool,
                 Address aStore,
                 std::chrono::milliseconds aTimeout,
                 SuspicionExchange& aSuspicions,
                 Random& aRandom)
    : m_loop(aLoop)
    , m_pool(std::move(aPool))
    , m_store(std::move(aStore))
    , m_timeout(aTimeout)
    , m_suspicions(aSuspicions)
    , m_random(aRandom)
  {
  }

  // Starts the next read or write if one is due. aMayWrite: whether this
  // gateway writes what has changed.
  void Tick(MonotonicTime aNow, bool aMayWrite);

  // Whether the store has been read.
  bool IsRead() const { return m_isRead; }
  // Has the next read start at once, since the store probably answers.
  void ReadSoon() { m_nextCallAt = {}; }
  // The store may have lost what was written.
  void RecordNewEra() { m_storedContent.reset(); }

private:
  // What the last read found.
  struct Found
  {
    std::optional<std::uint64_t> m_revision; // unset: no object
  };

  void Read();
  void OnRead(const BufferedResponse& aAnswer);
  void MergeObject(const SiteObject& aObject, SuspicionRecord& aFound);
  void Write(const SuspicionRecord& aRecord);
  void OnWritten(const std::string& aContent, const BufferedResponse& aAnswer);
  void Retry(const BufferedResponse& aAnswer, const char* aCall);

  Loop& m_loop;
  std::shared_ptr<ConnectionPool> m_pool;
  Address m_store;
  std::chrono::milliseconds m_timeout;
  SuspicionExchange& m_suspicions;
  Random& m_random;
  bool m_isRead = false;
  bool m_inCall = false;
  std::uint32_t m_failures = 0; // in a row
  MonotonicTime m_nextCallAt{};
  std::optional<Found> m_found; // unset: read before the next write
  // ContentOf what the store holds; unset: not known.
  std::optional<std::string> m_storedContent;
};

} // namespace siskindeal
