#pragma once
// One send of a caller's request to a runner, with the state of its response.

#include "dispatch/placement_p.h"
#include "gateway/event_splitter_p.h"
#include "net/http_connection_p.h"
#include "net/memory_budget_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

struct RunnerAttempt : std::enable_shared_from_this<RunnerAttempt>
{
  std::shared_ptr<HttpConnection> m_connection;
  std::uint32_t m_number = 0; // among the request's sends, from 1
  RunnerIncarnation m_runner;
  Address m_address;
  std::chrono::milliseconds m_predicted{ 0 }; // to the first byte
  RunnerLoad m_loadBefore; // of the runner when it was chosen
  // Of the runner's weights when it was chosen; 0: it held none.
  std::uint64_t m_heldVersion = 0;
  // The oldest weights that the request may begin on; unset: any.
  std::optional<std::uint64_t> m_requiredVersion;
  std::string m_region;                       // of the runner
  std::chrono::milliseconds m_linkDelay{ 0 }; // there and back, as measured
  MonotonicTime m_sentAt{};
  // When the runner's system was seen to have the whole request.
  std::optional<MonotonicTime> m_deliveredAt;
  std::optional<MonotonicTime> m_firstByteAt;
  MonotonicTime m_lastProgress{};
  bool m_promptCounted = false;   // in the runner's load
  std::uint32_t m_answerLeft = 0; // tokens that are counted in it
  bool m_levelCounted = false;    // likewise
  // From the first byte to the end; 0: not predicted.
  std::chrono::milliseconds m_predictedGeneration{ 0 };
  std::optional<MonotonicTime> m_lastEventAt;
  bool m_isEventStream = false;
  bool m_isPaused = false; // not read from, because the caller reads slowly
  ResponseHead m_head;
  std::string m_body;
  EventSplitter m_splitter;
  std::size_t m_receivedBytes = 0; // of the body
  std::size_t m_repeatedBytes = 0; // since the last event that was new
  std::size_t m_commentBytes = 0;  // since the last event
  std::string m_heldEvents; // without an id, while another attempt may go on
  std::optional<MemoryBudget::Account> m_memory; // of the body and events
  bool m_isHedged = false; // the request was sent to another runner too

  void CountMemory()
  {
    m_memory->Set(m_body.capacity() + m_heldEvents.capacity() +
                  m_splitter.PendingBytes());
  }
  // Drops what has arrived of a response that isn't used.
  void DropResponse()
  {
    m_body = {};
    m_heldEvents = {};
    m_splitter = {};
    CountMemory();
  }
};

using RunnerAttemptPtr = std::shared_ptr<RunnerAttempt>;

} // namespace siskindeal
