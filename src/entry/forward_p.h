#pragma once
// Forwards callers' requests to the agents of upstreams. Each request has a
// session that selects an agent, retries where that is safe, and reports the
// verdict.

#include "siskindeal/clock.h"
#include "siskindeal/error.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/http.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "traffic_p.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

// A validated request of a caller.
struct CallerRequest
{
  std::string m_id;
  std::string m_service;
  std::string m_class; // model requests
  std::string m_team;
  std::string m_session; // may be empty; identifies a conversation
  int m_priority = 0;
  std::chrono::milliseconds m_timeout{ 0 };
  std::string m_method;
  std::string m_path;
  HttpHeaders m_headers; // forwarded headers only
  std::string m_body;
  bool m_stream = false;
  bool m_idempotent = true;
  std::string m_key; // idempotency key, set when not idempotent
  std::uint64_t m_fingerprint = 0;
  std::uint64_t m_prefixHash = 0; // of the first message, model requests
};

// An agent that can serve a request, and the weights that it would use.
struct Destination
{
  wire::NodeRecord m_node;
  std::string m_digest; // model requests
};

// Dependencies of Forwarder.
struct ForwarderContext
{
  NodeClient& m_client;
  const Clock& m_clock;
  std::function<std::shared_ptr<const FleetView>()> m_view;
  RoutingSettings m_routing;
  std::size_t m_maxStreams = 0; // concurrent streams
  std::shared_ptr<Traffic> m_traffic;
  // Sends a suspicion to the other processes. Runs the task once all reachable
  // entries have received it, or after a timeout.
  std::function<void(const wire::Suspicion&, std::function<void()>)>
    m_broadcastSuspicion;
};

class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
  explicit Forwarder(ForwarderContext aContext);

  // Responds exactly once, with the verdict.
  void Forward(CallerRequest aRequest,
               std::shared_ptr<HttpResponder> aResponder);

  std::size_t InFlight() const { return m_inFlight.load(); }

private:
  friend class ForwardSession;

  // Returns the agents that may run the request, except those in aTried. If
  // aDigest is set, only agents that serve these weights are returned.
  std::vector<Destination> Destinations(const CallerRequest& aRequest,
                                        const std::set<std::string>& aTried,
                                        const std::string& aDigest) const;
  // Selects the agent for the next attempt; nullopt if none is available.
  std::optional<Destination> Choose(const CallerRequest& aRequest,
                                    const std::set<std::string>& aTried,
                                    const std::string& aDigest) const;
  // Returns the runners that the router must not select.
  std::vector<std::string> ExcludedRunners(
    const CallerRequest& aRequest,
    const std::set<std::string>& aTried,
    const std::vector<Destination>& aDestinations) const;

  const ForwarderContext m_context;
  std::atomic<std::size_t> m_inFlight{ 0 };
  std::atomic<std::size_t> m_streams{ 0 }; // in-flight streams
};

} // namespace siskindeal
