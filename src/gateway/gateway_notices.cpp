// What runners state about themselves in their responses.

#include "gateway/gateway_p.h"
#include "siskindeal/metrics.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kMisdirectedRequest = 421;

} // namespace

void
Gateway::RecordNotice(const std::string& aRequest,
                      const RunnerIncarnation& aRunner,
                      const ResponseHead& aHead,
                      MonotonicTime aSentAt)
{
  const MonotonicTime now = LoopNow();
  const dialect::RunnerNotice notice =
    dialect::DecodeNotice(aHead.m_status, [&](std::string_view aName) {
      return aHead.m_fields.Find(aName);
    });
  for (const std::string_view name : notice.m_unusable) {
    LogRequest(LogLevel::Warning,
               "runner header unusable",
               { { "id", aRequest },
                 { "runner", aRunner.m_id },
                 { "header", name },
                 { "value", *aHead.m_fields.Find(name) } });
  }
  m_limits.RecordResponse(aRunner, notice.m_limit, aSentAt, now);
  if (aHead.m_status == kMisdirectedRequest) {
    return; // possibly from another runner at this address
  }
  if (notice.m_leaving && m_notices.RecordLeaving(aRunner, now)) {
    CountMetric("siskindeal_gateway_runners_leaving_total");
  }
  if (notice.m_wait) {
    const milliseconds wait =
      m_notices.RecordWait(aRunner, *notice.m_wait, now);
    CountMetric("siskindeal_gateway_runner_waits_total");
    LogRequest(LogLevel::Info,
               "runner wants no requests",
               { { "id", aRequest },
                 { "runner", aRunner.m_id },
                 { "retry_after", *aHead.m_fields.Find(dialect::kRetryAfter) },
                 { "wait_ms", wait.count() } });
  }
}

std::vector<v1::RunnerLeavingReport>
Gateway::LeavingToAdvertise()
{
  std::vector<v1::RunnerLeavingReport> reports;
  for (const RunnerIncarnation& runner : m_notices.Advertise()) {
    v1::RunnerLeavingReport& report = reports.emplace_back();
    report.set_runner(runner.m_id);
    report.set_created(runner.m_created);
    report.set_born(runner.m_born);
  }
  return reports;
}

void
Gateway::MergeLeaving(
  const google::protobuf::RepeatedPtrField<v1::RunnerLeavingReport>& aLeaving)
{
  for (const v1::RunnerLeavingReport& report : aLeaving) {
    m_notices.MergeLeaving(
      m_runners.Resolve({ report.runner(), report.created(), report.born() }),
      LoopNow());
  }
}

bool
Gateway::IsListed(const RunnerIncarnation& aRunner)
{
  return m_runners.Find(aRunner) != nullptr;
}

void
Gateway::UpdateNotices()
{
  m_notices.Update(
    [&](const RunnerIncarnation& aRunner) { return IsListed(aRunner); },
    LoopNow());
}

} // namespace siskindeal
