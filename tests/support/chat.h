#pragma once
// Chats as callers send them, whole and streamed.

#include "siskindeal/http.h"

#include <chrono>
#include <future>
#include <mutex>
#include <string>

namespace siskindeal {

// A chat of the class "booking chat" by the team "pro-shops".
HttpClientRequest
ChatRequest(const std::string& aUrl,
            const std::string& aPrompt,
            int aTokens,
            bool aStream);

// The text of a streamed answer; the marker "[DONE]" at its end.
std::string
StreamText(const std::string& aEvents);

// A streamed chat in progress. Lives until End has returned.
class StreamedChat
{
public:
  StreamedChat(HttpClient& aClient, HttpClientRequest aRequest);

  // Whether the first bytes have come within aLongest.
  bool HasBegun(std::chrono::seconds aLongest);
  // Waits for the end.
  HttpReply End() { return m_ended.get_future().get(); }
  // What the caller got; after End.
  const std::string& Events() const { return m_events; }

private:
  std::promise<void> m_begun;
  std::once_flag m_once;
  std::string m_events;
  std::promise<HttpReply> m_ended;
};

} // namespace siskindeal
