// Tests in which regions requests may be served, and which gateways callers are
// told of.

#include "dispatch/home_regions_p.h"
#include "gateway/directory_p.h"
#include "platform/dialect.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace siskindeal {

namespace {

using Regions = std::vector<std::string>;

TEST(HomeRegions, RouteAndTeamBothApply)
{
  struct Case
  {
    Regions m_route;
    Regions m_team;
    Regions m_allowed; // of north, south and east
    bool m_isEmpty = false;
  };
  const std::vector<Case> cases = {
    { {}, {}, { "north", "south", "east" } },
    { { "north" }, {}, { "north" } },
    { {}, { "south", "east" }, { "south", "east" } },
    { { "north", "south" }, { "south", "east" }, { "south" } },
    { { "north" }, { "south" }, {}, true },
    { { "nowhere" }, {}, {} },
  };
  for (const Case& one : cases) {
    const HomeRegions homes(one.m_route, one.m_team);
    for (const std::string region : { "north", "south", "east" }) {
      const bool expected =
        std::count(one.m_allowed.begin(), one.m_allowed.end(), region) > 0;
      EXPECT_EQ(homes.Allows(region), expected) << region;
    }
    EXPECT_EQ(homes.IsEmpty(), one.m_isEmpty);
  }
}

TEST(HomeRegions, UnknownRegionIsNoHome)
{
  EXPECT_TRUE(HomeRegions().Allows(std::nullopt));
  EXPECT_FALSE(HomeRegions({ "north" }, {}).Allows(std::nullopt));
}

TEST(HomeRegions, ConfigurationIsDecodedAndChecked)
{
  SiteObject object;
  object.m_spec = R"({"version":3,"services":[],
    "routes":[{"name":"r1","host":"A.example","path_prefix":"/a/","service":"s",
               "allowed_regions":["north","nowhere"]},
              {"name":"r2","host":"a.example","path_prefix":"/b/","service":"s",
               "allowed_regions":["north","south"]},
              {"name":"r3","host":"b.example","path_prefix":"/","service":"s",
               "allowed_regions":[]}],
    "tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["moon"]},
               {"name":"u","api_keys":["l"],"allowed_regions":null}]})";
  const SiteConfig config = dialect::DecodeConfig(object);
  const auto unknown = FindUnknownHomes(
    config, { { "n-1", "north" }, { "n-2", "north" }, { "s-1", "south" } });
  ASSERT_EQ(unknown.size(), 2U);
  EXPECT_EQ(unknown[0].m_entry + " " + unknown[0].m_region, "route r1 nowhere");
  EXPECT_EQ(unknown[1].m_entry + " " + unknown[1].m_region, "team t moon");
  const auto homes = HomesByHost(config);
  EXPECT_EQ(homes.count("b.example"), 0U);
  EXPECT_TRUE(homes.at("a.example").Allows("north"));
  EXPECT_FALSE(homes.at("a.example").Allows("south"));
}

// The regions of the listed gateways, of which two serve in each region.
std::set<std::string>
ListedRegions(const std::string& aCaller,
              const HomeRegions& aHomes,
              const Regions& aServing)
{
  std::vector<ServingGateway> serving;
  std::map<std::string, std::string> regionOf;
  for (const std::string& region : aServing) {
    for (int i = 0; i < 2; ++i) {
      const auto number = static_cast<std::uint16_t>(serving.size() + 1);
      serving.push_back({ { "10.0.0.1", number }, region });
      regionOf[serving.back().m_callers.ToString()] = region;
    }
  }
  Random random(1);
  std::set<std::string> listed;
  for (const Address& one : ListGateways(serving, aCaller, aHomes, random)) {
    listed.insert(regionOf.at(one.ToString()));
  }
  return listed;
}

TEST(DirectoryHomes, OtherRegionsAreNotListed)
{
  const Regions all = { "north", "south", "east" };
  const HomeRegions home({ "south" }, {});
  const auto regions = [](const Regions& aNames) {
    return std::set<std::string>(aNames.begin(), aNames.end());
  };
  EXPECT_EQ(ListedRegions("north", home, all), regions({ "north", "south" }));
  EXPECT_EQ(ListedRegions("south", home, all), regions({ "south" }));
  EXPECT_EQ(ListedRegions("north", home, { "south", "east" }),
            regions({ "south" }));
  // Without homes in common, only the caller's region is left.
  EXPECT_EQ(ListedRegions("north", HomeRegions({ "south" }, { "east" }), all),
            regions({ "north" }));
  // A caller must be told of some gateway.
  EXPECT_EQ(ListedRegions("north", home, { "east" }), regions({ "east" }));
  EXPECT_EQ(ListedRegions("north", HomeRegions(), all), regions(all));
}

} // namespace

} // namespace siskindeal
