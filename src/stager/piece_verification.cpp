#include "stager/piece_verification_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNeverRead = milliseconds::min();

// aNow isn't less than the time of a reading.
bool
HasExpired(milliseconds aReadAt, milliseconds aNow)
{
  return aReadAt == kNeverRead ||
         aNow - aReadAt >= PieceVerification::kMaxReadingAge;
}

} // namespace

PieceVerification::PieceVerification(std::size_t aPieces)
  : m_pieces(aPieces)
{
  for (std::size_t i = 0; i < aPieces; ++i) {
    m_readings.emplace(kNeverRead, i);
  }
}

std::size_t
PieceVerification::MaxConcurrentReads() const
{
  std::size_t reads = 1;
  for (std::size_t pass = m_started / std::max<std::size_t>(1, m_pieces);
       pass > 0 && reads < kMaxConcurrentReads;
       --pass) {
    reads *= 2;
  }
  return reads;
}

std::optional<std::size_t>
PieceVerification::StartNext(milliseconds aNow)
{
  if (m_readings.empty() || m_inFlight.size() >= MaxConcurrentReads()) {
    return std::nullopt;
  }
  const auto [readAt, piece] = *m_readings.begin();
  if (!HasExpired(readAt, aNow)) {
    return std::nullopt;
  }
  m_readings.erase(m_readings.begin());
  m_inFlight[piece] = aNow;
  ++m_started;
  return piece;
}

void
PieceVerification::RecordIntact(std::size_t aPiece)
{
  const auto read = m_inFlight.find(aPiece);
  if (read == m_inFlight.end()) {
    return;
  }
  m_readings.emplace(read->second, aPiece);
  m_inFlight.erase(read);
}

bool
PieceVerification::IsComplete(milliseconds aNow) const
{
  return m_inFlight.empty() &&
         (m_readings.empty() || !HasExpired(m_readings.begin()->first, aNow));
}

milliseconds
PieceVerification::ExpiresAt() const
{
  return m_readings.empty() ? milliseconds::max()
                            : m_readings.begin()->first + kMaxReadingAge;
}

} // namespace siskindeal
