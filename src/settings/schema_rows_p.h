#pragma once
// Rows that the tables of several kinds of file share.

#include "settings/schema_p.h"

namespace siskindeal {

inline constexpr double kHourMs = 3600.0 * 1000;
inline constexpr Bounds kAtLeastOne{ 1 };
inline constexpr Bounds kShare{ 0, 1 };
inline constexpr Bounds kAnySize{ 0, 1e15 };
inline constexpr Bounds kDuration{ 1, 24 * kHourMs };
inline constexpr Bounds kRate{ 0.001, 1e9 };

void
Append(SettingTable& aTable, SettingTable aRows);
SettingTable
NodeRows(NodeSettings& aNode);
SettingTable
PlatformRows(PlatformSettings& aPlatform);

} // namespace siskindeal
