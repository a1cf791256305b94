#include "membership/vm_list_p.h"

#include "platform/object_json_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

std::string
VmListToJson(std::vector<VmListing> aVms)
{
  std::sort(aVms.begin(), aVms.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.m_vm < aTwo.m_vm;
  });
  auto vms = nlohmann::json::array();
  for (const auto& vm : aVms) {
    vms.push_back({ { "vm", vm.m_vm },
                    { "place", vm.m_place },
                    { "service", vm.m_service },
                    { "rpc", vm.m_rpcAddress },
                    { "leaving", vm.m_leaving } });
  }
  return nlohmann::json({ { "vms", vms } }).dump();
}

std::vector<VmListing>
VmListFromJson(const std::string& aJson)
{
  return ParseVms(aJson).m_vms;
}

} // namespace siskindeal
