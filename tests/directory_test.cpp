// Which gateways a caller is told of.

#include "gateway/directory_p.h"
#include "net/query_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

constexpr int kCallers = 400;

std::vector<ServingGateway>
Serving(const std::map<std::string, int>& aPerRegion)
{
  std::vector<ServingGateway> serving;
  for (const auto& [region, count] : aPerRegion) {
    for (int i = 0; i < count; ++i) {
      serving.push_back(
        { { region, static_cast<std::uint16_t>(i + 1) }, region });
    }
  }
  return serving;
}

// The host of an address is its region here.
std::map<std::string, std::size_t>
CountByRegion(const std::vector<Address>& aListed)
{
  std::map<std::string, std::size_t> counts;
  for (const Address& address : aListed) {
    ++counts[address.m_host];
  }
  return counts;
}

TEST(Directory, CallerOfALargeFleetIsToldOfItsOwnRegionOnly)
{
  Random random(1);
  const auto serving =
    Serving({ { "east", 34 }, { "north", 31 }, { "west", 83 } });
  for (int i = 0; i < kCallers; ++i) {
    EXPECT_EQ(
      CountByRegion(ListGateways(serving, "east", HomeRegions(), random)),
      (std::map<std::string, std::size_t>{ { "east", 34 } }));
  }
}

TEST(Directory, SmallRegionIsFilledFromOthers)
{
  Random random(2);
  const auto serving =
    Serving({ { "east", 3 }, { "north", 3 }, { "west", 3 } });
  std::set<std::string> others;
  for (int i = 0; i < kCallers; ++i) {
    const auto counts =
      CountByRegion(ListGateways(serving, "east", HomeRegions(), random));
    EXPECT_EQ(counts.at("east"), 3U);
    std::size_t listed = 0;
    for (const auto& [region, count] : counts) {
      listed += count;
      others.insert(region);
    }
    EXPECT_EQ(listed, kMinListedAddresses);
  }
  EXPECT_EQ(others.size(), 3U);
}

TEST(Directory, RegionWithoutGatewaysIsServedByAllOthers)
{
  Random random(3);
  const auto serving = Serving({ { "north", 20 }, { "west", 20 } });
  for (const char* region : { "east", "", "nowhere" }) {
    EXPECT_EQ(ListGateways(serving, region, HomeRegions(), random).size(),
              serving.size());
  }
}

TEST(Directory, CallersOfARegionSpreadEvenly)
{
  Random random(4);
  const auto serving = Serving({ { "east", 170 }, { "west", 170 } });
  std::map<std::uint16_t, int> told;
  for (int i = 0; i < kCallers; ++i) {
    const auto listed = ListGateways(serving, "east", HomeRegions(), random);
    EXPECT_EQ(listed.size(), kMaxListedAddresses);
    for (const Address& address : listed) {
      EXPECT_EQ(address.m_host, "east");
      ++told[address.m_port];
    }
  }
  // 150 on average; random draws stay within a third of that.
  ASSERT_EQ(told.size(), 170U);
  for (const auto& [port, count] : told) {
    EXPECT_GT(count, 100) << port;
    EXPECT_LT(count, 200) << port;
  }
}

TEST(Directory, NothingServesNothingIsListed)
{
  Random random(5);
  EXPECT_TRUE(ListGateways({}, "east", HomeRegions(), random).empty());
}

TEST(QueryValue, FindsParametersAmongOthers)
{
  EXPECT_EQ(QueryValue("/r?name=a.example&region=ocho-rios&zone=x", "region"),
            "ocho-rios");
  EXPECT_EQ(QueryValue("/r?xregion=a", "region"), "");
  EXPECT_EQ(QueryValue("/r?region", "region"), "");
  EXPECT_EQ(QueryValue("/r?region=", "region"), "");
  EXPECT_EQ(QueryValue("/region=a", "region"), "");
}

} // namespace

} // namespace siskindeal
