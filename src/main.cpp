#include <cxxopts.hpp>

#include <iostream>

int
main(int aArgc, char** aArgv)
{
  std::cout << "siskindeal " SISKINDEAL_VERSION "\n";
  return 0;
}
