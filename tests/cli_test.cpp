#include "cli/command_p.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/http.h"
#include "siskindeal/operators.h"

#include "support/fake_platform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr const char* kSecret = "0123456789abcdef";

struct Result
{
  int m_status = 0;
  std::string m_out;
  std::string m_error;
};

Result
RunArguments(const std::vector<std::string>& aArguments)
{
  std::vector<const char*> argv = { "siskindeal" };
  for (const std::string& argument : aArguments) {
    argv.push_back(argument.c_str());
  }
  std::ostringstream out;
  std::ostringstream error;
  Console console{ out, error };
  const int status =
    RunCommandLine(static_cast<int>(argv.size()), argv.data(), console);
  return { status, out.str(), error.str() };
}

// Drops the response: the caller sees the connection close after the call was
// executed.
class DroppingResponder final : public HttpResponder
{
public:
  explicit DroppingResponder(std::shared_ptr<HttpResponder> aInner)
    : m_inner(std::move(aInner))
  {
  }
  void Respond(int, HttpHeaders, std::string) override
  {
    m_inner->BeginStream(200, {});
    m_inner->Abort();
  }
  void BeginStream(int, HttpHeaders) override {}
  bool Write(std::string_view) override { return false; }
  void EndStream() override {}
  void Abort() override {}
  void OnDisconnect(std::function<void()>) override {}

private:
  std::shared_ptr<HttpResponder> m_inner;
};

// Serves an entry's operator API over HTTP. All entries of a test share one
// platform.
class FakeEntry
{
public:
  FakeEntry(FakePlatform& aPlatform, absl::Mutex& aMutex)
    : m_platform(aPlatform)
    , m_mutex(aMutex)
    , m_api(aPlatform, m_clock, { "k", { { "k", kSecret } } }, View())
    , m_server("127.0.0.1",
               0,
               HttpServerLimits{},
               [this](HttpRequest aRequest,
                      std::shared_ptr<HttpResponder> aResponder) {
                 HandleRequest(aRequest, std::move(aResponder));
               })
  {
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_server.Port());
  }

  // Drops the responses to changes, to reads or to both.
  void DropResponses(bool aChanges, bool aReads)
  {
    m_dropChangeResponses = aChanges;
    m_dropReadResponses = aReads;
  }
  // Serving VMs reported by the first and by later status reads.
  void SetServing(std::uint32_t aFirst, std::uint32_t aLater)
  {
    m_serving = aFirst;
    m_servingLater = aLater;
  }
  int CallCount() const { return m_callCount; }

private:
  OperatorView View()
  {
    OperatorView view;
    view.m_statusOf = [this](const std::string& aName) {
      TargetStatus status;
      status.m_name = aName;
      status.m_wanted = 3;
      status.m_serving = m_serving.exchange(m_servingLater);
      status.m_met = status.m_serving >= status.m_wanted;
      status.m_release = "caddie-7";
      status.m_progress = status.m_serving / 3.0;
      status.m_blockedReason = status.m_met ? "" : "2 VMs are loading";
      return std::optional(status);
    };
    view.m_targets = [this] {
      std::vector<TargetSpec> targets;
      const PlatformObject object = m_platform.Stored("targets/sunday");
      if (object.m_version != 0 && !object.m_deleted) {
        targets.push_back(ParseTarget(object.m_value, object.m_version));
      }
      return targets;
    };
    view.m_allStatus = [view] {
      return std::vector<TargetStatus>{ *view.m_statusOf("sunday") };
    };
    view.m_configInForce = [] {
      return std::vector<ConfigInForce>{ { "e1", "kingston", 4, true },
                                         { "e2", "montego", 3, true } };
    };
    view.m_quarantine = [] {
      return std::vector<QuarantineEntry>{ { 0xab, "chat", 2, true } };
    };
    view.m_release = [](std::uint64_t aFingerprint) {
      return aFingerprint == 0xab;
    };
    view.m_checkConfig = [](const std::string& aJson) {
      ParseFleetConfig(aJson, 0);
    };
    view.m_checkClass = [](const std::string&) {};
    return view;
  }

  void HandleRequest(const HttpRequest& aRequest,
                     std::shared_ptr<HttpResponder> aResponder)
  {
    absl::MutexLock lock(&m_mutex);
    ++m_callCount;
    if (aRequest.m_path == "/state") {
      VerifyOperatorCall(
        { "k", { { "k", kSecret } } }, aRequest, m_clock.WallNow());
      aResponder->Respond(200, {}, R"({"vm":"e1"})");
      return;
    }
    const bool isRead = aRequest.m_method == "GET";
    if (isRead ? m_dropReadResponses : m_dropChangeResponses) {
      aResponder = std::make_shared<DroppingResponder>(std::move(aResponder));
    }
    m_api.Handle(aRequest, aResponder);
    m_platform.Advance(std::chrono::seconds(10));
  }

  FakePlatform& m_platform;
  absl::Mutex& m_mutex;
  SystemClock m_clock;
  std::atomic<bool> m_dropChangeResponses{ false };
  std::atomic<bool> m_dropReadResponses{ false };
  std::atomic<std::uint32_t> m_serving{ 1 };
  std::atomic<std::uint32_t> m_servingLater{ 1 };
  std::atomic<int> m_callCount{ 0 };
  OperatorApi m_api;
  HttpServer m_server;
};

class Cli : public testing::Test
{
protected:
  void SetUp() override
  {
    unsetenv("SISKINDEAL_CLIENT");
    setenv("SISKINDEAL_KEY", kSecret, 1);
  }

  void TearDown() override
  {
    for (const std::string& file : m_files) {
      unlink(file.c_str());
    }
  }

  Result RunOnEntries(std::vector<std::string> aArguments,
                      const std::vector<std::string>& aEntries)
  {
    for (const std::string& entry : aEntries) {
      aArguments.push_back("--entry");
      aArguments.push_back(entry);
    }
    aArguments.insert(aArguments.end(), { "--key-id", "k" });
    return RunArguments(aArguments);
  }

  Result RunOnEntry(const std::vector<std::string>& aArguments)
  {
    return RunOnEntries(aArguments, { m_entry.Address() });
  }

  std::string WriteFile(const std::string& aName, const std::string& aText)
  {
    m_files.push_back(testing::TempDir() + std::to_string(getpid()) + "_" +
                      aName);
    std::ofstream(m_files.back()) << aText;
    return m_files.back();
  }

  // Returns an address without a listener.
  std::string UnreachableAddress()
  {
    const FakeEntry stopped(m_platform, m_mutex);
    return stopped.Address();
  }

  ManualClock m_clock;
  FakePlatform m_platform{ m_clock, 1 };
  absl::Mutex m_mutex;
  FakeEntry m_entry{ m_platform, m_mutex };
  FakeEntry m_other{ m_platform, m_mutex };
  std::vector<std::string> m_files; // removed by TearDown
};

const std::vector<std::string> kCreateArguments = {
  "target", "create", "sunday", "--class", "booking chat", "--vms", "3"
};

TEST_F(Cli, EveryCommandHasHelp)
{
  const Result all = RunArguments({ "--help" });
  EXPECT_EQ(all.m_status, 0);
  for (const std::string& name : CommandRegistry::Instance().Names()) {
    EXPECT_NE(all.m_out.find("  " + name + " "), std::string::npos) << name;
    std::vector<std::string> words;
    std::istringstream stream(name);
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
    words.emplace_back("--help");
    const Result help = RunArguments(words);
    words.back() = "-h";
    EXPECT_EQ(RunArguments(words).m_out, help.m_out) << name;
    EXPECT_EQ(help.m_status, 0) << name;
    EXPECT_EQ(help.m_error, "") << name;
    EXPECT_NE(help.m_out.find("siskindeal " + name), std::string::npos);
    for (const ExitStatusText& text : kExitStatusTexts) {
      EXPECT_NE(help.m_out.find(text.m_text), std::string::npos) << name;
    }
  }
  EXPECT_EQ(RunArguments({ "--version" }).m_out,
            "siskindeal " SISKINDEAL_VERSION "\n");
  for (const Result& group : { RunArguments({ "target", "--help" }),
                               RunArguments({ "target", "-h" }) }) {
    EXPECT_NE(group.m_out.find("target revise"), std::string::npos);
    EXPECT_EQ(group.m_out.find("config set"), std::string::npos);
  }
  EXPECT_NE(RunArguments({ "target" }).m_error.find("target revise"),
            std::string::npos);
}

TEST_F(Cli, InvalidCommandLineSendsNothing)
{
  const std::vector<std::vector<std::string>> cases = {
    {},
    { "nothing" },
    { "target" },
    { "target", "nothing" },
    { "target", "create" },
    { "target", "create", "sunday" },
    { "target", "create", "sunday", "--class", "c" },
    { "target", "create", "sunday", "--class", "c", "--vms", "x" },
    { "target", "create", "x", "--class", "c", "--vms", "1", "--share", "1" },
    { "target", "create", "x", "--class", "c", "--vms", "1", "--within", "9" },
    { "target", "create", "x", "--class", "c", "--vms", "1", "--weights", "w" },
    { "target", "list", "extra" },
    { "target", "list", "--output", "xml" },
    { "target", "status", "--watch" },
    { "target", "status", "x", "--watch", "--timeout", "9" },
    { "config", "set", "file" },
    { "config", "check" },
    { "state", "nowhere" },
    { "quarantine", "release" },
  };
  for (const auto& line : cases) {
    const Result result = line.empty() ? RunArguments(line) : RunOnEntry(line);
    EXPECT_EQ(result.m_status, 2) << (line.empty() ? "" : line.back());
    EXPECT_NE(result.m_error, "");
    EXPECT_EQ(result.m_out, "");
  }
  EXPECT_EQ(m_entry.CallCount(), 0);
  EXPECT_EQ(RunArguments({ "target", "list" }).m_status, 2);
  EXPECT_EQ(RunArguments({ "target", "list", "--client", "no.toml" }).m_status,
            3);
}

TEST_F(Cli, CreatesReadsRevisesAndDeletesTarget)
{
  EXPECT_EQ(RunOnEntry({ "target", "status", "sunday" }).m_status, 6);
  const Result created = RunOnEntry(kCreateArguments);
  EXPECT_EQ(created.m_status, 0) << created.m_error;
  EXPECT_EQ(created.m_out, "target \"sunday\" stated, version 1\n");
  const Result again = RunOnEntry(kCreateArguments);
  EXPECT_EQ(again.m_status, 5);
  EXPECT_NE(again.m_error.find("current: {"), std::string::npos);

  const Result list = RunOnEntry({ "target", "list" });
  EXPECT_EQ(list.m_status, 0);
  EXPECT_NE(list.m_out.find("sunday  no   1/3"), std::string::npos)
    << list.m_out;
  const Result status = RunOnEntry({ "target", "status", "--output", "json" });
  EXPECT_EQ(status.m_status, 9);
  EXPECT_EQ(Json::parse(status.m_out).at(0).at("serving"), 1);

  const Result revised = RunOnEntry({ "target",
                                      "revise",
                                      "sunday",
                                      "--share",
                                      "0.5",
                                      "--within",
                                      "10m",
                                      "--output",
                                      "json" });
  EXPECT_EQ(revised.m_status, 0) << revised.m_error;
  const Json value = Json::parse(revised.m_out).at("value");
  EXPECT_EQ(value.at("share"), 0.5);
  EXPECT_EQ(value.at("within_s"), 600);
  EXPECT_EQ(value.count("vms"), 0u);
  EXPECT_EQ(value.at("class"), "booking chat");
  EXPECT_EQ(
    RunOnEntry({ "target", "revise", "sunday", "--vms", "1", "--version", "1" })
      .m_status,
    5);
  EXPECT_EQ(RunOnEntry({ "target", "delete", "sunday" }).m_status, 0);
  EXPECT_EQ(RunOnEntry({ "target", "delete", "sunday" }).m_status, 6);
}

TEST_F(Cli, FallsBackToNextEntry)
{
  const std::string unreachableEntry = UnreachableAddress();
  EXPECT_EQ(
    RunOnEntries(kCreateArguments, { unreachableEntry, m_entry.Address() })
      .m_status,
    0);
  EXPECT_EQ(
    RunOnEntries({ "target", "list" }, { unreachableEntry, m_entry.Address() })
      .m_status,
    0);
  const Result unreachable =
    RunOnEntries(kCreateArguments, { unreachableEntry });
  EXPECT_EQ(unreachable.m_status, 7);
  EXPECT_NE(unreachable.m_error.find(unreachableEntry), std::string::npos);
}

TEST_F(Cli, ResolvesLostResponseAndAppliesChangeOnce)
{
  m_entry.DropResponses(true, false);
  const std::vector<std::string> entries = { m_entry.Address(),
                                             m_other.Address() };
  const Result created = RunOnEntries(kCreateArguments, entries);
  EXPECT_EQ(created.m_status, 0) << created.m_error;
  EXPECT_EQ(m_platform.Stored("targets/sunday").m_version, 1u);
  EXPECT_EQ(m_platform.Writes(), 1u);

  // A single entry resolves the outcome by reading the object back.
  EXPECT_EQ(RunOnEntry({ "target", "revise", "sunday", "--vms", "5" }).m_status,
            0);
  EXPECT_EQ(m_platform.Writes(), 2u);

  m_entry.DropResponses(true, true);
  const Result unknown =
    RunOnEntry({ "target", "create", "monday", "--class", "c", "--vms", "1" });
  EXPECT_EQ(unknown.m_status, 8);
  EXPECT_NE(unknown.m_error.find("couldn't be resolved"), std::string::npos);
}

TEST_F(Cli, ErrorsMapToExitStatuses)
{
  m_platform.Faults().m_outage = true;
  EXPECT_EQ(RunOnEntry(kCreateArguments).m_status, 7);
  const Result read = RunOnEntry({ "config", "show" });
  EXPECT_EQ(read.m_status, 7);
  EXPECT_NE(read.m_error.find("object API is unreachable"), std::string::npos);
  m_platform.Faults().m_outage = false;
  setenv("SISKINDEAL_KEY", "another-secret-of-16", 1);
  EXPECT_EQ(RunOnEntry({ "target", "list" }).m_status, 4);
  EXPECT_EQ(RunOnEntry(kCreateArguments).m_status, 4);
}

TEST_F(Cli, WatchShowsProgressUntilTheTargetIsMet)
{
  ASSERT_EQ(RunOnEntry(kCreateArguments).m_status, 0);
  m_entry.SetServing(1, 3);
  const Result met =
    RunOnEntry({ "target", "status", "sunday", "--watch", "--timeout", "1h" });
  EXPECT_EQ(met.m_status, 0) << met.m_error;
  EXPECT_EQ(met.m_out,
            "[##########....................] 33%  1/3 VMs serving caddie-7, "
            "time left unknown: 2 VMs are loading\n"
            "[##############################] 100%  3/3 VMs serving caddie-7, "
            "met\n");
  m_entry.SetServing(1, 1);
  EXPECT_EQ(
    RunOnEntry({ "target", "status", "sunday", "--watch", "--timeout", "1ms" })
      .m_status,
    9);
}

TEST_F(Cli, ShowsSetsAndReportsConfiguration)
{
  const std::string examples = SISKINDEAL_SOURCE_DIR "/examples/";
  const std::string fleet = examples + "fairway_config.json";
  EXPECT_EQ(RunOnEntry({ "config", "show" }).m_status, 6);
  EXPECT_EQ(RunOnEntry({ "config", "set", fleet, "--version", "0" }).m_status,
            0);
  const Result shown = RunOnEntry({ "config", "show" });
  std::ifstream stream(fleet);
  EXPECT_EQ(Json::parse(shown.m_out), Json::parse(stream));
  EXPECT_EQ(shown.m_error, "version 1\n");
  EXPECT_EQ(RunOnEntry({ "config", "set", fleet, "--version", "0" }).m_status,
            5);
  const std::string bad = WriteFile("bad.json", R"({"service":{}})");
  const Result rejected =
    RunOnEntry({ "config", "set", bad, "--version", "1" });
  EXPECT_EQ(rejected.m_status, 3);
  EXPECT_NE(rejected.m_error.find("\"service\" is unknown"), std::string::npos)
    << rejected.m_error;
  const Result status = RunOnEntry({ "config", "status" });
  EXPECT_EQ(status.m_status, 9);
  EXPECT_NE(status.m_out.find("e2  montego   3        yes"), std::string::npos)
    << status.m_out;
}

TEST_F(Cli, ListsAndReleasesQuarantineAndPrintsState)
{
  const Result list = RunOnEntry({ "quarantine", "list" });
  EXPECT_EQ(list.m_status, 0);
  EXPECT_NE(list.m_out.find("00000000000000ab  quarantined"),
            std::string::npos);
  EXPECT_EQ(
    RunOnEntry({ "quarantine", "release", "00000000000000ab" }).m_status, 0);
  EXPECT_EQ(
    RunOnEntry({ "quarantine", "release", "00000000000000ff" }).m_status, 6);
  const Result state = RunOnEntry({ "state", m_entry.Address() });
  EXPECT_EQ(state.m_status, 0) << state.m_error;
  EXPECT_EQ(Json::parse(state.m_out).at("vm"), "e1");
  EXPECT_EQ(RunOnEntry({ "state", UnreachableAddress() }).m_status, 7);
}

TEST_F(Cli, AcceptsEveryExample)
{
  std::vector<std::string> line = { "config", "check" };
  for (const auto& file :
       std::filesystem::directory_iterator(SISKINDEAL_SOURCE_DIR "/examples")) {
    const auto extension = file.path().extension();
    if (extension == ".toml" || extension == ".json") {
      line.push_back(file.path());
    }
  }
  constexpr std::size_t kMinExamples = 12;
  EXPECT_GE(line.size(), 2 + kMinExamples);
  const Result result = RunArguments(line);
  EXPECT_EQ(result.m_status, 0) << result.m_out;
  EXPECT_NE(result.m_out.find("note: orders to http://10.30.1.51:9100 must go"),
            std::string::npos);
  EXPECT_EQ(result.m_out.find("note: orders to http://10.20.1.51:9100 must go"),
            std::string::npos);
}

TEST_F(Cli, CheckReportsPortConflict)
{
  const auto settings = [](const std::string& aVm, const std::string& aPort) {
    return "[node]\nvm='" + aVm + "'\nplace='p'\nrpc='10.0.0.1:7100'\nhttp='" +
           "10.0.0.1:" + aPort + "'\n[auth]\nactive_key='k'\n[auth.keys]\nk='" +
           kSecret + "'\n[platform]\nurl='http://10.0.0.9:9000'\n";
  };
  const Result result =
    RunArguments({ "config",
                   "check",
                   WriteFile("a.toml", settings("a", "1")),
                   WriteFile("b.toml", settings("b", "2")) });
  EXPECT_EQ(result.m_status, 3);
  EXPECT_NE(result.m_out.find("[node] rpc: expected a port other than"),
            std::string::npos)
    << result.m_out;
}

} // namespace

} // namespace siskindeal
