#include "cli/command_p.h"
#include "siskindeal/error.h"
#include "siskindeal/settings.h"

#include <gtest/gtest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace siskindeal {

namespace {

const std::string kSourceDir = SISKINDEAL_SOURCE_DIR;

std::string
ReadFile(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  EXPECT_TRUE(stream) << aFile;
  return { std::istreambuf_iterator<char>(stream), {} };
}

std::string
ReadManual()
{
  return ReadFile(kSourceDir + "/docs/OPERATING.md");
}

std::string
RunAndReadOutput(const std::vector<const char*>& aLine)
{
  std::ostringstream out;
  std::ostringstream error;
  Console console{ out, error };
  std::vector<const char*> line = { "siskindeal" };
  line.insert(line.end(), aLine.begin(), aLine.end());
  EXPECT_EQ(RunCommandLine(static_cast<int>(line.size()), line.data(), console),
            0)
    << error.str();
  return out.str();
}

TEST(Docs, ManualListsEverySetting)
{
  const std::string keys =
    RunAndReadOutput({ "config", "keys", "--output", "markdown" });
  EXPECT_NE(ReadManual().find(keys), std::string::npos)
    << "docs/OPERATING.md must contain the output of `siskindeal config keys "
       "--output markdown`:\n"
    << keys;
}

TEST(Docs, ManualListsEveryExitStatus)
{
  const std::string manual = ReadManual();
  for (const ExitStatusText& text : kExitStatusTexts) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(text.m_status)) +
                            " | " + text.m_text + " |";
    EXPECT_NE(manual.find(row), std::string::npos) << row;
  }
}

TEST(Docs, ManualListsEveryReasonWithStatus)
{
  const std::string manual = ReadManual();
  for (int i = 0; i <= static_cast<int>(Reason::Internal); ++i) {
    const auto reason = static_cast<Reason>(i);
    const std::string row = "| `" + std::string(ToString(reason)) + "` | " +
                            std::to_string(HttpStatus(reason)) + " |";
    EXPECT_NE(manual.find(row), std::string::npos) << row;
  }
}

// Metric names appear as complete string literals in the sources.
std::set<std::string>
MetricsInSources()
{
  const std::regex name("\"(siskindeal_[a-z0-9_]+)\"");
  std::set<std::string> names;
  for (const auto& file :
       std::filesystem::recursive_directory_iterator(kSourceDir + "/src")) {
    if (file.path().extension() != ".cpp") {
      continue;
    }
    const std::string text = ReadFile(file.path());
    for (std::sregex_iterator match(text.begin(), text.end(), name), end;
         match != end;
         ++match) {
      names.insert((*match)[1]);
    }
  }
  return names;
}

TEST(Docs, ManualsListEveryMetric)
{
  std::string manuals;
  for (const auto& file :
       std::filesystem::directory_iterator(kSourceDir + "/docs")) {
    if (file.is_regular_file()) {
      manuals += ReadFile(file.path());
    }
  }
  const std::set<std::string> metrics = MetricsInSources();
  EXPECT_FALSE(metrics.empty());
  for (const std::string& metric : metrics) {
    EXPECT_NE(manuals.find("`" + metric + "`"), std::string::npos)
      << metric << " needs a row in the table of docs/OPERATING.md or of "
      << "docs/operating_*.md";
  }
}

// Each metric row that states when to investigate needs an alarm row that
// states the action.
TEST(Docs, EveryAlarmHasAnAction)
{
  const std::string alarms = ReadFile(kSourceDir + "/docs/operating_alarms.md");
  const std::regex metricRow(
    "\\| `(siskindeal_[a-z0-9_]+)` \\|.*\\| *([^|\n]*)\\|");
  const std::regex alarmRow(
    "\\| `(siskindeal_[a-z0-9_]+)`[^|\n]*\\| *([^|\n]+)\\| *([^|\n]+)\\|");
  std::set<std::string> alarmRows;
  for (std::sregex_iterator match(alarms.begin(), alarms.end(), alarmRow), end;
       match != end;
       ++match) {
    alarmRows.insert((*match)[1]);
  }
  int rows = 0;
  for (const std::string page :
       { "/docs/OPERATING.md", "/docs/operating_requests.md" }) {
    const std::string text = ReadFile(kSourceDir + page);
    for (std::sregex_iterator match(text.begin(), text.end(), metricRow), end;
         match != end;
         ++match) {
      if ((*match)[2].length() == 0) {
        continue;
      }
      ++rows;
      EXPECT_EQ(alarmRows.count((*match)[1]), 1U)
        << (*match)[1] << " needs a row in docs/operating_alarms.md";
    }
  }
  EXPECT_GT(rows, 0);
}

// Returns the member that holds a key: m_bodyBytes for body_bytes.
std::string
MemberOf(const std::string& aKey)
{
  std::string member = "m_";
  bool isUpper = false;
  for (const char character : aKey) {
    if (character == '_') {
      isUpper = true;
      continue;
    }
    member += static_cast<char>(isUpper ? std::toupper(character) : character);
    isUpper = false;
  }
  return member;
}

// A documented key that no code reads would have no effect.
TEST(Docs, EverySettingIsUsed)
{
  const std::regex member("\\bm_[A-Za-z0-9]+\\b");
  std::set<std::string> usedMembers;
  for (const auto& file :
       std::filesystem::recursive_directory_iterator(kSourceDir + "/src")) {
    const bool isSettings =
      file.path().string().find("/src/settings/") != std::string::npos;
    if (file.path().extension() != ".cpp" || isSettings) {
      continue;
    }
    const std::string text = ReadFile(file.path());
    for (std::sregex_iterator match(text.begin(), text.end(), member), end;
         match != end;
         ++match) {
      usedMembers.insert(match->str());
    }
  }
  for (const SettingDescription& key : DescribeSettings()) {
    EXPECT_EQ(usedMembers.count(MemberOf(key.m_key)), 1u)
      << "[" << key.m_section << "] " << key.m_key;
  }
}

// Commands shown in the pages must exist.
TEST(Docs, EveryCommandShownExists)
{
  const std::regex command("siskindeal ((target|config|quarantine) [a-z]+)");
  for (const char* page : { "/README.md", "/docs/OPERATING.md" }) {
    const std::string text = ReadFile(kSourceDir + page);
    for (std::sregex_iterator match(text.begin(), text.end(), command), end;
         match != end;
         ++match) {
      EXPECT_TRUE(CommandRegistry::Instance().Has((*match)[1].str()))
        << page << ": " << (*match)[0];
    }
  }
}

// Pages that are linked from a page must exist.
TEST(Docs, EveryLinkTargetExists)
{
  const std::regex link("\\]\\(([^)#]+)\\)");
  std::vector<std::filesystem::path> pages = { kSourceDir + "/README.md" };
  for (const auto& file :
       std::filesystem::recursive_directory_iterator(kSourceDir + "/docs")) {
    if (file.is_regular_file()) {
      pages.push_back(file.path());
    }
  }
  for (const auto& page : pages) {
    const std::string text = ReadFile(page);
    for (std::sregex_iterator match(text.begin(), text.end(), link), end;
         match != end;
         ++match) {
      const std::string target = (*match)[1];
      if (target.find("://") == std::string::npos) {
        EXPECT_TRUE(std::filesystem::exists(page.parent_path() / target))
          << page << ": " << target;
      }
    }
  }
}

} // namespace

} // namespace siskindeal
