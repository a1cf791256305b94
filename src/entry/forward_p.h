#pragma once
// Passes callers' requests to the agents of upstreams: one session a request,
// which chooses, retries where that is safe, and says the verdict.

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

// A caller's request, checked and understood.
struct CallerRequest
{
  std::string m_id;
  std::string m_service;
  std::string m_class; // model requests
  std::string m_team;
  std::string m_session; // empty, or keeps a chat near its cached prefix
  int m_priority = 0;
  std::chrono::milliseconds m_timeout{ 0 };
  std::string m_method;
  std::string m_path;
  HttpHeaders m_headers; // those passed on
  std::string m_body;
  bool m_stream = false;
  bool m_idempotent = true;
  std::string m_key; // idempotency key, set when not idempotent
  std::uint64_t m_fingerprint = 0;
  std::uint64_t m_prefixHash = 0; // of the first message, model requests
};

// An agent that could take a request, and the weights it would answer from.
struct Destination
{
  wire::NodeRecord m_node;
  std::string m_digest; // model requests
};

// What a forwarder uses of the entry.
struct ForwardParts
{
  NodeClient& m_client;
  const Clock& m_clock;
  std::function<std::shared_ptr<const FleetView>()> m_view;
  RoutingSettings m_routing;
  std::size_t m_mostStreams = 0; // streamed answers at once
  std::shared_ptr<Traffic> m_traffic;
  // Sends a suspicion to the other processes; runs the task once the reachable
  // entries have it, or after a short while.
  std::function<void(const wire::Suspicion&, std::function<void()>)> m_spread;
};

class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
  explicit Forwarder(ForwardParts aParts);

  // Answers the responder exactly once, with the verdict.
  void Forward(CallerRequest aRequest,
               std::shared_ptr<HttpResponder> aResponder);

  std::size_t InFlight() const { return m_inFlight.load(); }

private:
  friend class ForwardSession;

  // Agents that may run the request, those in aTried left out; with a digest
  // only those that answer from these weights.
  std::vector<Destination> Destinations(const CallerRequest& aRequest,
                                        const std::set<std::string>& aTried,
                                        const std::string& aDigest) const;
  // Where the next attempt goes; nothing when no agent takes the request.
  std::optional<Destination> Choose(const CallerRequest& aRequest,
                                    const std::set<std::string>& aTried,
                                    const std::string& aDigest) const;
  // The runners that the router must leave out.
  std::vector<std::string> LeftOut(
    const CallerRequest& aRequest,
    const std::set<std::string>& aTried,
    const std::vector<Destination>& aDestinations) const;

  const ForwardParts m_parts;
  std::atomic<std::size_t> m_inFlight{ 0 };
  std::atomic<std::size_t> m_streams{ 0 }; // of those in flight
};

} // namespace siskindeal
