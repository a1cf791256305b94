// Tests that entries of the platform's store which other programs wrote, and
// which can't be used, affect no other entry.

#include "site/object_feed_p.h"
#include "site/site_objects_p.h"
#include "support/gateway_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::size_t kManyLevels = 100000;

const std::string kSound =
  R"({"service":"s","address":"10.0.0.1:80","state":"ready"})";

std::string
NestedArrays(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

std::string
NestedObjects(std::size_t aLevels)
{
  std::string text;
  for (std::size_t i = 0; i < aLevels; ++i) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aLevels, '}');
}

std::string
WithZone(const std::string& aZone)
{
  return R"({"service":"s","address":"10.0.0.2:80","state":"ready","zone":)" +
         aZone + "}";
}

// Specs of which no runner is to be used.
std::vector<std::string>
UnusableSpecs()
{
  return { WithZone(NestedArrays(kManyLevels)),
           WithZone(NestedObjects(kManyLevels)),
           NestedArrays(kManyLevels),
           WithZone("\"\xff\xfe\""),
           WithZone("\"\x01\""),
           WithZone("1e999"),
           WithZone("nothing"),
           "7",
           "null" };
}

std::string
Entry(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName +
         R"(","rev":7,"created":3,"finalizers":[]},"spec":)" + aSpec +
         R"(,"status":{}})";
}

std::string
Page(const std::string& aItems)
{
  return R"({"items":[)" + aItems + R"(],"has_more":true,"at":9})";
}

std::string
IdsOf(const std::vector<SiteObject>& aObjects)
{
  std::string ids;
  for (const RunnerRecord& runner : ReadRunners(aObjects)) {
    ids += runner.m_id + " ";
  }
  return ids;
}

TEST(StoreEntries, UnusableEntryOfAListHidesNoOther)
{
  for (const std::string& spec : UnusableSpecs()) {
    SCOPED_TRACE(spec.substr(0, 80));
    const SiteObjects page = dialect::DecodeList(Page(
      Entry("a", kSound) + "," + Entry("b", spec) + "," + Entry("c", kSound)));
    EXPECT_EQ(IdsOf(page.m_objects), "a c ");
    EXPECT_EQ(page.m_revision, 9U);
    EXPECT_TRUE(page.m_hasMore);
  }
}

TEST(StoreEntries, UnusableEntryOfAWatchHidesNoOther)
{
  for (const std::string& spec : UnusableSpecs()) {
    SCOPED_TRACE(spec.substr(0, 80));
    const auto event = [](const std::string& aEntry, const char* aDeleted) {
      return R"({"object":)" + aEntry + R"(,"deleted":)" + aDeleted + "}";
    };
    const SiteObjects changes = dialect::DecodeWatch(
      R"({"events":[)" + event(Entry("a", kSound), "false") + "," +
      event(Entry("b", spec), "false") + "," +
      event(Entry("c", kSound), "true") + R"(],"at":9})");
    EXPECT_EQ(IdsOf(changes.m_objects), "a c ");
    ASSERT_EQ(changes.m_objects.size(), 3U);
    EXPECT_EQ(changes.m_objects[1].m_name, "b");
    EXPECT_TRUE(changes.m_objects[2].m_deleted);
  }
}

TEST(StoreEntries, EntryWithUnusableMetadataHidesNoOther)
{
  const std::string metadata[] = {
    "7",
    "{}",
    R"({"name":7})",
    "{\"name\":\"\xff\"}",
    R"({"name":"b","created":-1})",
    R"({"name":"b","created":1.5})",
    R"({"name":"b","created":18446744073709551616})",
    R"({"name":"b","rev":1e999})",
    R"({"name":"b","rev":"7"})",
    R"({"name":"b","rev":)" + NestedArrays(kManyLevels) + "}",
  };
  for (const std::string& text : metadata) {
    SCOPED_TRACE(text.substr(0, 80));
    std::string items = Entry("a", kSound);
    items.append(R"(,{"metadata":)").append(text);
    items.append(R"(,"spec":)").append(kSound).append("},");
    items.append(Entry("c", kSound));
    const SiteObjects page = dialect::DecodeList(Page(items));
    EXPECT_EQ(IdsOf(page.m_objects), "a c ");
    EXPECT_FALSE(page.m_rejected.empty());
  }
}

// The id is sent to the runner in a header, where a line break begins another
// header or another request.
TEST(StoreEntries, RunnerWhoseIdCannotStandInAHeaderIsNotUsed)
{
  const std::string ids[] = {
    R"(b\r\nX-Added: 1)",
    R"(b\n\nPOST / HTTP/1.1)",
    R"(b\u0000)",
    "b c",
    R"(b\u007f)",
    R"(b\u00e9)",
    "",
    std::string(1000, 'b'),
  };
  for (const std::string& id : ids) {
    SCOPED_TRACE(id.substr(0, 80));
    const SiteObjects page = dialect::DecodeList(Page(
      Entry("a", kSound) + "," + Entry(id, kSound) + "," + Entry("c", kSound)));
    EXPECT_EQ(IdsOf(page.m_objects), "a c ");
  }
}

// A list goes on after the last name of a page, whatever that is.
TEST(StoreEntries, NamesInPathsAreEncoded)
{
  const std::string name = "b c&x=1\r\nX-Added: 1/%";
  const std::string encoded = "b%20c%26x%3D1%0D%0AX-Added%3A%201%2F%25";
  EXPECT_EQ(dialect::ListPath("servers", name, dialect::Freshness::Current),
            "/siskindeal/objects/servers?after_rev=" + encoded);
  EXPECT_EQ(dialect::ObjectPath("gateways", name),
            "/siskindeal/objects/gateways/" + encoded);
  EXPECT_EQ(dialect::PieceListPath(name, 2),
            "/siskindeal/manifest/" + encoded + "?version=2");
  EXPECT_EQ(dialect::ObjectPath("gateways", "edge-a.b_1"),
            "/siskindeal/objects/gateways/edge-a.b_1");
}

// Pages that only hold entries without a usable name can't be continued.
TEST(StoreEntries, ListWithAPageOfUnusableEntriesEnds)
{
  const RawServer store([&](RawSocket& aSocket, int) {
    for (int page = 0; page < 2; ++page) {
      aSocket.ReadUntil("\r\n\r\n");
      const std::string body =
        Page(page == 0 ? Entry("a", kSound) : R"({"metadata":7})");
      aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    aSocket.ReadUntil("\r\n\r\n");
  });
  Loop loop{ 1 };
  std::string listed;
  const auto feed =
    std::make_shared<ObjectFeed>(loop,
                                 std::make_shared<ConnectionPool>(loop),
                                 Address{ "127.0.0.1", store.Port() },
                                 "servers",
                                 FeedTiming{},
                                 FeedCallbacks{ [&](const auto& aObjects) {
                                                 listed = IdsOf(aObjects);
                                                 loop.stop();
                                               },
                                                [](const auto&) {},
                                                [&] { loop.stop(); } });
  feed->Start();
  loop.run();
  feed->Stop();
  EXPECT_EQ(listed, "a ");
}

TEST_F(GatewayTest, UnusableEntriesOfTheStoreEndNoGatewayAndHideNoRunner)
{
  const auto answer = [](const auto& aConnection) { Answer(aConnection); };
  std::size_t entries = 0;
  for (const std::string& spec : UnusableSpecs()) {
    const std::string name = "odd-" + std::to_string(++entries);
    m_site.PutText("servers", name, spec);
  }
  m_site.AddRunner("i-1", "get", answer);
  StartAndAwaitReady();
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
  for (const std::string& spec : UnusableSpecs()) {
    const std::string name = "odd-" + std::to_string(++entries);
    m_site.PutText("servers", name, spec);
  }
  m_site.AddRunner("i-2", "get", answer);
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 200 "),
            std::string::npos);
}

TEST_F(GatewayTest, RunnerWhoseEntryNamesNoRunnerAnyMoreIsNotUsed)
{
  const std::string replacements[] = {
    R"({"service":"get","address":"10.0.0.1:80","state":"retired"})",
    R"({"service":"get","address":"10.0.0.1:80"})",
    WithZone("\"\xff\""),
    "{}",
  };
  m_site.AddRunner(
    "i-0", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartAndAwaitReady();
  int runners = 0;
  for (const std::string& replacement : replacements) {
    SCOPED_TRACE(replacement);
    const std::string name = "i-" + std::to_string(++runners);
    m_site.AddRunner(
      name, "get", [](const auto& aConnection) { Answer(aConnection); });
    EXPECT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
    m_site.PutText("servers", name, replacement);
    EXPECT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
  }
}

TEST(RunnerTable, RunnerWhoseEntryIsUnusableIsNotKeptAfterAnOutage)
{
  constexpr MonotonicTime kNow{ std::chrono::hours(1) };
  RunnerTable table;
  RunnerRecord runner;
  runner.m_id = "i-1";
  table.Put(runner);
  table.RecordListFailure(kNow);
  table.Withdraw("i-1");
  EXPECT_EQ(table.Find("i-1"), nullptr);
}

} // namespace

} // namespace siskindeal
