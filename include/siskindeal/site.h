#pragma once
// What a site consists of, as the gateway and the stager know it: routes,
// services, teams and runners. The folder platform/ fills these types from what
// the users' platform writes.

#include "siskindeal/settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// What may be done again after a failure.
enum class Repeat
{
  Idempotent,    // any number of times
  NonIdempotent, // never once it may have run
  Streaming,     // never, but resumed at another runner where the route says so
};

// One service that a route sends to, with its share of the requests.
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
  Repeat m_repeat = Repeat::NonIdempotent;
  std::chrono::milliseconds m_timeout{ 0 }; // 0: none
  std::chrono::milliseconds m_targetLatency{ 0 };
  std::chrono::milliseconds m_targetGap{ 0 }; // between events of a stream
  std::uint32_t m_maxAttempts = 1;
  int m_priority = 0; // 0 is first
  bool m_anonymous = false;
  bool m_resumable = false;
  std::vector<RouteShare> m_shares;

  bool MayRepeat() const
  {
    return m_repeat == Repeat::Idempotent ||
           (m_repeat == Repeat::Streaming && m_resumable);
  }
};

// How fast a model runner works.
struct EngineFigures
{
  std::uint32_t m_slots = 1;     // requests in one batch
  double m_stepMs = 0;           // one token of each request
  double m_stepMsPerRequest = 0; // added by each request that writes

  double m_promptTokensPerMs = 0; // 0: unknown

  std::uint32_t m_stepsPerPass = 1; // steps between two events
  double m_usualPromptTokens = 0;
  double m_usualAnswerTokens = 0;

  std::vector<std::string> m_models;
};

struct ServiceRecord
{
  std::string m_name;

  std::optional<EngineFigures> m_engine;
  std::optional<Address> m_origin; // where weights come from
  std::string m_place;             // of the origin; empty: unknown
};

struct SiteTeam
{
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<int> m_priority; // goes before the route's
};

// What a client may send, and how long it may take or stay idle.
struct ClientLimits
{
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  std::chrono::milliseconds m_headerTimeout{ 3000 };
  std::chrono::milliseconds m_idleTimeout{ 15000 };
};

// One version of the configuration, whole.
struct SiteConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceRecord> m_services;
  std::vector<SiteTeam> m_teams;
  ClientLimits m_limits;
};

// A runner as it lists itself.
struct RunnerRecord
{
  std::string m_id;            // of one incarnation
  std::uint64_t m_created = 0; // store revision of its birth
  std::string m_service;
  Address m_address;
  std::string m_place;
  std::uint32_t m_slots = 0; // 0: unknown
  bool m_draining = false;
  std::map<std::string, std::uint64_t> m_versions; // weights, by model
};

// The newest weights named for a model.
struct NamedVersion
{
  std::string m_model;
  std::uint64_t m_version = 0;

  bool operator==(const NamedVersion&) const = default;
};

// A model runner's own report.
struct EngineReport
{
  bool m_busy = false; // an order is in progress
  std::uint64_t m_sequence = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  std::map<std::string, std::uint64_t> m_versions;
};

// The pieces of one version of a model's weights.
struct PieceList
{
  std::string m_model;
  std::uint64_t m_version = 0;
  std::uint64_t m_pieceBytes = 0;
  std::vector<std::string> m_digests; // SHA-256, hexadecimal
};

// An object of the platform's store; the body is its JSON text.
struct SiteObject
{
  std::string m_name;
  std::uint64_t m_revision = 0;
  std::uint64_t m_created = 0;
  bool m_deleted = false;
  std::string m_spec;
};

// One answer of the store to a list or a watch.
struct SiteObjects
{
  std::vector<SiteObject> m_objects;
  std::uint64_t m_revision = 0;
  bool m_more = false; // ask again after the last name
};

// The region of a place, by a table of places; the place itself when it isn't
// there.
std::string
RegionOf(const std::map<std::string, std::string>& aRegions,
         const std::string& aPlace);

// The address in a URL by IP number and port.
Address
AddressOfUrl(const std::string& aUrl);

} // namespace siskindeal
