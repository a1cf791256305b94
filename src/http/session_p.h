#pragma once
// One request at the HTTP server, from the moment it is whole to the end of its
// answer. Owned by its connection and by whoever is to answer it. What is asked
// of it from other threads happens on the server's loop, in the order asked.

#include "net/http_server_p.h"
#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

// What a server's sessions share; outlives the server while an answer is out.
struct HttpServerState : std::enable_shared_from_this<HttpServerState>
{
  // Runs aTask on the loop's thread; drops it once the server has stopped.
  void Post(std::function<void()> aTask);

  Loop m_loop{ 1 };
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::unique_ptr<HttpListener> m_listener;
  std::atomic<std::size_t> m_inFlight{ 0 };
  OrderedMutex m_mutex{ LockLevel::Worker };
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(std::shared_ptr<HttpServerState> aState,
              std::shared_ptr<ServerConnection> aConnection);

  // Checks the request and hands it to the server's handler, or refuses it. On
  // the loop.
  void Start();

  // See HttpResponder.
  void Respond(int aStatus, const HttpHeaders& aHeaders, std::string aBody);
  void RespondError(const Error& aError, const std::string& aRequestId);
  void BeginStream(int aStatus, const HttpHeaders& aHeaders);
  bool Write(std::string_view aBytes);
  void EndStream();
  void Abort();
  void OnHangUp(std::function<void()> aTask);
  // The last responder handle is gone.
  void OnDropped();

private:
  enum class Stage
  {
    Waiting,   // the handler has it
    Streaming, // a stream is begun
    Ended,     // answered whole, or aborted
  };
  // A step of the answer, on the loop.
  using Step = std::function<void(ServerConnection&)>;

  void Check(const HttpRequest& aRequest, const std::string& aTarget);
  void Dispatch(HttpRequest aRequest);
  // Posts aStep if the answer is in aFrom, and moves it to aTo.
  void Advance(Stage aFrom, Stage aTo, Step aStep);
  void Post(Step aStep) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void OnGone();
  void OnSent();

  const std::shared_ptr<HttpServerState> m_state;
  std::shared_ptr<ServerConnection> m_connection; // of the loop's thread

  OrderedMutex m_mutex{ LockLevel::Transport };
  Stage m_stage ABSL_GUARDED_BY(m_mutex) = Stage::Waiting;
  bool m_gone ABSL_GUARDED_BY(m_mutex) = false;
  bool m_sent ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::function<void()>> m_onHangUp ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal
