#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// The kind of a route determines which of its requests may be retried.
enum class RouteKind : std::uint8_t { Idempotent, NonIdempotent, Streaming };

constexpr NameTable<RouteKind, 3> kRouteKindNames = {{
  {RouteKind::Idempotent, "idempotent"},
  {RouteKind::NonIdempotent, "non-idempotent"},
  {RouteKind::Streaming, "streaming"},
}};

/// A service that receives part of a route's requests.
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
  /// Maximum time to the final answer.
  Duration m_timeout{0};
  /// Latency objective: time to the answer, or to a stream's first event.
  Duration m_objective{0};
  /// Maximum pause between the events of a stream that meets the objective.
  Duration m_pauseObjective{0};
  /// Maximum number of backend servers that may run one request.
  int m_attempts = 1;
  /// 0 is the highest priority.
  int m_priority = 0;
  /// Requests need no API key.
  bool m_isPublic = false;
  /// An interrupted stream may be resumed on another server after its last event.
  bool m_resumable = false;
  /// Models that may answer, smallest first; empty if the caller names the model.
  std::vector<std::string> m_models;
  std::vector<ServiceShare> m_services;
};

struct ModelPrice {
  std::string m_model;
  /// Per 1,000 generated tokens; prompt tokens count a quarter.
  double m_cost = 0.0;
};

struct Service {
  std::string m_name;
  std::string m_healthPath;
  /// Maximum connections that one of its backend servers accepts from all callers together.
  std::size_t m_mostChannels = 0;
  /// For how long a server is cold after its start, and the requests per second that it can handle
  /// meanwhile. Zero if the servers are never cold.
  Duration m_coldTime{0};
  double m_coldPerSecond = 0.0;
  /// Whether its backend servers are model engines. The fields below apply only to these.
  bool m_isEngine = false;
  std::int64_t m_cacheTokens = 0;
  /// Number of tokens in one event of a stream.
  std::int64_t m_tokensPerEvent = 1;
  std::vector<ModelPrice> m_models;
};

struct ClientAccount {
  std::string m_name;
  std::vector<std::string> m_keys;
  /// Overrides the route's priority.
  std::optional<int> m_priority;
};

struct CallerLimits {
  std::size_t m_headerBytes = 16UL * 1024;
  std::size_t m_bodyBytes = 4UL * 1024 * 1024;
  Duration m_headerTime = Seconds(3);
  Duration m_idleTime = Seconds(15);
};

/// The operators' configuration as used by the router.
struct RoutingConfiguration {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<ClientAccount> m_accounts;
  CallerLimits m_limits;
};

} // namespace fennelline
