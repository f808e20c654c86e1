#include "LibRouting/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace fennelline {

namespace {

/// Resolution of the weighted choice.
constexpr std::uint64_t kWeightSteps = 1'000'000;

std::string LowerHost(std::string_view aHost) {
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char aCharacter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aCharacter)));
  });
  return host;
}

} // namespace

RouteTable::RouteTable(RoutingConfiguration aConfiguration)
  : m_configuration(std::move(aConfiguration)) {
  for (const Route& route : m_configuration.m_routes) {
    m_routes[LowerHost(route.m_host)].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->m_pathPrefix.size() > aRight->m_pathPrefix.size();
    });
  }
  for (const ClientAccount& account : m_configuration.m_accounts) {
    for (const std::string& key : account.m_keys) {
      m_accounts[key] = &account;
    }
  }
  for (const Service& service : m_configuration.m_services) {
    m_services[service.m_name] = &service;
  }
}

const Route* RouteTable::FindRoute(std::string_view aHost, std::string_view aTarget) const {
  const auto routes = m_routes.find(LowerHost(aHost));
  if (routes == m_routes.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const auto found =
    std::find_if(routes->second.begin(), routes->second.end(),
                 [path](const Route* aRoute) { return path.starts_with(aRoute->m_pathPrefix); });
  return found == routes->second.end() ? nullptr : *found;
}

const ClientAccount* RouteTable::FindAccount(const std::string& aKey) const {
  const auto found = m_accounts.find(aKey);
  return found == m_accounts.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(const std::string& aName) const {
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : found->second;
}

const std::string& RouteTable::ChooseService(const Route& aRoute, std::uint64_t aNumber) {
  const double sum =
    std::accumulate(aRoute.m_services.begin(), aRoute.m_services.end(), 0.0,
                    [](double aSum, const ServiceShare& aShare) { return aSum + aShare.m_weight; });
  double place =
    sum * static_cast<double>(aNumber % kWeightSteps) / static_cast<double>(kWeightSteps);
  for (const ServiceShare& share : aRoute.m_services) {
    place -= share.m_weight;
    if (place < 0.0) {
      return share.m_service;
    }
  }
  return aRoute.m_services.back().m_service;
}

} // namespace fennelline
