#pragma once
// A request at the HTTP server, from its complete receipt to the end of its
// response. Owned by its connection and by its responder. Calls from other
// threads are posted to the server's loop and run there in order.

#include "net/http_server_p.h"
#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

class HttpSession;

// State that a server's sessions share. Outlives the server while responders
// exist.
struct HttpServerState : std::enable_shared_from_this<HttpServerState>
{
  // Runs aTask on the loop's thread, or drops it if the server has stopped.
  void Post(std::function<void()> aTask);

  Loop m_loop{ 1 };
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::unique_ptr<HttpListener> m_listener;
  std::set<HttpSession*> m_sessions; // in flight; loop thread only
  std::atomic<std::size_t> m_inFlight{ 0 };
  OrderedMutex m_mutex{ LockLevel::Worker };
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(std::shared_ptr<HttpServerState> aState,
              std::shared_ptr<ServerConnection> aConnection);

  // Validates the request and passes it to the server's handler, or rejects it.
  // Called on the loop.
  void Start();

  // See HttpResponder.
  void Respond(int aStatus, const HttpHeaders& aHeaders, std::string aBody);
  void RespondError(const Error& aError, const std::string& aRequestId);
  void BeginStream(int aStatus, const HttpHeaders& aHeaders);
  bool Write(std::string_view aBytes);
  void EndStream();
  void Abort();
  // Ends the response: an error if it hasn't begun, else its abort.
  void End(const Error& aError);
  void OnDisconnect(std::function<void()> aTask);
  // The last responder handle was released.
  void OnDropped();

private:
  enum class Stage
  {
    Waiting,   // passed to the handler
    Streaming, // a stream was begun
    Ended,     // response complete or aborted
  };
  // A step of the response. Runs on the loop.
  using Step = std::function<void(ServerConnection&)>;

  void Check(const HttpRequest& aRequest, const std::string& aTarget);
  void Dispatch(HttpRequest aRequest);
  // Posts aStep and changes the stage to aTo if the stage is aFrom.
  void Advance(Stage aFrom, Stage aTo, Step aStep);
  void Post(Step aStep) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void OnDisconnected();
  void OnSent();

  const std::shared_ptr<HttpServerState> m_state;
  std::shared_ptr<ServerConnection> m_connection; // loop thread only

  OrderedMutex m_mutex{ LockLevel::Transport };
  Stage m_stage ABSL_GUARDED_BY(m_mutex) = Stage::Waiting;
  bool m_disconnected ABSL_GUARDED_BY(m_mutex) = false;
  bool m_sent ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::function<void()>> m_disconnectTasks ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal
