// Runs a stand-in as a process, for the demo and for multi-process tests.

#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"
#include "standin/store.h"

#include <cxxopts.hpp>

#include <csignal>
#include <functional>
#include <iostream>

namespace {

using namespace siskindeal::standin;

void
AddOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("role",
      "platform, store, engine or service",
      cxxopts::value<std::string>());
  add("host", "IP", cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port",
      "0 selects a free port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("directory",
      "store: directory of the files to publish",
      cxxopts::value<std::string>()->default_value("."));
  add("rate",
      "store, engine: link rate in bytes per second; 0: unlimited",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  add("slots",
      "engine: maximum batch size",
      cxxopts::value<int>()->default_value("16"));
  add("token-ms",
      "engine: time per token",
      cxxopts::value<int>()->default_value("2"));
  add("ignores-fencing", "engine: accepts orders with stale fencing tokens");
  add("work-ms",
      "service: time per request",
      cxxopts::value<int>()->default_value("1"));
  add("vm-lag-ms",
      "platform: delay of the VM list",
      cxxopts::value<int>()->default_value("2000"));
  aOptions.parse_positional("role");
}

StandInOptions
CommonOptions(const cxxopts::ParseResult& aParsed)
{
  StandInOptions options;
  options.m_host = aParsed["host"].as<std::string>();
  options.m_port = aParsed["port"].as<std::uint16_t>();
  options.m_exitOnCrash = true;
  return options;
}

std::unique_ptr<StandIn>
CreateStandIn(const cxxopts::ParseResult& aParsed)
{
  const auto millis = [&](const char* aName) {
    return std::chrono::milliseconds(aParsed[aName].as<int>());
  };
  const auto role = aParsed["role"].as<std::string>();
  if (role == "platform") {
    PlatformOptions options;
    options.m_standIn = CommonOptions(aParsed);
    options.m_vmLag = millis("vm-lag-ms");
    return std::make_unique<PlatformStandIn>(options);
  }
  if (role == "store") {
    StoreOptions options;
    options.m_standIn = CommonOptions(aParsed);
    options.m_directory = aParsed["directory"].as<std::string>();
    options.m_bytesPerSecond = aParsed["rate"].as<std::uint64_t>();
    return std::make_unique<StoreStandIn>(options);
  }
  if (role == "engine") {
    EngineOptions options;
    options.m_standIn = CommonOptions(aParsed);
    options.m_slots = aParsed["slots"].as<int>();
    options.m_token = millis("token-ms");
    options.m_linkBytesPerSecond = aParsed["rate"].as<std::uint64_t>();
    options.m_checksFencing = aParsed.count("ignores-fencing") == 0;
    return std::make_unique<EngineStandIn>(options);
  }
  if (role == "service") {
    ServiceOptions options;
    options.m_standIn = CommonOptions(aParsed);
    options.m_work = millis("work-ms");
    return std::make_unique<ServiceStandIn>(options);
  }
  throw std::invalid_argument("unknown role \"" + role + "\"");
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    cxxopts::Options options(
      "standin", "Runs a stand-in for a system that siskindeal depends on.");
    AddOptions(options);
    const auto parsed = options.parse(aArgc, aArgv);
    const auto standIn = CreateStandIn(parsed);
    std::cout << "listening on " << standIn->Port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << "standin: " << failure.what() << '\n';
    return 2;
  }
}
