#pragma once
// Understands callers' HTTP requests: checks them whole and hands them on.

#include "forward_p.h"
#include "siskindeal/fleet_config.h"

#include <memory>
#include <string>

namespace siskindeal {

// What the callers' interface uses of the entry.
struct FrontParts
{
  std::function<std::shared_ptr<const FleetConfig>()> m_config;
  // The JSON of GET /v1/entry.
  std::function<std::string()> m_entriesJson;
  // Passes a checked request on.
  std::function<void(CallerRequest, std::shared_ptr<HttpResponder>)> m_forward;
  HttpSettings m_http;
};

class Front
{
public:
  explicit Front(FrontParts aParts);

  // Answers a caller's request, or refuses it as "not run" with a reason.
  void Handle(HttpRequest aRequest,
              const std::shared_ptr<HttpResponder>& aResponder);

private:
  void HandleModels(HttpResponder& aResponder) const;
  void HandleModel(const std::string& aName, HttpResponder& aResponder) const;
  CallerRequest ReadChat(const HttpRequest& aRequest) const;
  CallerRequest ReadService(const HttpRequest& aRequest) const;
  void ReadCommon(const HttpRequest& aRequest, CallerRequest& aResult) const;

  const FrontParts m_parts;
};

} // namespace siskindeal
