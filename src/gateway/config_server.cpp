#include "gateway/config_server_p.h"

#include "net/datagrams_p.h"
#include "siskindeal/metrics.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxWait{ 30000 };
constexpr std::size_t kMaxHeld = 1024;
// What was learned this much later than what the asking gateway knows is news.
constexpr milliseconds kMinAdvance{ 100 };

} // namespace

void
ConfigServer::Answer(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (m_snapshot.m_spec == nullptr || m_held.size() >= kMaxHeld) {
    aConnection->SendResponse(503, {}, {}, "no configuration to pass on");
    return;
  }
  const ConfigQuestion asked =
    ParseConfigQuestion(aConnection->Request().m_target);
  const milliseconds now = BootTime();
  const Question question{
    aConnection, asked.m_version,   asked.m_runners,
    now,         now - asked.m_age, now + std::min(asked.m_wait, kMaxWait)
  };
  if (HasNewsFor(question) || IsDue(question)) {
    Respond(question);
    return;
  }
  aConnection->m_onDisconnect = [this, connection = aConnection.get()] {
    std::erase_if(m_held, [&](const Question& aHeld) {
      return aHeld.m_connection.get() == connection;
    });
  };
  m_held.push_back(question);
}

bool
ConfigServer::HasNewsFor(const Question& aQuestion) const
{
  return m_snapshot.m_version > aQuestion.m_version ||
         (aQuestion.m_runners && m_runners.HasNewsFor(*aQuestion.m_runners)) ||
         m_snapshot.KnownUntil() > aQuestion.m_knownUntil + kMinAdvance;
}

bool
ConfigServer::IsDue(const Question& aQuestion) const
{
  return BootTime() >= aQuestion.m_answerAt;
}

void
ConfigServer::Respond(const Question& aQuestion) const
{
  v1::ConfigReply reply;
  reply.set_version(m_snapshot.m_version);
  reply.set_revision(m_snapshot.m_position.m_revision);
  reply.set_era(m_snapshot.m_position.m_era);
  reply.set_stored_version(m_snapshot.m_storedVersion);
  reply.set_known_until_ms(
    (m_snapshot.m_knownUntil - aQuestion.m_arrivedAt).count());
  if (m_snapshot.m_version > aQuestion.m_version) {
    reply.set_spec(*m_snapshot.m_spec);
  }
  AppendNamedAges(m_named, BootTime(), *reply.mutable_named());
  if (aQuestion.m_runners && m_runners.Mark().m_lineage != 0 &&
      m_runners.Mark().m_era >= aQuestion.m_runners->m_era) {
    *reply.mutable_runners() =
      EncodeRunnerList(m_runners, *aQuestion.m_runners);
    reply.mutable_runners()->set_known_until_ms(
      (m_snapshot.m_runnersKnownUntil - aQuestion.m_arrivedAt).count());
    const milliseconds withoutGap =
      m_snapshot.m_runnersKnownUntil - m_snapshot.m_runnersWithoutGapSince;
    reply.mutable_runners()->set_without_gap_ms(static_cast<std::uint64_t>(
      std::max(withoutGap, milliseconds(0)).count()));
  }
  CountMetric("siskindeal_gateway_config_bytes_total",
              { { "kind", "config" } },
              static_cast<double>(reply.spec().size()));
  CountMetric("siskindeal_gateway_config_bytes_total",
              { { "kind", "runners" } },
              static_cast<double>(reply.runners().ByteSizeLong()));
  aQuestion.m_connection->m_onDisconnect = nullptr;
  aQuestion.m_connection->SendResponse(200, {}, {}, reply.SerializeAsString());
}

void
ConfigServer::AnswerSome(bool (ConfigServer::*aIsDue)(const Question&) const)
{
  const auto due = std::stable_partition(
    m_held.begin(), m_held.end(), [&](const Question& aQuestion) {
      return !(this->*aIsDue)(aQuestion);
    });
  const std::vector<Question> answered(due, m_held.end());
  m_held.erase(due, m_held.end());
  for (const Question& question : answered) {
    Respond(question);
  }
}

void
ConfigServer::Update(ConfigSnapshot aSnapshot)
{
  m_snapshot = std::move(aSnapshot);
  AnswerSome(&ConfigServer::HasNewsFor);
}

void
ConfigServer::Tick()
{
  AnswerSome(&ConfigServer::IsDue);
}

} // namespace siskindeal
