#include "settings/schema_rows_p.h"

namespace siskindeal {

void
AppendRows(SettingTable& aTable, SettingTable aRows)
{
  for (Setting& row : aRows) {
    aTable.push_back(std::move(row));
  }
}

SettingTable
NodeRows(NodeSettings& aNode)
{
  return {
    { "node",
      "vm",
      &aNode.m_vm,
      "name of this VM, unique in the fleet",
      Presence::Required },
    { "node",
      "place",
      &aNode.m_place,
      "place this VM is in",
      Presence::Required },
    { "node",
      "rpc",
      &aNode.m_rpc,
      "where siskindeal's other processes connect; port 0 picks a free one",
      Presence::Required },
    { "node",
      "advertise",
      &aNode.m_advertise,
      "where siskindeal's other processes reach rpc, if not at its own "
      "address" },
    { "node",
      "http",
      &aNode.m_http,
      "where callers and operators connect; on an agent only metrics, health "
      "and state",
      Presence::Required },
    { "node",
      "log_level",
      ChoiceField{ &aNode.m_logLevel, { "debug", "info", "warning", "error" } },
      "least level that is logged" },
    { "node",
      "entries",
      &aNode.m_entries,
      "rpc addresses of entries to contact first; its own is allowed" },
    { "node",
      "memory_megabytes",
      &aNode.m_memoryMegabytes,
      "memory that the process may use, a quarter of it for messages; 0: what "
      "the VM has",
      Presence::Optional,
      kAnySize },
  };
}

SettingTable
PlatformRows(PlatformSettings& aPlatform)
{
  return {
    { "platform",
      "url",
      UrlField{ &aPlatform.m_url },
      "the platform's object API",
      Presence::Required },
    { "platform",
      "timeout",
      &aPlatform.m_timeout,
      "longest wait for an answer, a watch's own wait apart",
      Presence::Optional,
      kDurationBounds },
    { "platform",
      "reads_per_second",
      &aPlatform.m_readsPerSecond,
      "this process's budget of reads, a waiting watch counted as one",
      Presence::Optional,
      kPositiveNumber },
    { "platform",
      "writes_per_second",
      &aPlatform.m_writesPerSecond,
      "this process's budget of writes",
      Presence::Optional,
      kPositiveNumber },
  };
}

} // namespace siskindeal
