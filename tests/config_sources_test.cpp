// Tests where a gateway reads the configuration, case by case.

#include "gateway/config_sources_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRecent{ 900 };
constexpr milliseconds kOld = kMaxConfigSourceAge + milliseconds(1);
constexpr std::uint64_t kVersion = 7;
const std::string kOwn = "edge-5";

// The store, as a source.
const std::string kStore = "store";

ConfigHolder
Holder(const std::string& aVm,
       std::optional<milliseconds> aAge,
       std::uint64_t aVersion = kVersion,
       bool aIsInOwnRegion = true)
{
  return { aVm, { "127.0.0.1", 1 }, aIsInOwnRegion, aVersion, aAge };
}

// Names that precede, or follow, kOwn in the order of the gateways.
std::vector<std::string>
NamesBeside(bool aPreceding, std::size_t aCount)
{
  std::vector<std::string> names;
  for (int i = 0; names.size() < aCount; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    const auto sources = ChooseConfigSources(
      kOwn, { kVersion, kRecent, {} }, { Holder(name, kRecent) });
    if (sources.m_store != aPreceding) {
      names.push_back(name);
    }
  }
  return names;
}

std::string
SourcesOf(const ConfigKnowledge& aOwn,
          const std::vector<ConfigHolder>& aHolders)
{
  const ConfigSources sources = ChooseConfigSources(kOwn, aOwn, aHolders);
  std::string text = sources.m_store ? kStore : "";
  if (sources.m_peer) {
    text += (text.empty() ? "" : " and ") + sources.m_peer->m_vm;
  }
  return text;
}

TEST(ConfigSources, EachSituationHasItsSources)
{
  const std::string before = NamesBeside(true, 1)[0];
  const std::string after = NamesBeside(false, 1)[0];
  const ConfigKnowledge recent{ kVersion, kRecent, {} };
  const ConfigKnowledge old{ kVersion, kOld, {} };
  const ConfigKnowledge starting{ 0, {}, milliseconds(0) };
  const ConfigKnowledge alone{ 0, {}, kConfigDiscoveryTime };
  struct Case
  {
    std::string m_what;
    ConfigKnowledge m_own;
    std::vector<ConfigHolder> m_holders;
    std::string m_sources;
  };
  const std::vector<Case> cases = {
    { "no other gateway", recent, {}, kStore },
    { "first in the order", recent, { Holder(after, kRecent) }, kStore },
    { "second in the order", recent, { Holder(before, kRecent) }, before },
    { "the first one is old", recent, { Holder(before, kOld) }, kStore },
    { "the first one has none", recent, { Holder(before, {}, 0) }, kStore },
    { "old, the first is recent", old, { Holder(before, kRecent) }, before },
    { "old, a later one is recent",
      old,
      { Holder(after, kRecent) },
      kStore + " and " + after },
    { "all are old, this is first", old, { Holder(after, kOld) }, kStore },
    { "all are old, this is second", old, { Holder(before, kOld) }, "" },
    { "starting", starting, {}, "" },
    { "starting, another is recent",
      starting,
      { Holder(after, kRecent) },
      after },
    { "started, alone", alone, {}, kStore },
    { "a later one is newer",
      recent,
      { Holder(after, kRecent, kVersion + 1) },
      kStore + " and " + after },
    { "a later one is newer, but old",
      recent,
      { Holder(after, kOld, kVersion + 1) },
      kStore + " and " + after },
    { "another region is newer, this is first",
      recent,
      { Holder("far", kRecent, kVersion + 1, false) },
      kStore + " and far" },
    { "another region is newer, this is second",
      recent,
      { Holder(before, kRecent), Holder("far", kRecent, kVersion + 1, false) },
      before },
    { "another region is not newer",
      recent,
      { Holder("far", kRecent, kVersion, false) },
      kStore },
    { "another region is older in the order",
      old,
      { Holder("far", kRecent, kVersion, false) },
      kStore },
  };
  for (const Case& one : cases) {
    EXPECT_EQ(SourcesOf(one.m_own, one.m_holders), one.m_sources) << one.m_what;
  }
}

TEST(ConfigSources, GatewaysTakeTurnsAtTheStoreWhenAllAreOld)
{
  constexpr std::size_t kPreceding = 40;
  std::vector<ConfigHolder> holders;
  for (const std::string& name : NamesBeside(true, kPreceding)) {
    holders.push_back(Holder(name, kOld));
    const auto preceding = static_cast<std::int64_t>(holders.size());
    const milliseconds start = kMaxConfigSourceAge + StoreTurn(preceding);
    EXPECT_GE(StoreTurn(preceding) - StoreTurn(preceding - 1), kStoreTurnTime);
    EXPECT_EQ(SourcesOf({ kVersion, start - milliseconds(1), {} }, holders),
              "");
    EXPECT_EQ(SourcesOf({ kVersion, start, {} }, holders), kStore);
  }
}

TEST(ConfigSources, StartingGatewayWaitsForTheOneThatReads)
{
  const std::string before = NamesBeside(true, 1)[0];
  const std::string after = NamesBeside(false, 1)[0];
  const auto starting = [](milliseconds aKnowsOthersFor, bool aReads = false) {
    return ConfigKnowledge{ 0, {}, aKnowsOthersFor, aReads };
  };
  const auto reading = [](const std::string& aVm) {
    ConfigHolder holder = Holder(aVm, {}, 0);
    holder.m_readsFirst = true;
    return holder;
  };
  const milliseconds ready = kConfigDiscoveryTime;
  const milliseconds longest = ready + kMaxFirstReadTurnTime;
  EXPECT_EQ(SourcesOf(starting(milliseconds(-1)), {}), "");
  EXPECT_EQ(SourcesOf(starting(ready), { Holder(after, {}, 0) }), kStore);
  EXPECT_EQ(SourcesOf(starting(ready), { Holder(before, {}, 0) }), "");
  EXPECT_EQ(
    SourcesOf(starting(ready + kFirstReadTurnTime), { Holder(before, {}, 0) }),
    kStore);
  EXPECT_EQ(SourcesOf(starting(longest - milliseconds(1)), { reading(after) }),
            "");
  EXPECT_EQ(SourcesOf(starting(longest), { reading(after) }), kStore);
  // Of two that began at the same time, the first in the order goes on.
  EXPECT_EQ(SourcesOf(starting(ready, true), { reading(after) }), kStore);
  EXPECT_EQ(
    SourcesOf(starting(ready + kFirstReadTurnTime, true), { reading(before) }),
    "");
}

TEST(ConfigSources, NoGatewayIsAskedByMoreThanTheFanOut)
{
  std::vector<ConfigHolder> holders;
  std::map<std::string, std::size_t> askers;
  for (const std::string& name : NamesBeside(true, 3 * kConfigFanOut)) {
    holders.push_back(Holder(name, kRecent));
  }
  for (const ConfigHolder& asking : holders) {
    std::vector<ConfigHolder> others = holders;
    std::erase_if(others, [&](const ConfigHolder& aOther) {
      return aOther.m_vm == asking.m_vm;
    });
    const auto sources =
      ChooseConfigSources(asking.m_vm, { kVersion, kRecent, {} }, others);
    ++askers[sources.m_peer ? sources.m_peer->m_vm : kStore];
  }
  EXPECT_EQ(askers[kStore], 1U);
  for (const auto& [vm, count] : askers) {
    EXPECT_LE(count, kConfigFanOut) << vm;
  }
}

} // namespace

} // namespace siskindeal
