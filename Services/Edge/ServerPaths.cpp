#include "Services/Edge/ServerPaths.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace fennelline {

namespace {

/// Interval between probes of a lost path, each of the next server in turn.
constexpr Duration kProbeInterval = Milliseconds(200);

} // namespace

void ServerPaths::OnReached(BackendLink& aBackend) {
  aBackend.m_contact.m_reachedAt = m_context.m_loop.Now();
  // A server of an evacuated data centre may still end streams while no other one is reached.
  if (IsLost(aBackend.m_record.m_service) && !m_context.IsEvacuated(aBackend)) {
    SetLost(aBackend.m_record.m_service, false);
  }
}

void ServerPaths::OnUnreachable(BackendLink& aBackend) {
  const Time now = m_context.m_loop.Now();
  const std::string& service = aBackend.m_record.m_service;
  aBackend.m_contact.m_failedAt = now;
  std::vector<ServerContact> contacts;
  for (const std::shared_ptr<BackendLink>& server : m_context.m_backends.OfService(service)) {
    if (!server->IsLeaving(now) && !m_context.IsEvacuated(*server)) {
      contacts.push_back(server->m_contact);
    }
  }
  if (!IsLost(service) && IsPathLost(contacts, now)) {
    SetLost(service, true);
  }
}

bool ServerPaths::WasReachedSince(const std::string& aService, Time aWhen) const {
  const std::vector<std::shared_ptr<BackendLink>>& servers =
    m_context.m_backends.OfService(aService);
  return std::any_of(servers.begin(), servers.end(),
                     [aWhen](const std::shared_ptr<BackendLink>& aServer) {
                       return aServer->m_contact.m_reachedAt > aWhen;
                     });
}

void ServerPaths::SetLost(const std::string& aService, bool aIsLost) {
  const Time now = m_context.m_loop.Now();
  LogLine line(aIsLost ? "path-lost" : "path-regained");
  line.Text("service", aService);
  line.Count("servers", m_context.m_backends.OfService(aService).size());
  if (aIsLost) {
    m_lost.emplace(aService, LostPath{.m_since = now});
    m_context.m_loop.After(kProbeInterval, [this, aService] { Probe(aService); });
  } else {
    line.Ms("lost-for", now - m_lost[aService].m_since);
    line.Count("probes", m_lost[aService].m_probes);
    m_lost.erase(aService);
  }
  m_context.Log(LogPriority::Notable, line);
}

void ServerPaths::Probe(const std::string& aService) {
  const auto lost = m_lost.find(aService);
  if (lost == m_lost.end()) {
    return;
  }
  std::vector<std::shared_ptr<BackendLink>> servers = m_context.m_backends.OfService(aService);
  std::erase_if(servers, [this](const std::shared_ptr<BackendLink>& aServer) {
    return m_context.IsEvacuated(*aServer);
  });
  if (servers.empty()) {
    SetLost(aService, false);
    return;
  }
  const std::shared_ptr<BackendLink> server = servers[lost->second.m_probes++ % servers.size()];
  server->m_pool.CheckReachability([this, server](Reachability aResult) {
    if (aResult == Reachability::Accepts) {
      OnReached(*server);
    } else {
      server->m_contact.m_failedAt = m_context.m_loop.Now();
    }
  });
  m_context.m_loop.After(kProbeInterval, [this, aService] { Probe(aService); });
}

} // namespace fennelline
