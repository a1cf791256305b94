#include "http/response_p.h"
#include "http/session_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace siskindeal {

namespace {

// Sent bytes are dropped from a stream's buffer once there are this many.
constexpr std::size_t kCompactBytes = 64 << 10;
constexpr std::size_t kStreamBlockBytes = 32 << 10;

// What a handler holds. Dropping it unanswered answers 500.
class Responder final : public HttpResponder
{
public:
  explicit Responder(std::shared_ptr<HttpSession> aSession)
    : m_session(std::move(aSession))
  {
  }
  ~Responder() override { m_session->OnDropped(); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    m_session->Respond(aStatus, aHeaders, std::move(aBody));
  }
  void BeginStream(int aStatus, HttpHeaders aHeaders) override
  {
    m_session->BeginStream(aStatus, std::move(aHeaders));
  }
  bool Write(std::string_view aBytes) override
  {
    return m_session->Write(aBytes);
  }
  void EndStream() override { m_session->EndStream(); }
  void Abort() override { m_session->Abort(); }
  void OnHangUp(std::function<void()> aTask) override
  {
    m_session->OnHangUp(std::move(aTask));
  }
  std::size_t Buffered() const override { return m_session->Buffered(); }

private:
  const std::shared_ptr<HttpSession> m_session;
};

int
Socket(MHD_Connection* aConnection)
{
  return MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
    ->connect_fd;
}

void
FreeSession(void* aSession)
{
  delete static_cast<std::shared_ptr<HttpSession>*>(aSession);
}

} // namespace

MHD_Result
HttpSession::Dispatch(MHD_Connection* aConnection)
{
  {
    const OrderedLock lock(m_mutex);
    m_stage = Stage::Waiting;
    m_connection = aConnection;
  }
  m_dispatched = true;
  ++m_state->m_inFlight;
  {
    const OrderedLock lock(m_state->m_mutex);
    m_state->m_sessions.insert(shared_from_this());
  }
  const auto responder = std::make_shared<Responder>(shared_from_this());
  const auto id = m_request.m_headers.find(std::string(kRequestIdHeader));
  const auto requestId = id == m_request.m_headers.end() ? NewId() : id->second;
  try {
    m_state->m_handler(std::move(m_request), responder);
  } catch (const Error& failure) {
    RespondError(failure, requestId);
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "handler_failed", { { "what", failure.what() } });
    RespondError(Error(Reason::Internal, Verdict::MayHaveRun, "internal error"),
                 requestId);
  }
  return SendOrSuspend(aConnection);
}

MHD_Result
HttpSession::SendOrSuspend(MHD_Connection* aConnection)
{
  if (m_watch == 0 && !IsAnswered()) {
    m_watch = m_state->m_watcher.Watch(
      Socket(aConnection),
      [self = shared_from_this()] { self->ReportHangUp(); });
  }
  MHD_Response* response = nullptr;
  int status = 0;
  {
    const OrderedLock lock(m_mutex);
    if (m_stage == Stage::Aborted) {
      return MHD_NO;
    }
    if (m_stage == Stage::Streaming || m_stage == Stage::Ended) {
      response = MakeStream();
    } else if (m_stage == Stage::Answered) {
      response = std::exchange(m_response, nullptr);
    }
    status = m_status;
    if (response == nullptr) {
      if (m_state->m_stopping) {
        return MHD_NO;
      }
      m_suspended = true;
      MHD_suspend_connection(aConnection);
      return MHD_YES;
    }
  }
  if (m_state->m_draining) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const auto result = MHD_queue_response(aConnection, status, response);
  MHD_destroy_response(response);
  return result;
}

bool
HttpSession::IsAnswered() const
{
  const OrderedLock lock(m_mutex);
  return m_stage == Stage::Answered || m_stage == Stage::Ended;
}

MHD_Response*
HttpSession::MakeStream()
{
  auto* const self = new std::shared_ptr<HttpSession>(shared_from_this());
  auto* const response = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadBytes, self, &FreeSession);
  AddHeaders(response, m_streamHeaders);
  return response;
}

ssize_t
HttpSession::ReadBytes(void* aSelf,
                       std::uint64_t,
                       char* aBuffer,
                       std::size_t aMost)
{
  return (*static_cast<std::shared_ptr<HttpSession>*>(aSelf))
    ->Read(aBuffer, aMost);
}

ssize_t
HttpSession::Read(char* aBuffer, std::size_t aMost)
{
  const OrderedLock lock(m_mutex);
  if (m_stage == Stage::Aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const auto size = std::min(aMost, m_buffer.size() - m_offset);
  if (size > 0) {
    std::memcpy(aBuffer, m_buffer.data() + m_offset, size);
    m_offset += size;
    if (m_offset == m_buffer.size() || m_offset >= kCompactBytes) {
      m_buffer.erase(0, std::exchange(m_offset, 0));
    }
    return static_cast<ssize_t>(size);
  }
  if (m_stage == Stage::Ended) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (m_state->m_stopping || m_connection == nullptr) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  m_suspended = true;
  MHD_suspend_connection(m_connection);
  return 0;
}

void
HttpSession::OnCompleted(bool aWhole)
{
  if (!m_dispatched) {
    return;
  }
  if (m_watch != 0) {
    m_state->m_watcher.Forget(m_watch);
  }
  bool hungUp = false;
  {
    const OrderedLock lock(m_mutex);
    m_connection = nullptr;
    m_suspended = false;
    m_completed = true;
    hungUp = !aWhole && m_stage != Stage::Aborted;
    m_buffer.clear();
    m_offset = 0;
  }
  if (hungUp) {
    ReportHangUp();
  }
  --m_state->m_inFlight;
  {
    const OrderedLock lock(m_state->m_mutex);
    m_state->m_sessions.erase(shared_from_this());
  }
  const OrderedLock lock(m_mutex);
  m_onHangUp.clear();
}

void
HttpSession::CloseForStop()
{
  ReportHangUp();
  Abort();
}

void
HttpSession::ReportHangUp()
{
  Tasks tasks;
  {
    const OrderedLock lock(m_mutex);
    m_hungUp = true;
    tasks.swap(m_onHangUp);
  }
  for (const auto& task : tasks) {
    task();
  }
}

void
HttpSession::Wake()
{
  if (std::exchange(m_suspended, false)) {
    MHD_resume_connection(m_connection);
  }
}

void
HttpSession::Respond(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string aBody)
{
  auto* const response = MakeWhole(aHeaders, std::move(aBody));
  const OrderedLock lock(m_mutex);
  if (m_stage != Stage::Waiting) {
    MHD_destroy_response(response);
    return;
  }
  m_stage = Stage::Answered;
  m_status = aStatus;
  m_response = response;
  Wake();
}

void
HttpSession::RespondError(const Error& aError, const std::string& aRequestId)
{
  auto* const response = MakeRefusal(aError, aRequestId);
  const OrderedLock lock(m_mutex);
  if (m_stage != Stage::Waiting) {
    MHD_destroy_response(response);
    return;
  }
  m_stage = Stage::Answered;
  m_status = HttpStatus(aError.GetReason());
  m_response = response;
  Wake();
}

void
HttpSession::BeginStream(int aStatus, HttpHeaders aHeaders)
{
  const OrderedLock lock(m_mutex);
  if (m_stage != Stage::Waiting) {
    return;
  }
  m_stage = Stage::Streaming;
  m_status = aStatus;
  m_streamHeaders = std::move(aHeaders);
  Wake();
}

bool
HttpSession::Write(std::string_view aBytes)
{
  const OrderedLock lock(m_mutex);
  if (m_hungUp || m_completed || m_stage != Stage::Streaming) {
    return false;
  }
  m_buffer.append(aBytes);
  if (!aBytes.empty()) {
    Wake();
  }
  return true;
}

void
HttpSession::EndStream()
{
  const OrderedLock lock(m_mutex);
  if (m_stage == Stage::Streaming) {
    m_stage = Stage::Ended;
    Wake();
  }
}

void
HttpSession::Abort()
{
  const OrderedLock lock(m_mutex);
  m_stage = Stage::Aborted;
  Wake();
}

void
HttpSession::OnHangUp(std::function<void()> aTask)
{
  {
    const OrderedLock lock(m_mutex);
    if (!m_hungUp) {
      if (!m_completed) {
        m_onHangUp.push_back(std::move(aTask));
      }
      return;
    }
  }
  aTask();
}

std::size_t
HttpSession::Buffered() const
{
  const OrderedLock lock(m_mutex);
  return m_buffer.size() - m_offset;
}

void
HttpSession::OnDropped()
{
  Stage stage;
  {
    const OrderedLock lock(m_mutex);
    stage = m_completed ? Stage::Ended : m_stage;
  }
  if (stage == Stage::Waiting) {
    Log(LogLevel::Error, "request_dropped_unanswered");
    RespondError(Error(Reason::Internal, Verdict::MayHaveRun, "internal error"),
                 NewId());
  } else if (stage == Stage::Streaming) {
    Abort();
  }
}

} // namespace siskindeal
