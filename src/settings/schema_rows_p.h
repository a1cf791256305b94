#pragma once
// Rows shared by the tables of several kinds of settings files.

#include "settings/schema_p.h"

namespace siskindeal {

inline constexpr double kHourMs = 3600.0 * 1000;
inline constexpr Bounds kAtLeastOne{ 1 };
inline constexpr Bounds kFraction{ 0, 1 };
inline constexpr Bounds kAnySize{ 0, 1e15 };
inline constexpr Bounds kDurationBounds{ 1, 24 * kHourMs };
// Of a duration that 0 switches off.
inline constexpr Bounds kOptionalDurationBounds{ 0, 24 * kHourMs };
inline constexpr Bounds kPositiveNumber{ 0.001, 1e9 };

void
AppendRows(SettingTable& aTable, SettingTable aRows);
SettingTable
NodeRows(NodeSettings& aNode);
SettingTable
PlatformRows(PlatformSettings& aPlatform);

} // namespace siskindeal
