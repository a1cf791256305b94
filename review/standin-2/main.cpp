// Runs one case of the review: box CASE RECORD.

#include "box.h"

#include <exception>
#include <string>

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  try {
    const std::string name = aArguments[1];
    box::OpenRecord(aArguments[2]);
    if (name == "weights") {
      box::RunWeights();
    }
    if (name == "cold") {
      box::RunCold();
    }
    if (name == "limit") {
      box::RunLimit();
    }
    if (name == "part") {
      box::RunPart();
    }
    if (name == "version") {
      box::RunVersion();
    }
  } catch (const std::exception& error) {
    box::End(2, error.what());
  }
  return 2;
}
