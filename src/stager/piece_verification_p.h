#pragma once
// Decides which staged pieces have to be read back before a load order. Does no
// I/O; the caller passes the time.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace siskindeal {

// A piece that was intact when it was read may become corrupt at any later
// time, so a reading counts only for kMaxReadingAge. Older ones are repeated,
// the oldest first. Times are of a clock that runs while the VM is suspended.
class PieceVerification
{
public:
  // The rest of the 3 s within which the runner has to take over a piece is
  // left for the order to reach it.
  static constexpr std::chrono::milliseconds kMaxReadingAge{ 1500 };
  // A pass that takes longer is repeated with twice as many concurrent reads.
  static constexpr std::size_t kMaxConcurrentReads = 8;
  static constexpr std::size_t kMaxPasses = 6;

  explicit PieceVerification(std::size_t aPieces);

  // Returns the next piece to read; nullopt if none is due or enough reads are
  // in flight.
  std::optional<std::size_t> StartNext(std::chrono::milliseconds aNow);

  // Records that a piece returned by StartNext was intact.
  void RecordIntact(std::size_t aPiece);

  // Whether each piece has been read and no reading has expired.
  bool IsComplete(std::chrono::milliseconds aNow) const;

  // When the oldest reading expires. Requires IsComplete.
  std::chrono::milliseconds ExpiresAt() const;

  // Whether more passes won't help, as reading all pieces takes longer than a
  // reading counts.
  bool IsTooSlow() const { return m_started > kMaxPasses * m_pieces; }

  std::size_t Reads() const { return m_started; }

private:
  using Time = std::chrono::milliseconds;

  std::size_t MaxConcurrentReads() const;

  std::size_t m_pieces;
  std::size_t m_started = 0; // reads
  // Pieces not being read, by the time at which their reading was requested.
  std::set<std::pair<Time, std::size_t>> m_readings;
  std::map<std::size_t, Time> m_inFlight; // by piece
};

} // namespace siskindeal
