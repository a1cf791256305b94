#pragma once
// Stand-in for the platform: versioned objects with conditional updates and
// watches, and a VM list that is updated with a delay.

#include "standin/stand_in.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace siskindeal::standin {

struct PlatformOptions
{
  StandInOptions m_standIn;
  double m_readsPerSecond = 2000;
  double m_writesPerSecond = 300;
  std::size_t m_history = 1000; // changes retained for watches
  std::chrono::milliseconds m_vmLag{ 2000 };
};

struct PlatformCounts
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_refused = 0;
};

struct PlatformVm
{
  std::string m_vm;
  std::string m_place;
  std::string m_service;
  std::string m_rpc;
  bool m_leaving = false;
};

class PlatformStandIn final : public StandIn
{
public:
  explicit PlatformStandIn(PlatformOptions aOptions);
  ~PlatformStandIn() override;

  // Writes unconditionally, like an administrator of the platform.
  void SetObject(const std::string& aKey, const std::string& aValue);
  std::string ObjectValue(const std::string& aKey);
  // The list changes after m_vmLag unless aImmediately is set.
  void SetVm(const PlatformVm& aVm, bool aImmediately = false);
  void RemoveVm(const std::string& aVm, bool aImmediately = false);
  PlatformCounts Counts();

protected:
  void Handle(HttpRequest aRequest, const Responder& aResponder) override;

private:
  struct Object
  {
    std::uint64_t m_version = 0;
    std::string m_value;
    std::string m_changeId;
    bool m_deleted = false;
  };
  struct Change
  {
    std::uint64_t m_revision;
    std::string m_key;
    Object m_object;
  };
  struct Watcher
  {
    std::uint64_t m_id;
    std::string m_prefix;
    std::uint64_t m_after;
    Responder m_responder;
  };
  struct Bucket
  {
    double m_tokens = 0;
    Time m_lastRefill;
  };

  void HandleObject(const HttpRequest& aRequest,
                    const std::string& aKey,
                    const Responder& aResponder);
  void Write(const HttpRequest& aRequest,
             const std::string& aKey,
             const Responder& aResponder);
  void List(const HttpRequest& aRequest, const Responder& aResponder);
  void Watch(const HttpRequest& aRequest, const Responder& aResponder);
  void ListVms(const Responder& aResponder);
  void HandleAdmin(const HttpRequest& aRequest, const Responder& aResponder);
  // Responses to the watches that a write completes.
  using WatchResponses = std::vector<std::pair<Responder, nlohmann::json>>;
  WatchResponses Commit(const std::string& aKey, Object aObject)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  static void SendResponses(const WatchResponses& aResponses);
  bool TakeToken(bool aWrite);
  nlohmann::json ChangesAfter(const std::string& aPrefix, std::uint64_t aAfter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  static nlohmann::json ToJson(const std::string& aKey, const Object& aObject);

  const PlatformOptions m_options;
  absl::Mutex m_mutex;
  std::map<std::string, Object> m_objects ABSL_GUARDED_BY(m_mutex);
  std::deque<Change> m_history ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<Watcher> m_watchers ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_lastWatcherId ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, PlatformVm> m_vms ABSL_GUARDED_BY(m_mutex);
  Bucket m_reads ABSL_GUARDED_BY(m_mutex);
  Bucket m_writes ABSL_GUARDED_BY(m_mutex);
  PlatformCounts m_counts ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal::standin
