#pragma once

#include "Services/Edge/EdgeContext.h"

#include <cstddef>
#include <map>
#include <string>

namespace fennelline {

/// Knows whether this entry has a path to the servers of each service, from its own connections. A
/// lost path is probed until a server is reached again; otherwise nothing is sent for it.
class ServerPaths {
public:
  explicit ServerPaths(EdgeContext& aContext)
    : m_context(aContext) {}

  /// The server accepted a connection, or answered.
  void OnReached(BackendLink& aBackend);
  /// It could not be connected to.
  void OnUnreachable(BackendLink& aBackend);
  bool IsLost(const std::string& aService) const { return m_lost.contains(aService); }
  /// Whether any server of the service has been reached after the given time.
  bool WasReachedSince(const std::string& aService, Time aWhen) const;
  std::size_t CountLost() const { return m_lost.size(); }

private:
  struct LostPath {
    Time m_since{};
    std::size_t m_probes = 0;
  };

  void SetLost(const std::string& aService, bool aIsLost);
  void Probe(const std::string& aService);

  EdgeContext& m_context;
  std::map<std::string, LostPath> m_lost;
};

} // namespace fennelline
