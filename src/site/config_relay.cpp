#include "site/config_relay_p.h"

#include "net/gzip_p.h"
#include "net/query_p.h"
#include "platform/dialect.h"
#include "siskindeal/wire_values.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxConfigBytes = 16 << 20;

std::optional<std::uint64_t>
QueryNumber(std::string_view aTarget, std::string_view aName)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(QueryValue(aTarget, aName), &number)
           ? std::optional(number)
           : std::nullopt;
}

milliseconds
QueryMillis(std::string_view aTarget, std::string_view aName)
{
  return MillisFromWire(QueryNumber(aTarget, aName).value_or(0));
}

} // namespace

std::string
ConfigQuestion::Target() const
{
  std::string target = std::string(kConfigPath) +
                       "?after=" + std::to_string(m_version) +
                       "&age_ms=" + std::to_string(m_age.count()) +
                       "&wait_ms=" + std::to_string(m_wait.count());
  if (m_runners) {
    target += "&lineage=" + std::to_string(m_runners->m_lineage) +
              "&revision=" + std::to_string(m_runners->m_revision) +
              "&era=" + std::to_string(m_runners->m_era);
  }
  return target;
}

ConfigQuestion
ParseConfigQuestion(std::string_view aTarget)
{
  ConfigQuestion question;
  question.m_version = QueryNumber(aTarget, "after").value_or(0);
  question.m_age = QueryMillis(aTarget, "age_ms");
  question.m_wait = QueryMillis(aTarget, "wait_ms");
  const auto lineage = QueryNumber(aTarget, "lineage");
  const auto revision = QueryNumber(aTarget, "revision");
  if (lineage && revision) {
    question.m_runners = RunnerListMark{
      *lineage, *revision, QueryNumber(aTarget, "era").value_or(0)
    };
  }
  return question;
}

SiteObject
DecodeConfigReply(const v1::ConfigReply& aReply)
{
  SiteObject object;
  object.m_name = dialect::kConfigName;
  object.m_spec = Decompress(aReply.spec(), kMaxConfigBytes);
  return object;
}

v1::RunnerListReply
EncodeRunnerList(const RunnerList& aList, const RunnerListMark& aMark)
{
  const RunnerListDelta delta = aList.Since(aMark);
  v1::RunnerListReply reply;
  reply.set_lineage(aList.Mark().m_lineage);
  reply.set_revision(aList.Mark().m_revision);
  reply.set_era(aList.Mark().m_era);
  reply.set_whole(delta.m_whole);
  for (const RunnerRecord& runner : delta.m_runners) {
    v1::RunnerEntry& entry = *reply.add_runners();
    entry.set_id(runner.m_id);
    entry.set_created(runner.m_created);
    entry.set_born(runner.m_born);
    entry.set_service(runner.m_service);
    entry.set_address(runner.m_address.ToString());
    entry.set_place(runner.m_place);
    entry.set_slots(runner.m_slots);
    entry.set_draining(runner.m_draining);
    if (runner.m_coldFor) {
      entry.set_cold_ms(static_cast<std::uint32_t>(runner.m_coldFor->count()));
    }
    for (const auto& [model, version] : runner.m_versions) {
      (*entry.mutable_versions())[model] = version;
    }
  }
  for (const std::string& id : delta.m_removed) {
    reply.add_removed(id);
  }
  return reply;
}

RunnerListDelta
DecodeRunnerList(const v1::RunnerListReply& aReply)
{
  RunnerListDelta delta;
  delta.m_whole = aReply.whole();
  for (const v1::RunnerEntry& entry : aReply.runners()) {
    RunnerRecord& runner = delta.m_runners.emplace_back();
    runner.m_id = entry.id();
    runner.m_created = entry.created();
    runner.m_born = entry.born();
    runner.m_service = entry.service();
    runner.m_address = ParseAddress(entry.address());
    runner.m_place = entry.place();
    runner.m_slots = entry.slots();
    runner.m_draining = entry.draining();
    if (entry.has_cold_ms()) {
      runner.m_coldFor = milliseconds(entry.cold_ms());
    }
    for (const auto& [model, version] : entry.versions()) {
      runner.m_versions[model] = version;
    }
  }
  delta.m_removed.assign(aReply.removed().begin(), aReply.removed().end());
  return delta;
}

} // namespace siskindeal
