#include "gateway/config_follower_p.h"

#include "kernel/contain_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/wire_values.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Replies come sooner, at each news of the other gateway.
constexpr milliseconds kWait{ 2000 };
constexpr milliseconds kResponseTimeout{ 700 }; // added to the wait
constexpr milliseconds kPause{ 50 };
constexpr milliseconds kRetryDelay{ 150 }; // randomly up to twice as long
constexpr int kOk = 200;

} // namespace

ConfigFollower::ConfigFollower(Loop& aLoop,
                               std::shared_ptr<ConnectionPool> aPool,
                               Knowledge aKnowledge,
                               ReplyHandler aOnReply)
  : m_loop(aLoop)
  , m_pool(std::move(aPool))
  , m_knowledge(std::move(aKnowledge))
  , m_onReply(std::move(aOnReply))
  , m_timer(aLoop)
  , m_random(StableHash(NewId()))
{
}

void
ConfigFollower::Follow(const std::optional<ConfigHolder>& aPeer)
{
  const bool changed = aPeer && (!m_peer || m_peer->m_vm != aPeer->m_vm ||
                                 !(m_peer->m_address == aPeer->m_address));
  m_peer = aPeer;
  if (!m_peer) {
    m_timer.cancel();
  } else if (changed) {
    Ask();
  }
}

void
ConfigFollower::Ask()
{
  if (!m_peer || !m_asked.insert(m_peer->m_vm).second) {
    return;
  }
  ConfigQuestion question = m_knowledge();
  question.m_wait = kWait;
  CallBuffered(m_loop,
               m_pool,
               m_peer->m_address,
               "GET",
               question.Target(),
               {},
               kWait + kResponseTimeout,
               [self = shared_from_this(), peer = *m_peer, sentAt = BootTime()](
                 const BufferedResponse& aAnswer) {
                 self->OnReply(peer, aAnswer, sentAt);
               });
}

void
ConfigFollower::OnReply(const ConfigHolder& aPeer,
                        const BufferedResponse& aAnswer,
                        milliseconds aSentAt)
{
  m_asked.erase(aPeer.m_vm);
  v1::ConfigReply reply;
  if (aAnswer.m_status != kOk || !reply.ParseFromString(aAnswer.m_body)) {
    Log(LogLevel::Info,
        "configuration not received from peer",
        { { "peer", aPeer.m_vm },
          { "status", aAnswer.m_status },
          { "reason", aAnswer.m_failure } });
    ScheduleNext(kRetryDelay +
                 milliseconds(m_random.Below(kRetryDelay.count())));
    return;
  }
  // The request arrived after it was sent, so this is never too late.
  const milliseconds knownUntil =
    std::min(aSentAt + OffsetFromWire(reply.known_until_ms()), BootTime());
  Contain("configuration of peer",
          [&] { m_onReply(reply, knownUntil, aPeer.m_vm); });
  ScheduleNext(kPause);
}

void
ConfigFollower::ScheduleNext(milliseconds aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (!aError) {
      self->Ask();
    }
  });
}

} // namespace siskindeal
