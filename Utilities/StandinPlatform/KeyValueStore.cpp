#include "Utilities/StandinPlatform/KeyValueStore.h"

namespace fennelline {

std::optional<StoredValue> KeyValueStore::Get(const std::string& aKey) const {
  const auto found = m_values.find(aKey);
  if (found == m_values.end() || found->second.m_removed) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<StoredValue> KeyValueStore::List(const std::string& aPrefix) const {
  std::vector<StoredValue> values;
  for (auto it = m_values.lower_bound(aPrefix);
       it != m_values.end() && it->first.starts_with(aPrefix); ++it) {
    if (!it->second.m_removed) {
      values.push_back(it->second);
    }
  }
  return values;
}

std::vector<StoredValue> KeyValueStore::ChangesAfter(const std::string& aPrefix,
                                                     std::uint64_t aAfter) const {
  std::vector<StoredValue> changes;
  for (auto it = m_values.lower_bound(aPrefix);
       it != m_values.end() && it->first.starts_with(aPrefix); ++it) {
    if (it->second.m_revision > aAfter) {
      changes.push_back(it->second);
    }
  }
  return changes;
}

std::optional<WriteOutcome> KeyValueStore::ConflictWith(const std::string& aKey,
                                                        std::uint64_t aExpected) const {
  const std::optional<StoredValue> current = Get(aKey);
  const std::uint64_t revision = current ? current->m_revision : 0;
  if (revision == aExpected) {
    return std::nullopt;
  }
  return WriteOutcome{WriteStatus::Conflict, m_revision, current};
}

WriteOutcome KeyValueStore::Put(const std::string& aKey, std::string aValue,
                                std::uint64_t aExpected, std::optional<std::uint64_t> aLease) {
  if (aValue.size() > kMaxValueBytes) {
    return {WriteStatus::TooLarge, m_revision, std::nullopt};
  }
  if (aLease && !m_leases.contains(*aLease)) {
    return {WriteStatus::UnknownLease, m_revision, std::nullopt};
  }
  if (std::optional<WriteOutcome> conflict = ConflictWith(aKey, aExpected)) {
    return *conflict;
  }
  ++m_revision;
  m_values[aKey] = {aKey, std::move(aValue), m_revision, false, aLease};
  return {WriteStatus::Done, m_revision, std::nullopt};
}

WriteOutcome KeyValueStore::Remove(const std::string& aKey, std::uint64_t aExpected) {
  if (std::optional<WriteOutcome> conflict = ConflictWith(aKey, aExpected)) {
    return *conflict;
  }
  const auto found = m_values.find(aKey);
  if (found != m_values.end() && !found->second.m_removed) {
    MarkRemoved(found->second);
  }
  return {WriteStatus::Done, m_revision, std::nullopt};
}

void KeyValueStore::MarkRemoved(StoredValue& aValue) {
  ++m_revision;
  aValue.m_value.clear();
  aValue.m_lease.reset();
  aValue.m_removed = true;
  aValue.m_revision = m_revision;
}

std::uint64_t KeyValueStore::Grant(Duration aTimeToLive, Time aNow) {
  ++m_lastLease;
  m_leases[m_lastLease] = {aTimeToLive, aNow + aTimeToLive};
  return m_lastLease;
}

bool KeyValueStore::Renew(std::uint64_t aLease, Time aNow) {
  Expire(aNow);
  const auto found = m_leases.find(aLease);
  if (found == m_leases.end()) {
    return false;
  }
  found->second.m_end = aNow + found->second.m_timeToLive;
  return true;
}

bool KeyValueStore::End(std::uint64_t aLease) {
  if (m_leases.erase(aLease) == 0) {
    return false;
  }
  for (auto& entry : m_values) {
    if (entry.second.m_lease == aLease) {
      MarkRemoved(entry.second);
    }
  }
  return true;
}

bool KeyValueStore::Expire(Time aNow) {
  const std::uint64_t before = m_revision;
  std::vector<std::uint64_t> ended;
  for (const auto& entry : m_leases) {
    if (entry.second.m_end <= aNow) {
      ended.push_back(entry.first);
    }
  }
  for (const std::uint64_t lease : ended) {
    End(lease);
  }
  return m_revision != before;
}

} // namespace fennelline
