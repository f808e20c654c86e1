#pragma once

#include "LibHttp/ClientPool.h"
#include "LibRouting/PrefixMemory.h"
#include "LibRouting/ReadingLoad.h"
#include "LibRouting/ReplicaHealth.h"
#include "LibRouting/ReplicaRecord.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// One backend server with the channels to it and what was seen of it.
struct BackendLink {
  BackendLink(EventLoop& aLoop, ReplicaRecord aRecord);

  ReplicaRecord m_record;
  /// Hash of its id and start.
  std::uint64_t m_identity = 0;
  /// Its entry was removed: it gets nothing new.
  bool m_isRemoved = false;
  /// Its entry ran out while the store could not be reached; it is gone if none has come by then.
  Time m_expiresAt = kNever;
  ReplicaHealth m_health;
  PrefixMemory m_prefixes;
  ClientPool m_pool;
  /// Requests of this entry that run or wait there.
  int m_running = 0;
  ReadingLoad m_reading;
  /// When any answer's bytes last came from it.
  Time m_lastReceivedAt{};

  bool TakesRequests(Time aNow) const {
    return !m_isRemoved && m_record.m_state == ReplicaState::Ready && aNow < m_expiresAt;
  }
};

/// The backend servers known to this entry.
class BackendTable {
public:
  explicit BackendTable(EventLoop& aLoop)
    : m_loop(aLoop) {}

  /// Takes a server's entry. A server that has started anew under its id is another one.
  void Update(const ReplicaRecord& aRecord);
  /// The entry was removed, or cannot be read: the server gets nothing new.
  void Remove(const std::string& aId);
  /// The entry is missing after an outage of the store: the server has until aUntil to come back.
  void SetExpiry(const std::string& aId, Time aUntil);

  std::shared_ptr<BackendLink> Find(const std::string& aId) const;
  std::shared_ptr<BackendLink> FindIdentity(std::uint64_t aIdentity) const;
  const std::vector<std::shared_ptr<BackendLink>>& OfService(const std::string& aService) const;
  std::vector<std::shared_ptr<BackendLink>> All() const;
  /// Closes channels that are not used any more; called about once a second.
  void Sweep();
  std::size_t CountChannels() const;

private:
  void Drop(const std::shared_ptr<BackendLink>& aLink);

  EventLoop& m_loop;
  std::map<std::string, std::shared_ptr<BackendLink>> m_links;
  std::unordered_map<std::string, std::vector<std::shared_ptr<BackendLink>>> m_services;
  std::unordered_map<std::uint64_t, std::weak_ptr<BackendLink>> m_identities;
};

} // namespace fennelline
