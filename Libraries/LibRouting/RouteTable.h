#pragma once

#include "LibRouting/RoutingConfiguration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// A configuration with the indexes needed to look up a request.
class RouteTable {
public:
  explicit RouteTable(RoutingConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  std::int64_t Version() const { return m_configuration.m_version; }
  const RoutingConfiguration& Configuration() const { return m_configuration; }
  /// Returns the route of the host with the longest matching path prefix. The host may include a
  /// port, the target a query.
  const Route* FindRoute(std::string_view aHost, std::string_view aTarget) const;
  const ClientAccount* FindAccount(const std::string& aKey) const;
  const Service* FindService(const std::string& aName) const;
  bool HasAccounts() const { return !m_configuration.m_accounts.empty(); }
  /// Chooses the service for a request by weight. Equal numbers give the same service.
  static const std::string& ChooseService(const Route& aRoute, std::uint64_t aNumber);

private:
  RoutingConfiguration m_configuration;
  /// By lower-case host; longest prefixes first.
  std::unordered_map<std::string, std::vector<const Route*>> m_routes;
  std::unordered_map<std::string, const ClientAccount*> m_accounts;
  std::unordered_map<std::string, const Service*> m_services;
};

} // namespace fennelline
