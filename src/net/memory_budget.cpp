#include "net/memory_budget_p.h"

#include "kernel/contain_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <boost/asio/post.hpp>

#include <unistd.h>

#include <utility>

namespace siskindeal {

boost::asio::execution_context::id MemoryBudget::id;

MemoryBudget::Account::Account(boost::asio::execution_context& aLoop,
                               std::string_view aKind,
                               BreakOff aBreakOff)
  : m_budget(MemoryBudget::Of(aLoop))
  , m_kind(aKind)
  , m_breakOff(std::move(aBreakOff))
{
  m_budget.Add(*this);
}

MemoryBudget::Account::~Account()
{
  m_budget.Remove(*this);
}

void
MemoryBudget::Account::Set(std::size_t aBytes)
{
  if (aBytes != m_bytes) {
    m_budget.Change(*this, aBytes);
  }
}

MemoryBudget::MemoryBudget(boost::asio::execution_context& aLoop)
  : boost::asio::execution_context::service(aLoop)
  , m_loop(static_cast<Loop&>(aLoop))
{
}

void
MemoryBudget::Add(Account& aAccount)
{
  aAccount.m_index = m_accounts.size();
  m_accounts.push_back(&aAccount);
}

void
MemoryBudget::Remove(const Account& aAccount)
{
  m_held -= aAccount.m_bytes;
  m_accounts[aAccount.m_index] = m_accounts.back();
  m_accounts[aAccount.m_index]->m_index = aAccount.m_index;
  m_accounts.pop_back();
}

void
MemoryBudget::Change(Account& aAccount, std::size_t aBytes)
{
  m_held += aBytes - aAccount.m_bytes;
  aAccount.m_bytes = aBytes;
  if (m_held > m_limit && !m_isPosted) {
    m_isPosted = true;
    boost::asio::post(m_loop, [this] { Enforce(); });
  }
}

MemoryBudget::Account*
MemoryBudget::Largest() const
{
  Account* largest = nullptr;
  for (Account* account : m_accounts) {
    const bool isEligible = !account->m_isBrokenOff && account->m_bytes > 0 &&
                            account->m_visit != m_visits;
    if (isEligible &&
        (largest == nullptr || account->m_bytes > largest->m_bytes)) {
      largest = account;
    }
  }
  return largest;
}

void
MemoryBudget::Enforce()
{
  m_isPosted = false;
  ++m_visits;
  while (m_held > m_limit) {
    Account* const largest = Largest();
    if (largest == nullptr) {
      return;
    }
    largest->m_visit = m_visits;
    // Its holder may end with the call.
    const Account::BreakOff breakOff = largest->m_breakOff;
    const std::size_t bytes = largest->m_bytes;
    const std::string_view kind = largest->m_kind;
    largest->m_isBrokenOff = true;
    bool isEnding = true;
    Contain("memory budget", [&] { isEnding = breakOff(); });
    if (isEnding) {
      Record(kind, bytes);
    } else {
      largest->m_isBrokenOff = false;
    }
  }
}

void
MemoryBudget::Record(std::string_view aKind, std::size_t aBytes)
{
  constexpr std::chrono::seconds kLogInterval{ 1 };
  CountMetric("siskindeal_messages_broken_off_total",
              { { "kind", std::string(aKind) } });
  ++m_brokenOff;
  if (LoopNow() - m_loggedAt < kLogInterval) {
    return;
  }
  Log(LogLevel::Warning,
      "message broken off",
      { { "kind", aKind },
        { "bytes", aBytes },
        { "held_bytes", m_held },
        { "limit_bytes", m_limit },
        { "messages", std::exchange(m_brokenOff, 0) } });
  m_loggedAt = LoopNow();
}

std::size_t
MessageMemory(const NodeSettings& aNode)
{
  constexpr double kShare = 0.25;
  constexpr double kMegabyte = 1 << 20;
  double bytes = aNode.m_memoryMegabytes * kMegabyte;
  if (bytes <= 0) {
    bytes = static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
            static_cast<double>(::sysconf(_SC_PAGESIZE));
  }
  return static_cast<std::size_t>(bytes * kShare);
}

} // namespace siskindeal
