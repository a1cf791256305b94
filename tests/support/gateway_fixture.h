#pragma once
// Fixture that runs a gateway on loopback against a scripted platform.

#include "gateway/gateway_p.h"
#include "support/raw_socket.h"
#include "support/site.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

namespace siskindeal {

inline constexpr std::chrono::seconds kTestTimeout{ 20 };

template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

inline nlohmann::json
RouteJson(const std::string& aName, const std::string& aKind, bool aResumable)
{
  return { { "name", aName },
           { "host", "x.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "service", aName },
           { "timeout_ms", 4000 },
           { "target_latency_ms", 1500 },
           { "max_attempts", 2 },
           { "resumable", aResumable } };
}

inline nlohmann::json
ConfigJson(std::uint64_t aVersion)
{
  nlohmann::json services = nlohmann::json::array();
  for (const char* name : { "chat", "post", "get" }) {
    services.push_back({ { "name", name } });
  }
  return {
    { "version", aVersion },
    { "routes",
      { RouteJson("chat", "streaming", true),
        RouteJson("post", "non_idempotent", false),
        RouteJson("get", "idempotent", false) } },
    { "services", services },
    { "tenants",
      { { { "name", "pro-shop" }, { "api_keys", { "key-1", "key-2" } } } } },
    { "limits", { { "max_header_bytes", 4000 }, { "max_body_bytes", 10000 } } }
  };
}

class GatewayTest : public testing::Test
{
protected:
  void SetUp() override { m_site.Put("config", "main", ConfigJson(1)); }

  void TearDown() override
  {
    if (m_gateway) {
      m_gateway->RequestShutdown();
      m_thread.join();
    }
  }

  void Start()
  {
    GatewaySettings settings;
    settings.m_node.m_vm = "edge-1";
    settings.m_node.m_place = "here";
    settings.m_node.m_rpc = { "127.0.0.1", 0 };
    settings.m_node.m_http = { "127.0.0.1", 0 };
    settings.m_gateway.m_ready = { "127.0.0.1", 0 };
    settings.m_gateway.m_directory = { "127.0.0.1", 0 };
    settings.m_gateway.m_answerLifetime = m_answerLifetime;
    settings.m_gateway.m_graceSeconds = m_graceSeconds;
    settings.m_gateway.m_versionWithin = m_versionWithin;
    settings.m_gateway.m_retrySlack = m_retrySlack;
    settings.m_gateway.m_evacuateWithin = m_evacuateWithin;
    settings.m_gateway.m_regions = m_regions;
    settings.m_platform.m_url = "http://" + m_site.Store().ToString();
    m_gateway = std::make_unique<Gateway>(settings, m_settingsFile);
    m_thread = std::thread([this] { m_gateway->Run(); });
  }

  void StartAndAwaitReady()
  {
    Start();
    ASSERT_TRUE(Eventually([&] { return IsReady(); }));
  }

  bool IsReady()
  {
    RawSocket socket(m_gateway->ReadyPort());
    socket.Send("GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.ReadUntil("\r\n").find(" 200 ") != std::string::npos;
  }

  std::string QueryDirectory()
  {
    RawSocket socket(m_gateway->DirectoryPort());
    socket.Send("GET /siskindeal/resolve?name=x.example HTTP/1.1\r\n"
                "Host: d\r\nConnection: close\r\n\r\n");
    return socket.ReadAll();
  }

  void WriteSettings(const std::string& aExtra)
  {
    std::ofstream(m_settingsFile)
      << "[node]\nvm = \"edge-1\"\nplace = \"here\"\n"
         "rpc = \"127.0.0.1:7700\"\nhttp = \"127.0.0.1:7701\"\n"
         "[platform]\nurl = \"http://127.0.0.1:7702\"\n"
         "[gateway]\nready = \"127.0.0.1:7703\"\n"
         "directory = \"127.0.0.1:7704\"\n"
      << aExtra;
  }

  // The number of runners in the gateway's /state.
  std::size_t RunnerCount()
  {
    RawSocket socket(m_gateway->AdminPort());
    socket.Send("GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string answer = socket.ReadAll();
    const auto body = answer.find("\r\n\r\n");
    return nlohmann::json::parse(answer.substr(body + 4)).at("runners").size();
  }

  std::string SendRequest(const std::string& aRequest)
  {
    RawSocket socket(m_gateway->CallersPort());
    socket.Send(aRequest);
    return socket.ReadAll();
  }

  static std::string Request(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aExtra = {},
                             const std::string& aBody = {})
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
           "X-Siskindeal-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
           "X-Siskindeal-Deadline-Ms: 3000\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n" + aExtra + "\r\n" + aBody;
  }

  static HttpFields SignedFields()
  {
    HttpFields fields;
    fields.Add("X-Siskindeal-Attempt-Id", "id-1");
    fields.Add("X-Siskindeal-Runner-Signature", "sig-7");
    return fields;
  }

  static void Answer(const std::shared_ptr<ServerConnection>& aConnection,
                     int aStatus = 200,
                     const std::string& aBody = "booked")
  {
    aConnection->SendResponse(aStatus, {}, SignedFields(), aBody);
  }

  static void RejectNotExecuted(
    const std::shared_ptr<ServerConnection>& aConnection)
  {
    HttpFields fields = SignedFields();
    fields.Add("X-Siskindeal-Not-Executed", "1");
    aConnection->SendResponse(503, {}, fields, "");
  }

  static HttpFields StreamFields()
  {
    HttpFields fields = SignedFields();
    fields.Add("Content-Type", "text/event-stream");
    return fields;
  }

  std::string m_settingsFile; // empty: no file
  std::chrono::milliseconds m_versionWithin{ 8000 };
  std::chrono::milliseconds m_answerLifetime{ 50 }; // of the directory
  std::chrono::milliseconds m_evacuateWithin{ 0 };
  std::map<std::string, std::string> m_regions; // by place
  double m_retrySlack = 1e6; // enough at once after the start
  double m_graceSeconds = 5;
  SiteStandIn m_site;
  std::unique_ptr<Gateway> m_gateway;
  std::thread m_thread;
};

} // namespace siskindeal
