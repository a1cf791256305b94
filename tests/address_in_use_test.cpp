// Starts real processes while their addresses are in use.

#include "support/fleet.h"
#include "support/role_process.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

// A socket on a port of 127.0.0.1.
class PortHolder
{
public:
  PortHolder(std::uint16_t aPort, int aType)
    : m_socket(socket(AF_INET, aType | SOCK_CLOEXEC, 0))
  {
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(m_socket,
                   reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)),
              0);
    if (aType == SOCK_STREAM) {
      EXPECT_EQ(listen(m_socket, 1), 0);
    }
  }
  ~PortHolder() { close(m_socket); }
  PortHolder(const PortHolder&) = delete;
  PortHolder& operator=(const PortHolder&) = delete;

private:
  int m_socket;
};

bool
AcceptsConnections(std::uint16_t aPort)
{
  try {
    const RawSocket connected(aPort);
    return true;
  } catch (const std::system_error&) {
    return false;
  }
}

class AddressInUse : public RoleProcessTest
{
protected:
  std::vector<std::uint16_t> StreamPorts() const
  {
    return IsGateway() ? std::vector<std::uint16_t>{ m_rpc,
                                                     m_http,
                                                     m_ready,
                                                     m_directoryPort }
                       : std::vector<std::uint16_t>{ m_rpc };
  }

  void ExpectWaiting(std::uint16_t aPort)
  {
    const std::string address = "\"address\":\"" + Loopback(aPort) + "\"";
    EXPECT_TRUE(Eventually([&] {
      return (Logs("\"event\":\"address in use\"") && Logs(address)) ||
             m_process->EndsWithin(milliseconds(0));
    }))
      << Log();
    ASSERT_FALSE(m_process->EndsWithin(milliseconds(0)))
      << m_process->Wait() << Log();
    for (const std::uint16_t port : StreamPorts()) {
      EXPECT_EQ(AcceptsConnections(port), port == aPort && m_holdsStream);
    }
  }

  bool m_holdsStream = false;
};

INSTANTIATE_TEST_SUITE_P(Roles,
                         AddressInUse,
                         testing::Values("gateway", "stager"),
                         [](const auto& aInfo) { return aInfo.param; });

TEST_P(AddressInUse, ProcessWaitsAndServesNoneOfItsAddressesMeanwhile)
{
  WriteSettings();
  const auto holdAndStart = [&](std::uint16_t aPort, int aType) {
    SCOPED_TRACE(Loopback(aPort) + (aType == SOCK_STREAM ? " TCP" : " UDP"));
    std::filesystem::remove(LogFile());
    {
      const PortHolder holder(aPort, aType);
      m_holdsStream = aType == SOCK_STREAM;
      Start();
      ExpectWaiting(aPort);
    }
    ExpectServing();
    m_process.reset();
  };
  for (const std::uint16_t port : StreamPorts()) {
    holdAndStart(port, SOCK_STREAM);
  }
  holdAndStart(m_rpc, SOCK_DGRAM);
}

TEST_P(AddressInUse, TerminationEndsTheWait)
{
  WriteSettings();
  const PortHolder holder(m_rpc, SOCK_STREAM);
  m_holdsStream = true;
  Start();
  ExpectWaiting(m_rpc);
  m_process->Signal(SIGTERM);
  ExpectEnd(0, "\"event\":\"stop\"");
}

TEST_P(AddressInUse, AddressThatStaysInUseIsNamedAtTheEnd)
{
  WriteSettings(IsGateway() ? "grace_seconds = 0.1\n" : "");
  const PortHolder holder(m_rpc, SOCK_DGRAM);
  Start();
  constexpr int kFailed = 1;
  ExpectEnd(kFailed, "cannot listen on " + Loopback(m_rpc));
  EXPECT_TRUE(Logs("Address already in use")) << Log();
}

TEST_P(AddressInUse, ProcessTakesOverFromOneThatIsStopping)
{
  WriteSettings();
  Start();
  ExpectServing();
  m_process->Signal(SIGTERM);
  const auto former = std::move(m_process);
  Start();
  ASSERT_TRUE(former->EndsWithin(kTestTimeout));
  EXPECT_EQ(former->Wait(), 0);
  ExpectServing();
}

TEST(NodeAddressInUse, EntryAndAgentTakeOverFromOnesThatAreStopping)
{
  Fleet fleet(2, 0, 1);
  HttpClient client;
  for (const std::string name : { "entry-1", "teesheet-1" }) {
    SCOPED_TRACE(name);
    auto& vm = fleet.GetVm(name);
    // A pause stands for work that the former process has yet to end.
    vm.m_process->Signal(SIGSTOP);
    const auto former = std::move(vm.m_process);
    fleet.StartVm(name);
    const auto waits = [&] {
      return fleet.Logs().find("\"vm\":\"" + name +
                               "\",\"event\":\"address in use\"") !=
             std::string::npos;
    };
    EXPECT_TRUE(Eventually(
      [&] { return waits() || vm.m_process->EndsWithin(milliseconds(0)); }));
    ASSERT_FALSE(vm.m_process->EndsWithin(milliseconds(0))) << fleet.Logs();
    former->Signal(SIGKILL);
    EXPECT_TRUE(Eventually([&] {
      return client
               .Fetch({ "GET",
                        fleet.Url("entry-1", "/v1/services/teesheet/reads"),
                        { { "x-team", "pro-shops" } } })
               .m_status == 200;
    }))
      << fleet.Logs();
    EXPECT_FALSE(vm.m_process->EndsWithin(milliseconds(0)));
  }
}

} // namespace
} // namespace siskindeal
