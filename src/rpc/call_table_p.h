#pragma once
// Tracks the outgoing calls of a client.

#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include <memory>
#include <set>
#include <utility>

namespace siskindeal {

// The in-flight calls. A client cancels them before it is destroyed.
class CallTable
{
public:
  void Add(grpc::ClientContext* aContext)
  {
    const absl::MutexLock lock(&m_mutex);
    m_calls.insert(aContext);
    if (m_closing) {
      aContext->TryCancel();
    }
  }

  void Remove(grpc::ClientContext* aContext)
  {
    const absl::MutexLock lock(&m_mutex);
    m_calls.erase(aContext);
  }

  // Cancels every call and waits until their callbacks have returned.
  void CancelAll()
  {
    const absl::MutexLock lock(&m_mutex);
    m_closing = true;
    for (auto* context : m_calls) {
      context->TryCancel();
    }
    m_mutex.Await(absl::Condition(
      +[](std::set<grpc::ClientContext*>* aCalls) { return aCalls->empty(); },
      &m_calls));
  }

private:
  absl::Mutex m_mutex;
  std::set<grpc::ClientContext*> m_calls ABSL_GUARDED_BY(m_mutex);
  bool m_closing ABSL_GUARDED_BY(m_mutex) = false;
};

// A context registered in a table while its call is in flight.
struct RegisteredContext
{
  explicit RegisteredContext(std::shared_ptr<CallTable> aTable)
    : m_table(std::move(aTable))
  {
    m_table->Add(&m_context);
  }
  ~RegisteredContext() { Unregister(); }
  RegisteredContext(const RegisteredContext&) = delete;
  RegisteredContext& operator=(const RegisteredContext&) = delete;

  void Unregister()
  {
    if (const auto table = std::exchange(m_table, nullptr)) {
      table->Remove(&m_context);
    }
  }

  grpc::ClientContext m_context;

private:
  std::shared_ptr<CallTable> m_table;
};

} // namespace siskindeal
