#pragma once
// Helpers for tests of the HTTP server and client.

#include "siskindeal/http.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace siskindeal {

inline constexpr auto kHttpWaitTimeout = std::chrono::seconds(20);

inline HttpServerLimits
SmallLimits()
{
  HttpServerLimits limits;
  limits.m_bodyBytes = 1000;
  limits.m_headerBytes = 2000;
  return limits;
}

inline std::string
Url(const HttpServer& aServer, const std::string& aPath)
{
  return "http://127.0.0.1:" + std::to_string(aServer.Port()) + aPath;
}

inline void
Echo(HttpRequest aRequest, const std::shared_ptr<HttpResponder>& aResponder)
{
  aResponder->Respond(
    200, { { "x-path", aRequest.m_path } }, std::move(aRequest.m_body));
}

template<typename Condition>
void
Await(Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kHttpWaitTimeout;
  while (!aCondition()) {
    ASSERT_LT(std::chrono::steady_clock::now(), deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

} // namespace siskindeal
