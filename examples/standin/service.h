#pragma once
// Stand-in for a plain service. Counts executions by idempotency key so that
// tests can detect duplicates.

#include "standin/stand_in.h"

#include <map>
#include <string>

namespace siskindeal::standin {

struct ServiceOptions
{
  StandInOptions m_standIn;
  std::chrono::milliseconds m_work{ 1 }; // per request
  bool m_dropsDuplicates = false;        // by idempotency-key
};

class ServiceStandIn final : public StandIn
{
public:
  explicit ServiceStandIn(ServiceOptions aOptions);
  ~ServiceStandIn() override;

  // Executions by idempotency key; requests without a key count under "".
  std::map<std::string, int> Executions();

protected:
  void Handle(HttpRequest aRequest, const Responder& aResponder) override;

private:
  const ServiceOptions m_options;
  absl::Mutex m_mutex;
  std::map<std::string, int> m_executions ABSL_GUARDED_BY(m_mutex);
  int m_running ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal::standin
