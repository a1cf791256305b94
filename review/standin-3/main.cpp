// lab CASE RECORD                     plays a case; TROUBLE=0: undisturbed
// lab runner MODE HOST ID RUNS_FILE   plays a runner

#include "cases.h"
#include "site.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

int
main(int aArgc, char** aArgv)
{
  using namespace review;
  const std::vector<std::string> words(aArgv, aArgv + aArgc);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (words.size() == 6 && words[1] == "runner") {
      RunUnframedRunner(words[3], words[4], words[5]);
      return 0;
    }
    if (words.size() != 3) {
      std::cerr << "usage: lab CASE RECORD\n";
      return kCouldNotRun;
    }
    const char* const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    const std::string self = std::filesystem::read_symlink("/proc/self/exe");
    Record record(words[2]);
    if (words[1] == "stream" || words[1] == "booking") {
      return RunUnframedCase(self, record, isTroubled, words[1] == "stream");
    }
    if (words[1] == "deadly") {
      return RunDeadlyCase(self, record, isTroubled, kDeadlyPath);
    }
    if (words[1] == "deadly-stream") {
      return RunDeadlyCase(self, record, isTroubled, kDeadlyStreamPath);
    }
    if (words[1] == "dark") {
      return RunDarkCase(self, record, isTroubled);
    }
    std::cerr << "no such case\n";
  } catch (const std::exception& error) {
    std::cerr << "lab: " << error.what() << '\n';
  }
  return kCouldNotRun;
}
