#pragma once
// One request at the HTTP server, from its first header to the end of its
// answer. Owned by the connection and by whoever is to answer it.

#include "http/hang_up_watcher_p.h"
#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"

#include <absl/container/flat_hash_set.h>
#include <microhttpd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

class HttpSession;

// What a server's sessions share; outlives the server while an answer is out.
struct HttpServerState
{
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::atomic<std::size_t> m_connections{ 0 };
  std::atomic<std::size_t> m_inFlight{ 0 };
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_stopping{ false };
  HangUpWatcher m_watcher;
  OrderedMutex m_mutex{ LockLevel::Transport };
  absl::flat_hash_set<std::shared_ptr<HttpSession>> m_sessions
    ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_set<int> m_sockets ABSL_GUARDED_BY(m_mutex);
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(std::shared_ptr<HttpServerState> aState, std::string aTarget);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // The library's access callback: headers, then body pieces, then the end,
  // then once after each resumption.
  MHD_Result OnAccess(MHD_Connection* aConnection,
                      const char* aMethod,
                      const char* aVersion,
                      const char* aUpload,
                      std::size_t* aUploadSize);

  // The library has done with the request.
  void OnCompleted(bool aWhole);

  // The server is being destroyed: closes the connection.
  void CloseForStop();

  // See HttpResponder.
  void Respond(int aStatus, const HttpHeaders& aHeaders, std::string aBody);
  void RespondError(const Error& aError, const std::string& aRequestId);
  void BeginStream(int aStatus, HttpHeaders aHeaders);
  bool Write(std::string_view aBytes);
  void EndStream();
  void Abort();
  void OnHangUp(std::function<void()> aTask);
  std::size_t Buffered() const;
  // The last responder handle is gone.
  void OnDropped();

private:
  enum class Stage
  {
    Headers,
    Body,
    Waiting,   // the handler has it
    Answered,  // a whole answer is set
    Streaming, // a stream is begun
    Ended,     // the stream's end is set
    Aborted,
  };
  using Tasks = std::vector<std::function<void()>>;

  MHD_Result OnHeaders(MHD_Connection* aConnection,
                       const char* aMethod,
                       const char* aVersion);
  MHD_Result OnBody(MHD_Connection* aConnection,
                    const char* aUpload,
                    std::size_t* aUploadSize);
  MHD_Result Dispatch(MHD_Connection* aConnection);
  MHD_Result SendOrSuspend(MHD_Connection* aConnection);
  MHD_Result Refuse(MHD_Connection* aConnection, const Error& aError);
  MHD_Response* MakeStream() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CheckHeaders(MHD_Connection* aConnection, const std::string& aVersion);
  bool IsAnswered() const;
  void ReportHangUp();
  void Wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  ssize_t Read(char* aBuffer, std::size_t aMost);
  static ssize_t ReadBytes(void* aSelf,
                           std::uint64_t aPosition,
                           char* aBuffer,
                           std::size_t aMost);

  const std::shared_ptr<HttpServerState> m_state;
  const std::string m_target;
  HttpRequest m_request;
  std::size_t m_discarded = 0;
  std::uint64_t m_watch = 0;
  bool m_dispatched = false;

  mutable OrderedMutex m_mutex{ LockLevel::Transport };
  Stage m_stage ABSL_GUARDED_BY(m_mutex) = Stage::Headers;
  MHD_Connection* m_connection ABSL_GUARDED_BY(m_mutex) = nullptr;
  MHD_Response* m_response ABSL_GUARDED_BY(m_mutex) = nullptr;
  int m_status ABSL_GUARDED_BY(m_mutex) = 0;
  HttpHeaders m_streamHeaders ABSL_GUARDED_BY(m_mutex);
  std::string m_buffer ABSL_GUARDED_BY(m_mutex);
  std::size_t m_offset ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_suspended ABSL_GUARDED_BY(m_mutex) = false;
  bool m_hungUp ABSL_GUARDED_BY(m_mutex) = false;
  bool m_completed ABSL_GUARDED_BY(m_mutex) = false;
  Tasks m_onHangUp ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal
