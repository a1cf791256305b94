#include "siskindeal/settings.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <fstream>

namespace siskindeal {

namespace {

constexpr const char* kNodeSection = R"([node]
vm = "e1"
place = "kingston"
rpc = "10.0.0.1:7100"
http = "10.0.0.1:8080"
)";

constexpr const char* kAuthSection = R"([auth]
active_key = "a"
[auth.keys]
a = "0123456789abcdef"
)";

constexpr const char* kPlatformSection = R"([platform]
url = "http://10.0.0.9:9000"
)";

constexpr const char* kUpstreamSections = R"([upstream]
service = "caddie-llm"
url = "http://10.0.0.1:9100"
kind = "model"
[weights]
store_url = "http://10.0.0.9:9001"
)";

// A temporary settings file, removed by the destructor.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : m_name(testing::TempDir() + "settings_" + std::to_string(getpid()) +
             ".toml")
  {
    std::ofstream(m_name) << aText;
  }
  ~TemporaryFile() { unlink(m_name.c_str()); }
  const std::string& Name() const { return m_name; }

private:
  std::string m_name;
};

std::string
EntryFile(const std::string& aAppended)
{
  return std::string(kNodeSection) + kAuthSection + kPlatformSection +
         aAppended;
}

std::string
AgentFile(const std::string& aAppended)
{
  return std::string(kNodeSection) + kAuthSection + kPlatformSection +
         kUpstreamSections + aAppended;
}

// Returns the error message without the file name, or "" if the text is
// accepted.
template<typename Read>
std::string
ErrorFrom(const std::string& aText, Read aRead)
{
  const TemporaryFile file(aText);
  try {
    aRead(file.Name());
    return "";
  } catch (const SettingsError& error) {
    std::string text = error.what();
    for (auto at = text.find(file.Name()); at != std::string::npos;
         at = text.find(file.Name())) {
      text.erase(at, file.Name().size());
    }
    return text;
  }
}

TEST(Settings, ReadsValues)
{
  const TemporaryFile file(EntryFile(R"([http]
body_bytes = "2MiB"
header_bytes = 4096
request_timeout = "5m"
[routing]
retry_budget = 0.25
[membership]
heartbeat = "250ms"
)"));
  const EntrySettings settings = ReadEntrySettings(file.Name());
  EXPECT_EQ(settings.m_node.m_rpc, (Address{ "10.0.0.1", 7100 }));
  EXPECT_EQ(settings.m_auth.m_keys.at("a"), "0123456789abcdef");
  EXPECT_EQ(settings.m_http.m_bodyBytes, 2u << 20);
  EXPECT_EQ(settings.m_http.m_headerBytes, 4096u);
  EXPECT_EQ(settings.m_http.m_requestTimeout, std::chrono::minutes(5));
  EXPECT_DOUBLE_EQ(settings.m_routing.m_retryBudget, 0.25);
  EXPECT_EQ(settings.m_membership.m_heartbeat, std::chrono::milliseconds(250));
  EXPECT_EQ(settings.m_lease.m_duration, LeaseSettings{}.m_duration);
}

struct RejectedFile
{
  std::string m_appended; // after the 11 lines of a valid entry file
  std::string m_message;
};

TEST(Settings, ReportsLineAndExpectationForEntryFile)
{
  const std::vector<RejectedFile> cases = {
    { "[http]\nbody = 1", ":13: [http] body: unknown key; keys of [http] are" },
    { "[upstream]\nservice = 'x'",
      ":12: [upstream]: unknown; sections of entry settings are admission" },
    { "lease = 3", ":12: [platform] lease: unknown key" },
    { "[http]\nstreams = '3'",
      ":13: [http] streams: expected a whole number, got string" },
    { "[http]\nstreams = 3.5",
      ":13: [http] streams: expected a whole number, got floating-point" },
    { "[http]\nstreams = 0",
      ":13: [http] streams: expected 1 to 4294967295, got 0" },
    { "[http]\nrequest_timeout = 500",
      ":13: [http] request_timeout: expected a duration with a unit such as "
      "\"500ms\" or \"10s\", got integer 500" },
    { "[http]\nrequest_timeout = '500'",
      ":13: [http] request_timeout: expected a duration with a unit" },
    { "[http]\nrequest_timeout = '10 s'", "expected a duration with a unit" },
    { "[http]\nrequest_timeout = '-1s'", "expected a duration with a unit" },
    { "[http]\nrequest_timeout = '99999999999999999h'",
      "expected a duration with a unit" },
    { "[http]\nrequest_timeout = '0s'", "expected \"1ms\" to \"24h\", got" },
    { "[http]\nbody_bytes = '1 meg'", "expected a size with a unit" },
    { "[http]\nbody_bytes = -1", "expected 0 to 1e+15, got -1" },
    { "[routing]\nretry_budget = 1.5", "expected 0 to 1, got 1.5" },
    { "[routing]\nretry_budget = nan", "expected a number, got nan" },
    { "[routing]\npolicy = ''", "[routing] policy: expected one of" },
    { "[routing]\npolicy = 'fastest'",
      "expected one of \"prefix_two_choices\", \"random\", \"two_choices\", "
      "got "
      "\"fastest\"" },
    { "[rollout]\npolicy = 'fastest'",
      ":13: [rollout] policy: expected one of \"origin_only\", \"swarm\"" },

    { "[rollout]\ntime_weight = true", "expected a number, got boolean true" },
    { "[membership]\nheartbeat = '3s'",
      "[membership] unreachable_after: expected more than heartbeat, \"3s\"" },
    { "[http", ":12: not TOML:" },
    { "[platform]\n", ":12: not TOML:" },
    { "http = 1", ":12: [platform] http: unknown key" },
  };
  for (const RejectedFile& file : cases) {
    const std::string text =
      ErrorFrom(EntryFile(file.m_appended), ReadEntrySettings);
    EXPECT_NE(text.find(file.m_message), std::string::npos)
      << file.m_appended << "\nmessage: " << text;
  }
}

TEST(Settings, RejectsMalformedAddresses)
{
  for (const char* address : { "localhost:7100",
                               "10.0.0.1",
                               "10.0.0.1:",
                               "10.0.0.1:70000",
                               "10.0.0:7100",
                               "[::1:7100",
                               "::1:7100",
                               "10.0.0.1:7100x",
                               ":7100" }) {
    EXPECT_THROW(ParseAddress(address), std::invalid_argument) << address;
    EXPECT_NE(
      ErrorFrom("[node]\nrpc = \"" + std::string(address) + "\"\n",
                ReadEntrySettings)
        .find(":2: [node] rpc: expected an IP address and a port such as"),
      std::string::npos)
      << address;
  }
  EXPECT_EQ(ParseAddress("[::1]:80"), (Address{ "::1", 80 }));
  EXPECT_EQ(ParseAddress("[::1]:80").ToString(), "[::1]:80");
}

TEST(Settings, RejectsListenersOnTheSamePort)
{
  const auto errorFor = [](const char* aRpc, const char* aHttp) {
    return ErrorFrom("[node]\nvm='a'\nplace='p'\nrpc='" + std::string(aRpc) +
                       "'\nhttp='" + aHttp + "'\n" + kAuthSection +
                       kPlatformSection,
                     ReadEntrySettings);
  };
  EXPECT_EQ(errorFor("10.0.0.1:80", "10.0.0.1:80"),
            ":5: [node] http: expected a port other than that of rpc, got "
            "\"10.0.0.1:80\" for both");
  EXPECT_NE(errorFor("0.0.0.0:80", "10.0.0.1:80"), "");
  EXPECT_EQ(errorFor("10.0.0.2:80", "10.0.0.1:80"), "");
  EXPECT_EQ(errorFor("127.0.0.1:0", "127.0.0.1:0"), "");
}

TEST(Settings, ReportsEveryProblemSortedByLine)
{
  const std::string text = ErrorFrom(
    "[http]\nstreams = 'x'\nbody = 1\n[node]\nvm = 3\n", ReadEntrySettings);
  const std::vector<std::string> inOrder = {
    ":1: [auth] active_key: missing; expected text",
    ":1: [platform] url: missing; expected URL",
    ":2: [http] streams: expected a whole number",
    ":3: [http] body: unknown key",
    ":4: [node] place: missing",
    ":5: [node] vm: expected text, got integer 3",
  };
  std::size_t at = 0;
  for (const std::string& problem : inOrder) {
    const auto found = text.find(problem, at);
    ASSERT_NE(found, std::string::npos) << problem << " in " << text;
    at = found;
  }
}

TEST(Settings, ValidatesAgentFile)
{
  EXPECT_EQ(ErrorFrom(AgentFile(""), ReadAgentSettings), "");
  const std::vector<RejectedFile> cases = {
    { "[http]\n", "[http]: unknown; sections of agent settings are auth" },
    { "[claims]\ncommit_period = 5", "expected a duration with a unit" },
    { "window = 0", "[weights] window: expected 1 to 64, got 0" },
  };
  for (const RejectedFile& file : cases) {
    const std::string text =
      ErrorFrom(AgentFile(file.m_appended), ReadAgentSettings);
    EXPECT_NE(text.find(file.m_message), std::string::npos) << text;
  }
  const std::string base =
    std::string(kNodeSection) + kAuthSection + kPlatformSection;
  const auto errorFor = [&](const std::string& aUpstream) {
    return ErrorFrom(base + "[upstream]\nservice = 's'\n" + aUpstream,
                     ReadAgentSettings);
  };
  EXPECT_EQ(errorFor("url = 'http://10.0.0.1:9100'\n"), "");
  EXPECT_NE(errorFor("url = 'http://10.0.0.1:9100'\nkind = 'model'\n")
              .find("[weights] store_url: missing"),
            std::string::npos);
  EXPECT_NE(errorFor("url = 'http://10.0.0.1:7100'\n")
              .find("expected a port other than the agent's own"),
            std::string::npos);
  EXPECT_NE(errorFor("url = 'http://engine:7100'\n")
              .find("expected a URL with IP address"),
            std::string::npos);
}

TEST(Settings, ValidatesAuthKeys)
{
  const auto errorFor = [](const std::string& aAuth) {
    return ErrorFrom(std::string(kNodeSection) + kPlatformSection + "[auth]\n" +
                       aAuth,
                     ReadEntrySettings);
  };
  EXPECT_NE(errorFor("active_key = 'b'\n[auth.keys]\na = '0123456789abcdef'\n")
              .find("expected a name listed in [auth.keys], got \"b\""),
            std::string::npos);
  const std::string tooShort =
    errorFor("active_key = 'a'\n[auth.keys]\na = 'hunter2'\n");
  EXPECT_NE(tooShort.find("secrets of at least 16 characters"),
            std::string::npos);
  EXPECT_EQ(tooShort.find("hunter2"), std::string::npos);
}

TEST(Settings, RejectsMissingFile)
{
  EXPECT_THROW(ReadEntrySettings("no/such/file.toml"), SettingsError);
}

TEST(Settings, DefaultsAreWithinBounds)
{
  std::string entry = EntryFile("");
  std::string agent = AgentFile("");
  std::string entrySection, agentSection;
  for (const SettingDescription& key : DescribeSettings()) {
    EXPECT_FALSE(key.m_help.empty()) << key.m_key;
    if (key.m_required || key.m_default.empty() || key.m_section == "node" ||
        key.m_section == "platform" || key.m_section == "upstream" ||
        key.m_section == "weights" || key.m_section == "client") {
      continue;
    }
    const auto append = [&](std::string& aText, std::string& aSection) {
      if (aSection != key.m_section) {
        aText += "[" + key.m_section + "]\n";
        aSection = key.m_section;
      }
      aText += key.m_key + " = " + key.m_default + "\n";
    };
    if (key.m_usedBy.find("entry") != std::string::npos) {
      append(entry, entrySection);
    }
    if (key.m_usedBy.find("agent") != std::string::npos) {
      append(agent, agentSection);
    }
  }
  EXPECT_EQ(ErrorFrom(entry, ReadEntrySettings), "");
  EXPECT_EQ(ErrorFrom(agent, ReadAgentSettings), "");
}

} // namespace

} // namespace siskindeal
