#include "membership/node_sync_p.h"

#include <nlohmann/json.hpp>

namespace siskindeal {

std::string
NodeSyncDriver::StateJson()
{
  nlohmann::json nodes;
  nlohmann::json objects;
  const OrderedLock lock(m_mutex);
  for (const auto& [vm, row] : m_exchange.Table().Rows()) {
    nodes[vm] = { { "place", row.m_record.place() },
                  { "role", wire::Role_Name(row.m_record.role()) },
                  { "liveness", wire::Liveness_Name(row.m_liveness) },
                  { "address", row.m_record.address() },
                  { "incarnation", row.m_record.incarnation() },
                  { "sequence", row.m_record.sequence() },
                  { "config_version", row.m_record.config_version() },
                  { "platform_failing", row.m_record.platform_failing() } };
    const auto greeting = m_greetings.find(row.m_record.address());
    if (greeting != m_greetings.end()) {
      nodes[vm]["protocol"] = greeting->second.m_protocol;
    }
    const auto problem = m_exchange.Table().ProtocolMismatch(row.m_record);
    if (!problem.empty()) {
      nodes[vm]["unreachable_because"] = problem;
    }
  }
  for (const auto& [key, entry] : m_exchange.Objects().All()) {
    objects[key] = { { "version", entry.m_object.m_version },
                     { "deleted", entry.m_object.m_deleted } };
  }
  return nlohmann::json{
    { "nodes", nodes },
    { "unreachable_places", m_exchange.Table().UnreachablePlaces() },
    { "objects", objects },
    { "config_version", m_config ? m_config->m_version : 0 },
    { "watches_platform", m_exchange.ShouldWatch() }
  }.dump();
}

} // namespace siskindeal
