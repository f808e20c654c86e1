#pragma once

#include "LibHttp/ConnectionPool.h"
#include "LibRouting/ColdServers.h"
#include "LibRouting/PrefillLoad.h"
#include "LibRouting/RecentPrefixes.h"
#include "LibRouting/ReplicaHealth.h"
#include "LibRouting/ReplicaRecord.h"
#include "LibRouting/RequestLimit.h"
#include "LibRouting/RequestPermits.h"
#include "LibRouting/ServerContact.h"
#include "LibRouting/ServerWishes.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// A backend server with its connection pool and the state observed by this entry.
struct BackendLink {
  BackendLink(EventLoop& aLoop, ReplicaRecord aRecord);

  ReplicaRecord m_record;
  /// Hash of the server id and its start time, so that a restarted server has another identity.
  std::uint64_t m_identity = 0;
  /// The store entry was removed: the server gets no new requests.
  bool m_isRemoved = false;
  /// Set if the store entry expired while the store was unreachable. The server is dropped at this
  /// time unless it registers again.
  Time m_expiresAt = kNever;
  /// It has said in an answer, to this entry or another one, that it is leaving.
  bool m_saysLeaving = false;
  /// It has rejected a request of this entry and wants no more before.
  Time m_leftAloneUntil{};
  ReplicaHealth m_health;
  RecentPrefixes m_prefixes;
  ConnectionPool m_pool;
  /// Requests of this entry that run or are queued on the server.
  int m_runningRequests = 0;
  /// Those of them that ran on servers that crashed.
  int m_runningSuspects = 0;
  PrefillLoad m_prefillLoad;
  RequestLimit m_limit;
  /// Rejections per second with which it falls over; none if it does not say so.
  RequestLimit m_maxRejections;
  /// It has rejected a request of this entry, and gets none before.
  Time m_fullUntil{};
  /// When this entry last asked for a permit.
  Time m_limitCheckedAt{};
  /// By urgency: no permit is to be had from its issuer before.
  std::array<Time, kUrgencyLevels> m_nextPermit{};
  /// When a permit is likely for a caller that comes back.
  Time m_likelyPermit{};
  /// An unreadable limit of this server has been logged.
  bool m_loggedUnreadableLimit = false;
  ColdState m_cold;
  /// It gets so many requests that it would suffer if it were cold: permits are asked for before.
  Time m_crowdedUntil{};
  /// Its being cold until then has been logged, and that its header cannot be read.
  Time m_coldLoggedUntil{};
  bool m_loggedUnreadableCold = false;
  /// When an event, or a part of another answer, was last received from it, of any request.
  Time m_lastReceivedAt{};
  ServerContact m_contact;
  /// It is another entry, which passes requests on to backend servers, see PeerRelays.
  bool m_isEntry = false;
  /// The entry gets no requests before.
  Time m_notTakenUntil{};
  int m_notTakenInRow = 0;

  bool IsLeaving(Time aNow) const {
    return m_isRemoved || m_record.m_state != ReplicaState::Ready || aNow >= m_expiresAt ||
           m_saysLeaving;
  }
  bool TakesRequests(Time aNow) const { return !IsLeaving(aNow) && aNow >= m_leftAloneUntil; }
};

/// Identity of one start of a backend server.
std::uint64_t IdentityOf(const ReplicaRecord& aRecord);

/// The backend servers known to this entry.
class BackendTable {
public:
  explicit BackendTable(EventLoop& aLoop)
    : m_loop(aLoop) {}

  /// Adds or updates a server from its store entry. A server that restarted under the same id
  /// replaces the old one.
  void Update(const ReplicaRecord& aRecord);
  /// The store entry was removed or cannot be parsed: the server gets no new requests.
  void Remove(const std::string& aId);
  /// The store entry is missing after a store outage: the server is dropped at aUntil unless it
  /// registers again.
  void SetExpiry(const std::string& aId, Time aUntil);

  /// A server, given by its identity, has said that it is leaving. Returns whether it was not
  /// known.
  bool MarkLeaving(std::uint64_t aIdentity);
  /// The server, given by its identity and perhaps not known yet, gets no requests before aUntil.
  void LeaveAlone(std::uint64_t aIdentity, Time aUntil);

  std::shared_ptr<BackendLink> Find(const std::string& aId) const;
  std::shared_ptr<BackendLink> FindIdentity(std::uint64_t aIdentity) const;
  const std::vector<std::shared_ptr<BackendLink>>& OfService(const std::string& aService) const;
  std::vector<std::shared_ptr<BackendLink>> All() const;
  /// Closes idle connections and drops expired servers; called about once a second.
  void Sweep();
  std::size_t CountChannels() const;
  /// Servers whose answers, as far as this entry was told, said that they leave.
  std::size_t CountLeaving() const { return m_wishes.CountLeaving(); }
  std::size_t CountLeftAlone() const;

private:
  void Drop(const std::shared_ptr<BackendLink>& aLink);

  /// Whether a server whose record is new has just started, rather than being listed to an entry
  /// that has just started itself.
  bool IsAfterListing();

  EventLoop& m_loop;
  /// When the first record came.
  std::optional<Time> m_firstRecordAt;
  ServerWishes m_wishes;
  std::map<std::string, std::shared_ptr<BackendLink>> m_links;
  std::unordered_map<std::string, std::vector<std::shared_ptr<BackendLink>>> m_services;
  std::unordered_map<std::uint64_t, std::weak_ptr<BackendLink>> m_identities;
};

} // namespace fennelline
