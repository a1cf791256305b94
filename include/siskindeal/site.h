#pragma once
// Data types for the contents of a site, used by the gateway and the stager:
// routes, services, teams and runners. platform/ decodes them from the users'
// platform.

#include "siskindeal/settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace siskindeal {

// Whether a request may be retried after a failure.
enum class RetryClass
{
  Idempotent,    // always
  NonIdempotent, // only if it certainly has not run
  Streaming,     // never; resumed at another runner if the route is resumable
};

// One service of a route, with its share of the requests.
struct RouteShare
{
  std::string m_service;
  double m_weight = 1;
};

struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; // begins and ends with a slash
  RetryClass m_retryClass = RetryClass::NonIdempotent;
  std::chrono::milliseconds m_timeout{ 0 }; // 0: none
  std::chrono::milliseconds m_targetLatency{ 0 };
  std::chrono::milliseconds m_targetGap{ 0 }; // between events of a stream
  std::uint32_t m_maxAttempts = 1;
  int m_priority = 0; // 0 is highest
  bool m_anonymous = false;
  bool m_resumable = false;
  std::vector<RouteShare> m_shares;
  std::vector<std::string> m_allowedRegions; // empty: any

  bool IsRetryable() const
  {
    return m_retryClass == RetryClass::Idempotent ||
           (m_retryClass == RetryClass::Streaming && m_resumable);
  }
};

// Performance characteristics of a model runner.
struct EngineProfile
{
  std::uint32_t m_slots = 1;     // requests in one batch
  double m_stepMs = 0;           // to generate one token for each request
  double m_stepMsPerRequest = 0; // added for each generating request

  double m_promptTokensPerMs = 0; // 0: unknown

  std::uint32_t m_stepsPerPass = 1; // steps between two events
  double m_typicalPromptTokens = 0;
  double m_typicalAnswerTokens = 0;

  std::vector<std::string> m_models;
};

struct ServiceRecord
{
  std::string m_name;

  std::optional<EngineProfile> m_engine;
  std::optional<Address> m_origin; // source of weights
  std::string m_place;             // of the origin; empty: unknown

  // Requests a second that a cold runner tolerates; 0: as many as others.
  double m_coldPerSecond = 0;
  std::chrono::milliseconds m_coldStart{ 0 }; // for which a start is cold
};

struct SiteTeam
{
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<int> m_priority;             // overrides the route's
  std::vector<std::string> m_allowedRegions; // empty: any
};

// Limits on the size and duration of client requests and on idle connections.
struct ClientLimits
{
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  std::chrono::milliseconds m_headerTimeout{ 3000 };
  std::chrono::milliseconds m_idleTimeout{ 15000 };
};

// One version of the complete configuration.
struct SiteConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceRecord> m_services;
  std::vector<SiteTeam> m_teams;
  bool m_requiresKeys = false; // a list of teams is given, even an empty one
  ClientLimits m_limits;
};

// One start of a runner. An id may be used again after a restart.
struct RunnerIncarnation
{
  std::string m_id;
  std::uint64_t m_created = 0; // store revision at its record's creation
  std::uint64_t m_born = 0;    // Unix ms of its start; 0: not stated

  // Tells starts under one id apart. Writers that don't state the time of the
  // start are told apart by their records' creation, which also changes when a
  // record lapses and returns.
  std::uint64_t Start() const { return m_born != 0 ? m_born : m_created; }

  bool operator==(const RunnerIncarnation& aOther) const
  {
    return Key() == aOther.Key();
  }
  bool operator<(const RunnerIncarnation& aOther) const
  {
    return Key() < aOther.Key();
  }
  std::string ToString() const { return m_id + "@" + std::to_string(Start()); }

private:
  std::tuple<const std::string&, bool, std::uint64_t> Key() const
  {
    return { m_id, m_born != 0, Start() };
  }
};

// A runner's own record in the store.
struct RunnerRecord
{
  std::string m_id;
  std::uint64_t m_created = 0; // store revision at its creation
  std::uint64_t m_born = 0;    // Unix ms of the runner's start; 0: not stated
  std::string m_service;
  Address m_address;
  std::string m_place;
  std::uint32_t m_slots = 0; // 0: unknown
  bool m_draining = false;
  std::map<std::string, std::uint64_t> m_versions; // weights, by model
  // How much longer it is cold, when the record was written.
  std::optional<std::chrono::milliseconds> m_coldFor;

  RunnerIncarnation Incarnation() const { return { m_id, m_created, m_born }; }
  bool operator==(const RunnerRecord&) const = default;
};

// The newest weights named for a model.
struct NamedVersion
{
  std::string m_model;
  std::uint64_t m_version = 0;

  bool operator==(const NamedVersion&) const = default;
};

// State that a model runner reports.
struct EngineReport
{
  std::uint64_t m_born = 0; // as RunnerRecord
  bool m_busy = false;      // an order is in progress
  std::uint64_t m_sequence = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  std::map<std::string, std::uint64_t> m_versions;
};

// The piece digests of one version of a model's weights.
struct PieceList
{
  std::string m_model;
  std::uint64_t m_version = 0;
  std::uint64_t m_pieceBytes = 0;
  std::vector<std::string> m_digests; // SHA-256, hexadecimal
};

// A position in the history of the platform's store. A store that comes back
// from a copy begins a new era and gives the revisions of lost changes out
// again. Any position of a later era is later than all of the former ones.
struct StorePosition
{
  std::uint64_t m_era = 0; // 0: the store doesn't name its era
  std::uint64_t m_revision = 0;

  bool operator==(const StorePosition&) const = default;
  bool operator<(const StorePosition& aOther) const
  {
    return std::tie(m_era, m_revision) <
           std::tie(aOther.m_era, aOther.m_revision);
  }
};

// An object of the platform's store; m_spec is its JSON text as received,
// which may be malformed, or empty if the object can't be used.
struct SiteObject
{
  std::string m_name;
  std::uint64_t m_revision = 0;
  std::uint64_t m_created = 0;
  bool m_deleted = false;
  std::string m_spec;
};

// One page of a list, or the changes returned by a watch.
struct SiteObjects
{
  std::vector<SiteObject> m_objects;
  std::uint64_t m_revision = 0;
  bool m_hasMore = false; // the next page starts after the last name
  // Why objects were left out, or have no spec.
  std::vector<std::string> m_rejected;
};

// Returns the region of a place, or the place itself if the table lacks it.
std::string
RegionOf(const std::map<std::string, std::string>& aRegions,
         const std::string& aPlace);

// Parses the address of a URL whose host is an IP number with a port.
Address
AddressOfUrl(const std::string& aUrl);

} // namespace siskindeal
