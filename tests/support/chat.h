#pragma once
// Chat completion requests for tests, buffered and streamed.

#include "siskindeal/http.h"

#include <chrono>
#include <future>
#include <mutex>
#include <string>

namespace siskindeal {

// Builds a chat request of class "booking chat" and team "pro-shops".
HttpClientRequest
ChatRequest(const std::string& aUrl,
            const std::string& aPrompt,
            int aTokens,
            bool aStream);

// Returns the text of a streamed response, with "[DONE]" appended if the
// stream was complete.
std::string
StreamText(const std::string& aEvents);

// A streamed chat request. The object must outlive the call to End.
class StreamedChat
{
public:
  StreamedChat(HttpClient& aClient, HttpClientRequest aRequest);

  // Returns whether the first bytes arrive within aTimeout.
  bool HasBegun(std::chrono::seconds aTimeout);
  // Waits until the response has ended.
  HttpReply End() { return m_reply.get_future().get(); }
  // Returns the events received. Valid after End.
  const std::string& Events() const { return m_events; }

private:
  std::promise<void> m_firstBytes;
  std::once_flag m_firstBytesOnce;
  std::string m_events;
  std::promise<HttpReply> m_reply;
};

} // namespace siskindeal
