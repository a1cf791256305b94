#pragma once
// Bounds the memory that a loop's connections hold for messages: what has
// arrived and isn't complete, and what waits to be written. Once it is used up,
// what holds most is broken off, so that one peer that sends without end, or
// reads nothing, costs no other its request. All calls come from the loop's
// thread.

#include "net/loop_p.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <vector>

namespace siskindeal {

// Why a message was broken off.
inline constexpr std::string_view kOutOfMessageMemory =
  "memory for messages is used up";

class MemoryBudget : public boost::asio::execution_context::service
{
public:
  using key_type = MemoryBudget;
  static boost::asio::execution_context::id id;

  // What one connection or call holds. Holds nothing once destroyed.
  class Account
  {
  public:
    // Ends the holder, and returns false if it can't be ended now. Called from
    // the loop, never from within Set.
    using BreakOff = std::function<bool()>;

    // aKind names the holder in logs and metrics.
    Account(boost::asio::execution_context& aLoop,
            std::string_view aKind,
            BreakOff aBreakOff);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    void Set(std::size_t aBytes);

  private:
    friend class MemoryBudget;
    MemoryBudget& m_budget;
    std::string_view m_kind;
    BreakOff m_breakOff;
    std::size_t m_bytes = 0;
    std::size_t m_index = 0;    // in m_accounts
    std::uint64_t m_visit = 0;  // the latest of Enforce
    bool m_isBrokenOff = false; // may hold memory until its last bytes are sent
  };

  explicit MemoryBudget(boost::asio::execution_context& aLoop);

  // The budget of a loop; unlimited at first.
  static MemoryBudget& Of(boost::asio::execution_context& aLoop)
  {
    return boost::asio::use_service<MemoryBudget>(aLoop);
  }

  void SetLimit(std::size_t aBytes) { m_limit = aBytes; }
  std::size_t Limit() const { return m_limit; }
  // What all accounts hold.
  std::size_t Held() const { return m_held; }

private:
  void shutdown() override {}
  void Add(Account& aAccount);
  void Remove(const Account& aAccount);
  void Change(Account& aAccount, std::size_t aBytes);
  // Breaks off the largest holders until the others are within the limit.
  void Enforce();
  // The largest account that may be broken off and wasn't visited by this run
  // of Enforce; null if there is none.
  Account* Largest() const;
  // Logs at most once a second, since peers control how often this happens.
  void Record(std::string_view aKind, std::size_t aBytes);

  Loop& m_loop;
  std::size_t m_limit = std::numeric_limits<std::size_t>::max();
  std::size_t m_held = 0;
  std::vector<Account*> m_accounts;
  bool m_isPosted = false; // Enforce
  std::uint64_t m_visits = 0;
  std::uint64_t m_brokenOff = 0; // since the last log line
  MonotonicClockPoint m_loggedAt{};
};

// What a process may hold for messages: a quarter of the memory that it may
// use. The rest is for the program, its configuration and lists, and what the
// allocator keeps.
std::size_t
MessageMemory(const NodeSettings& aNode);

} // namespace siskindeal
