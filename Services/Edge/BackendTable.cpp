#include "Services/Edge/BackendTable.h"

#include "Services/Edge/Hash.h"

#include <algorithm>

namespace fennelline {

namespace {

ConnectionPoolSettings PoolSettings(const ReplicaRecord& aRecord) {
  ConnectionPoolSettings settings;
  settings.m_address = aRecord.m_address;
  return settings;
}

/// An entry that starts gets the records of all servers within this time. What they say of being
/// cold is all that it knows then.
constexpr Duration kListingTime = Seconds(2);

} // namespace

std::uint64_t IdentityOf(const ReplicaRecord& aRecord) {
  return HashOf(aRecord.m_id + "@" + std::to_string(aRecord.m_startedAtMs));
}

BackendLink::BackendLink(EventLoop& aLoop, ReplicaRecord aRecord)
  : m_record(std::move(aRecord))
  , m_identity(IdentityOf(m_record))
  , m_pool(aLoop, PoolSettings(m_record)) {}

void BackendTable::Update(const ReplicaRecord& aRecord) {
  const std::shared_ptr<BackendLink> known = Find(aRecord.m_id);
  const bool isSame = known && known->m_record.m_startedAtMs == aRecord.m_startedAtMs &&
                      known->m_record.m_address == aRecord.m_address &&
                      known->m_record.m_service == aRecord.m_service;
  if (isSame) {
    const std::string zone = aRecord.m_zone.empty() ? known->m_record.m_zone : aRecord.m_zone;
    known->m_record = aRecord;
    // A record that is written without it must not take a server out of an evacuated data centre.
    known->m_record.m_zone = zone;
    known->m_expiresAt = kNever;
    known->m_cold.OnRecord(aRecord.m_warmUpLeft, m_loop.Now());
    return;
  }
  const bool isStart = IsAfterListing() || known;
  if (known) {
    Drop(known);
  }
  std::shared_ptr<BackendLink> link = std::make_shared<BackendLink>(m_loop, aRecord);
  link->m_saysLeaving = m_wishes.IsLeaving(link->m_identity);
  link->m_leftAloneUntil = m_wishes.LeftAloneUntil(link->m_identity);
  if (isStart) {
    link->m_cold.OnStarted(m_loop.Now());
  }
  link->m_cold.OnRecord(aRecord.m_warmUpLeft, m_loop.Now());
  m_links[aRecord.m_id] = link;
  m_identities[link->m_identity] = link;
  m_services[aRecord.m_service].push_back(std::move(link));
}

bool BackendTable::IsAfterListing() {
  const Time now = m_loop.Now();
  m_firstRecordAt = m_firstRecordAt.value_or(now);
  return now - *m_firstRecordAt > kListingTime;
}

void BackendTable::Drop(const std::shared_ptr<BackendLink>& aLink) {
  aLink->m_isRemoved = true;
  aLink->m_pool.CloseIdle();
  std::erase(m_services[aLink->m_record.m_service], aLink);
  m_links.erase(aLink->m_record.m_id);
  m_identities.erase(aLink->m_identity);
}

void BackendTable::Remove(const std::string& aId) {
  const std::shared_ptr<BackendLink> link = Find(aId);
  if (link) {
    Drop(link);
  }
}

void BackendTable::SetExpiry(const std::string& aId, Time aUntil) {
  const std::shared_ptr<BackendLink> link = Find(aId);
  if (link) {
    link->m_expiresAt = std::min(link->m_expiresAt, aUntil);
  }
}

bool BackendTable::MarkLeaving(std::uint64_t aIdentity) {
  if (const std::shared_ptr<BackendLink> link = FindIdentity(aIdentity)) {
    link->m_saysLeaving = true;
  }
  return m_wishes.OnLeaving(aIdentity, m_loop.Now());
}

void BackendTable::LeaveAlone(std::uint64_t aIdentity, Time aUntil) {
  m_wishes.OnWait(aIdentity, aUntil);
  if (const std::shared_ptr<BackendLink> link = FindIdentity(aIdentity)) {
    link->m_leftAloneUntil = m_wishes.LeftAloneUntil(aIdentity);
  }
}

std::shared_ptr<BackendLink> BackendTable::Find(const std::string& aId) const {
  const auto found = m_links.find(aId);
  return found == m_links.end() ? nullptr : found->second;
}

std::shared_ptr<BackendLink> BackendTable::FindIdentity(std::uint64_t aIdentity) const {
  const auto found = m_identities.find(aIdentity);
  return found == m_identities.end() ? nullptr : found->second.lock();
}

const std::vector<std::shared_ptr<BackendLink>>& BackendTable::OfService(
  const std::string& aService) const {
  static const std::vector<std::shared_ptr<BackendLink>> none;
  const auto found = m_services.find(aService);
  return found == m_services.end() ? none : found->second;
}

std::vector<std::shared_ptr<BackendLink>> BackendTable::All() const {
  std::vector<std::shared_ptr<BackendLink>> links;
  for (const auto& [id, link] : m_links) {
    links.push_back(link);
  }
  return links;
}

void BackendTable::Sweep() {
  m_wishes.Expire(m_loop.Now());
  std::vector<std::shared_ptr<BackendLink>> expired;
  for (const auto& [id, link] : m_links) {
    link->m_pool.Sweep();
    if (m_loop.Now() >= link->m_expiresAt) {
      expired.push_back(link);
    }
  }
  for (const std::shared_ptr<BackendLink>& link : expired) {
    Drop(link);
  }
}

std::size_t BackendTable::CountChannels() const {
  std::size_t count = 0;
  for (const auto& [id, link] : m_links) {
    count += link->m_pool.CountOpen();
  }
  return count;
}

std::size_t BackendTable::CountLeftAlone() const {
  const Time now = m_loop.Now();
  return static_cast<std::size_t>(
    std::count_if(m_links.begin(), m_links.end(),
                  [now](const std::pair<const std::string, std::shared_ptr<BackendLink>>& aLink) {
                    return now < aLink.second->m_leftAloneUntil;
                  }));
}

} // namespace fennelline
