#pragma once
// One outgoing request on libcurl. Everything but its construction happens on
// the client's thread.

#include "siskindeal/http.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace siskindeal {

class ClientCall
{
public:
  ClientCall(HttpClientRequest aRequest, HttpClient::Done aDone);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  // Sets aEasy up for this request.
  void Prepare(CURL* aEasy);
  CURL* Easy() const { return m_easy; }

  // Runs the callback with what is known of a transfer that ended with aCode.
  void Finish(CURLcode aCode);
  // Runs the callback of a call that is given up, started or not.
  void FinishCancelled();

private:
  static std::size_t OnHeader(char*, std::size_t, std::size_t, void* aSelf);
  static std::size_t OnBody(char*, std::size_t, std::size_t, void* aSelf);
  static int OnConnected(void* aSelf, char*, char*, int, int);

  void AddHeaderLine(std::string_view aLine);
  bool AddBody(std::string_view aBytes);
  void SetMethod();
  bool IsSafe() const;
  bool WasSent() const;
  bool HasEndMarker() const;
  HttpOutcome OutcomeOf(CURLcode aCode) const;
  void Report();

  HttpClientRequest m_request;
  HttpClient::Done m_done;
  HttpReply m_reply;
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  bool m_refusedByCaller = false;
};

} // namespace siskindeal
