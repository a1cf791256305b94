#pragma once
// Notices runners that crashed under their requests, and requests that crash
// each runner that runs them. What gateways find out they tell each other.

#include "net/loop_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/quarantine.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

class CrashWatch
{
public:
  explicit CrashWatch(Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  // A run's connection broke before its answer was whole. Whether its runner
  // crashed shows by whether that still takes connections; asked once for all
  // runs that broke with it.
  void NoteBreak(const std::string& aRunner,
                 const Address& aAddress,
                 std::uint64_t aFingerprint);
  void NoteWhole(std::uint64_t aFingerprint);

  // Whether a request has crashed its runners and is to reach no other.
  bool IsQuarantined(std::uint64_t aFingerprint) const;

  // What other gateways should hear now, the most urgent first; bounded.
  std::vector<wire::Suspicion> Told(MonotonicTime aNow);
  void Hear(const wire::Suspicion& aSuspicion);

  std::vector<SuspicionListing> List() const { return m_table.List(); }

private:
  struct Break
  {
    std::uint64_t m_fingerprint = 0;
    MonotonicTime m_at{};
  };
  // A runner at which runs broke of late.
  struct Doubted
  {
    explicit Doubted(Loop& aLoop)
      : m_timer(aLoop)
      , m_socket(aLoop)
    {
    }

    Address m_address;
    std::vector<Break> m_breaks;
    MonotonicTime m_askedAt{};
    bool m_asking = false;
    Timer m_timer;
    Tcp::socket m_socket;
  };

  void Ask(const std::string& aRunner, const std::shared_ptr<Doubted>& aWhat);
  void OnAsked(const std::string& aRunner, Doubted& aWhat, bool aCrashed);
  void LogQuarantined() const;

  Loop& m_loop;
  SuspicionTable m_table;
  std::map<std::string, std::shared_ptr<Doubted>> m_doubted; // by runner
  // The table's number at earlier times, so that a change is told for a while.
  std::deque<std::pair<MonotonicTime, std::uint64_t>> m_numbers;
};

} // namespace siskindeal
