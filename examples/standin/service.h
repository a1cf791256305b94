#pragma once
// A stand-in for a plain service. It counts how often each idempotency key was
// executed, so that a test can tell that nothing ran twice.

#include "standin/stand_in.h"

#include <map>
#include <string>

namespace siskindeal::standin {

struct ServiceOptions
{
  StandInOptions m_standIn;
  std::chrono::milliseconds m_work{ 1 }; // of one request
  bool m_dropsDuplicates = false;        // by idempotency-key
};

class ServiceStandIn final : public StandIn
{
public:
  explicit ServiceStandIn(ServiceOptions aOptions);
  ~ServiceStandIn() override;

  // Executions by idempotency key; requests without one under "".
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
