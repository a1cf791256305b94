#include "standin/service.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace siskindeal::standin {

ServiceStandIn::ServiceStandIn(ServiceOptions aOptions)
  : StandIn(aOptions.m_standIn)
  , m_options(std::move(aOptions))
{
  Start();
}

ServiceStandIn::~ServiceStandIn()
{
  Stop();
}

std::map<std::string, int>
ServiceStandIn::Executions()
{
  const absl::MutexLock lock(&m_mutex);
  return m_executions;
}

void
ServiceStandIn::Handle(HttpRequest aRequest, const Responder& aResponder)
{
  if (aRequest.m_path == "/standin/executions") {
    Answer(aResponder, 200, Executions());
    return;
  }
  if (aRequest.m_path == "/load") {
    constexpr int kSlots = 64;
    const absl::MutexLock lock(&m_mutex);
    AnswerWithInstance(*this,
                       aResponder,
                       { { "running", m_running },
                         { "waiting", 0 },
                         { "slots", kSlots },
                         { "age_ms", 0 } });
    return;
  }
  const auto key = GetString(aRequest.m_headers, "idempotency-key");
  nlohmann::json answer = { { "key", key },
                            { "method", aRequest.m_method },
                            { "path", aRequest.m_path },
                            { "body", aRequest.m_body } };
  {
    const absl::MutexLock lock(&m_mutex);
    auto& executions = m_executions[key];
    if (!m_options.m_dropsDuplicates || key.empty() || executions == 0) {
      ++executions;
    }
    ++m_running;
    answer["executed"] = executions;
  }
  GetScheduler().After(m_options.m_work,
                       [this, aResponder, answer = std::move(answer)] {
                         {
                           const absl::MutexLock lock(&m_mutex);
                           --m_running;
                         }
                         Answer(aResponder, 200, answer);
                       });
}

} // namespace siskindeal::standin
