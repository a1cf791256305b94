#include "support/chat.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace siskindeal {

using nlohmann::json;

HttpClientRequest
ChatRequest(const std::string& aUrl,
            const std::string& aPrompt,
            int aTokens,
            bool aStream)
{
  const json body = { { "model", "booking chat" },
                      { "stream", aStream },
                      { "max_tokens", aTokens },
                      { "messages",
                        { { { "role", "user" }, { "content", aPrompt } } } } };
  return { "POST",
           aUrl,
           { { "content-type", "application/json" },
             { "x-team", "pro-shops" } },
           body.dump() };
}

std::string
StreamText(const std::string& aEvents)
{
  constexpr std::string_view kDataPrefix = "data: ";
  std::string text;
  std::istringstream lines(aEvents);
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      text += "[DONE]";
    } else if (line.rfind("data: {", 0) == 0) {
      const auto event = json::parse(line.substr(kDataPrefix.size()));
      const auto choices = event.value("choices", json());
      text += choices.empty() ? "" : choices[0]["delta"].value("content", "");
    }
  }
  return text;
}

StreamedChat::StreamedChat(HttpClient& aClient, HttpClientRequest aRequest)
{
  aRequest.m_onBody = [this](std::string_view aBytes) {
    m_events += aBytes;
    std::call_once(m_firstBytesOnce, [this] { m_firstBytes.set_value(); });
    return true;
  };
  aClient.Start(std::move(aRequest),
                [this](const HttpReply& aReply) { m_reply.set_value(aReply); });
}

bool
StreamedChat::HasBegun(std::chrono::seconds aTimeout)
{
  return m_firstBytes.get_future().wait_for(aTimeout) ==
         std::future_status::ready;
}

} // namespace siskindeal
