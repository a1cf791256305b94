#pragma once
// The callers' HTTP interface. Validates requests and passes them to the
// forwarder.

#include "forward_p.h"
#include "siskindeal/fleet_config.h"

#include <memory>
#include <string>

namespace siskindeal {

// Dependencies of CallerApi.
struct CallerApiContext
{
  std::function<std::shared_ptr<const FleetConfig>()> m_config;
  // The JSON of GET /v1/entry.
  std::function<std::string()> m_entriesJson;
  // Forwards a validated request.
  std::function<void(CallerRequest, std::shared_ptr<HttpResponder>)> m_forward;
  HttpSettings m_http;
};

class CallerApi
{
public:
  explicit CallerApi(CallerApiContext aContext);

  // Responds to a request, or forwards it. An invalid request is rejected with
  // a reason and the verdict "not run".
  void Handle(HttpRequest aRequest,
              const std::shared_ptr<HttpResponder>& aResponder);

private:
  void HandleModels(HttpResponder& aResponder) const;
  void HandleModel(const std::string& aName, HttpResponder& aResponder) const;
  CallerRequest ReadChat(const HttpRequest& aRequest) const;
  CallerRequest ReadService(const HttpRequest& aRequest) const;
  void ReadCommon(const HttpRequest& aRequest, CallerRequest& aResult) const;

  const CallerApiContext m_context;
};

} // namespace siskindeal
