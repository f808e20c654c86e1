#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// What may be repeated follows from the kind of a route's requests.
enum class RouteKind : std::uint8_t { Idempotent, NonIdempotent, Streaming };

constexpr NameTable<RouteKind, 3> kRouteKindNames = {{
  {RouteKind::Idempotent, "idempotent"},
  {RouteKind::NonIdempotent, "non-idempotent"},
  {RouteKind::Streaming, "streaming"},
}};

/// A service that gets part of a route's requests.
struct ServiceShare {
  std::string m_service;
  double m_weight = 1.0;
};

struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  RouteKind m_kind = RouteKind::NonIdempotent;
  /// A request gets its final answer within this time.
  Duration m_timeout{0};
  /// Latency objective: to the answer, or to a stream's first event.
  Duration m_objective{0};
  /// The longest pause between a stream's events that still meets the objective.
  Duration m_pauseObjective{0};
  /// Backend servers that one request may run on.
  int m_attempts = 1;
  /// 0 is the most urgent.
  int m_priority = 0;
  /// Requests need no key.
  bool m_isPublic = false;
  /// A stream that broke may go on elsewhere after its last event.
  bool m_resumable = false;
  /// Models that may answer, smallest first; empty where the caller names the model.
  std::vector<std::string> m_models;
  std::vector<ServiceShare> m_services;
};

struct ModelPrice {
  std::string m_model;
  /// Per 1,000 tokens generated; tokens read count a quarter.
  double m_cost = 0.0;
};

struct Service {
  std::string m_name;
  std::string m_healthPath;
  /// Channels that one of its backend servers takes from all callers together.
  std::size_t m_mostChannels = 0;
  /// Model engines only.
  bool m_isEngine = false;
  std::int64_t m_cacheTokens = 0;
  /// Tokens that one event of a stream holds.
  std::int64_t m_tokensPerEvent = 1;
  std::vector<ModelPrice> m_models;
};

struct ClientAccount {
  std::string m_name;
  std::vector<std::string> m_keys;
  /// Goes before the route's priority.
  std::optional<int> m_priority;
};

struct CallerLimits {
  std::size_t m_headerBytes = 16UL * 1024;
  std::size_t m_bodyBytes = 4UL * 1024 * 1024;
  Duration m_headerTime = Seconds(3);
  Duration m_idleTime = Seconds(15);
};

/// The operators' configuration as the router sees it.
struct RoutingConfiguration {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<ClientAccount> m_accounts;
  CallerLimits m_limits;
};

} // namespace fennelline
