#pragma once
// One outgoing request on libcurl. Except for the constructor, it is used on
// the client's thread only.

#include "http/client_sockets_p.h"
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

  // Configures aEasy for this request. aSockets outlives the transfer.
  void Prepare(CURL* aEasy, ClientSockets& aSockets);
  CURL* Easy() const { return m_easy; }

  // Whether the transfer ended because the connection chosen for it wasn't to
  // be reused. It is then started again on a new one.
  bool TakeRestart();
  // Runs the callback for a transfer that ended with aCode.
  void Finish(CURLcode aCode);
  // Size of the body that is kept until the response is complete.
  std::size_t BufferedBytes() const { return m_reply.m_body.capacity(); }
  // Runs the callback of a call that was ended to save memory.
  void FinishBrokenOff();
  // Runs the callback of a cancelled call, whether or not it was started.
  void FinishCancelled();

private:
  static std::size_t OnHeader(char*, std::size_t, std::size_t, void* aSelf);
  static std::size_t OnBody(char*, std::size_t, std::size_t, void* aSelf);
  static int OnBeforeRequest(void* aSelf, char*, char*, int, int);

  void AddHeaderLine(std::string_view aLine);
  bool AddBody(std::string_view aBytes);
  void SetMethod();
  bool IsSafe() const;
  bool WasSent() const;
  bool IsSelfDelimiting() const;
  HttpOutcome OutcomeOf(CURLcode aCode) const;
  HttpFault FaultOf(CURLcode aCode) const;
  void InvokeCallback();

  HttpClientRequest m_request;
  HttpClient::Done m_done;
  HttpReply m_reply;
  CURL* m_easy = nullptr;
  ClientSockets* m_sockets = nullptr;
  bool m_connectionUnusable = false;
  curl_slist* m_headers = nullptr;
  bool m_cancelledByCallback = false;
  bool m_haveHead = false; // of the final response
};

} // namespace siskindeal
