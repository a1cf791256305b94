#include "forward_p.h"

#include "forward_session_p.h"
#include "node/answer_p.h"
#include "siskindeal/claims.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kStreamLimitRetryAfter{ 1000 };

// Returns aWanted if it is set, else the digest of the newest weights, which
// the node lists last. Empty if the node does not serve them for the class.
std::string
ServingDigest(const wire::NodeRecord& aNode,
              const std::string& aClass,
              const std::string& aWanted)
{
  std::string digest;
  for (const auto& serving : aNode.serving()) {
    if (serving.class_of_work() == aClass &&
        (aWanted.empty() || serving.digest() == aWanted)) {
      digest = serving.digest();
    }
  }
  return digest;
}

// Returns the index of the agent at which the requests of this key run.
std::size_t
HomeIndex(const CallerRequest& aRequest,
          const std::vector<Destination>& aDestinations)
{
  std::vector<std::string> agents;
  agents.reserve(aDestinations.size());
  for (const auto& destination : aDestinations) {
    agents.push_back(destination.m_node.vm());
  }
  const auto key =
    ClaimKeyOf(aRequest.m_service, aRequest.m_team, aRequest.m_key);
  const auto home = ClaimHomeOf(aRequest.m_service, ClaimShardOf(key), agents);
  return static_cast<std::size_t>(
    std::find(agents.begin(), agents.end(), home) - agents.begin());
}

} // namespace

Forwarder::Forwarder(ForwarderContext aContext)
  : m_context(std::move(aContext))
{
}

void
Forwarder::Forward(CallerRequest aRequest,
                   std::shared_ptr<HttpResponder> aResponder)
{
  if (aRequest.m_stream && m_streams.load() >= m_context.m_maxStreams) {
    RespondError(*aResponder,
                 { Reason::Overloaded,
                   Verdict::NotRun,
                   "this entry has reached its limit of concurrent streams",
                   kStreamLimitRetryAfter });
    return;
  }
  std::make_shared<ForwardSession>(
    shared_from_this(), std::move(aRequest), std::move(aResponder))
    ->Begin();
}

std::vector<Destination>
Forwarder::Destinations(const CallerRequest& aRequest,
                        const std::set<std::string>& aTried,
                        const std::string& aDigest) const
{
  std::vector<Destination> destinations;
  const auto view = m_context.m_view();
  for (const auto& [vm, fleetNode] : view->m_nodes) {
    const auto& node = fleetNode.m_record;
    if (node.role() != wire::ROLE_AGENT ||
        node.service() != aRequest.m_service ||
        node.liveness() != wire::LIVENESS_ALIVE || node.upstream_down() ||
        aTried.count(node.vm()) > 0) {
      continue;
    }
    Destination destination{ node, {} };
    if (!aRequest.m_class.empty()) {
      destination.m_digest = ServingDigest(node, aRequest.m_class, aDigest);
      if (destination.m_digest.empty()) {
        continue;
      }
    }
    destinations.push_back(std::move(destination));
  }
  return destinations;
}

std::vector<std::string>
Forwarder::ExcludedRunners(const CallerRequest& aRequest,
                           const std::set<std::string>& aTried,
                           const std::vector<Destination>& aDestinations) const
{
  std::vector<std::string> excluded(aTried.begin(), aTried.end());
  // All entries must select the same runner for a suspect request, so only
  // tried runners are excluded.
  if (m_context.m_traffic->StateOf(aRequest.m_fingerprint) !=
      SuspicionState::None) {
    return excluded;
  }
  const auto all = Destinations(aRequest, aTried, {});
  excluded.reserve(excluded.size() + all.size());
  for (const auto& other : all) {
    const auto& vm = other.m_node.vm();
    if (std::none_of(aDestinations.begin(),
                     aDestinations.end(),
                     [&](const auto& aDestination) {
                       return aDestination.m_node.vm() == vm;
                     })) {
      excluded.push_back(vm);
    }
  }
  return excluded;
}

std::optional<Destination>
Forwarder::Choose(const CallerRequest& aRequest,
                  const std::set<std::string>& aTried,
                  const std::string& aDigest) const
{
  auto destinations = Destinations(aRequest, aTried, aDigest);
  if (destinations.empty()) {
    return std::nullopt;
  }
  if (!aRequest.m_idempotent) {
    return destinations[HomeIndex(aRequest, destinations)];
  }
  RoutingRequest routing{ "",
                          aRequest.m_class,
                          aRequest.m_prefixHash,
                          { aTried.begin(), aTried.end() } };
  if (!aDigest.empty()) {
    routing.m_tried = ExcludedRunners(aRequest, aTried, destinations);
  }
  const auto vm = m_context.m_traffic->Choose(
    aRequest.m_service, routing, aRequest.m_fingerprint);
  for (auto& destination : destinations) {
    if (destination.m_node.vm() == vm) {
      return destination;
    }
  }
  if (m_context.m_traffic->StateOf(aRequest.m_fingerprint) !=
      SuspicionState::None) {
    return std::nullopt;
  }
  // The router's table may be slightly older or newer than the view.
  return destinations.front();
}

} // namespace siskindeal
