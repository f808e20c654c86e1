#include "LibCoordination/Usage/CopyStore.h"

namespace fennelline {

CopyStore::CopyStore(const UsageSettings& aSettings, UsagePeers& aPeers)
  : m_settings(aSettings)
  , m_peers(aPeers) {}

void CopyStore::Take(const EntryId& aFrom, const UsageCopy& aCopy, Effects& aEffects, Time aNow) {
  UsageCopyAck ack{.m_origin = aFrom};
  for (const UsageRecord& record : aCopy.m_records) {
    if (record.m_origin != aFrom || m_size >= m_settings.m_maxRecords) {
      continue;
    }
    Origin& origin =
      m_origins
        .try_emplace(aFrom, Origin{.m_records = {},
                                   .m_writer = LedgerWriter(aFrom, m_settings.m_callTimeout),
                                   .m_oldestAt = aNow})
        .first->second;
    m_size += origin.m_records.insert_or_assign(record.m_sequence, record).second ? 1 : 0;
    ack.m_sequences.push_back(record.m_sequence);
  }
  if (!ack.m_sequences.empty()) {
    aEffects.push_back(SendMessage{.m_to = aFrom, .m_message = std::move(ack)});
  }
}

void CopyStore::OnSettled(const UsageSettled& aSettled) {
  const auto origin = m_origins.find(aSettled.m_origin);
  if (origin == m_origins.end()) {
    return;
  }
  PendingRecords& records = origin->second.m_records;
  records.erase(records.begin(), records.upper_bound(aSettled.m_upTo));
  if (records.empty()) {
    m_origins.erase(origin);
  }
  UpdateSize();
}

bool CopyStore::OnReply(const PlatformReply& aReply, Time aNow) {
  for (std::pair<const EntryId, Origin>& origin : m_origins) {
    if (origin.second.m_writer.OnReply(aReply, origin.second.m_records, aNow)) {
      UpdateSize();
      return true;
    }
  }
  return false;
}

void CopyStore::Tick(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow) {
  for (auto at = m_origins.begin(); at != m_origins.end();) {
    Origin& origin = at->second;
    if (m_peers.GoneFor(at->first, aNow) < m_settings.m_deadDelay) {
      ++at;
      continue;
    }
    if (origin.m_records.empty() || origin.m_writer.IsClosed()) {
      at = m_origins.erase(at);
      UpdateSize();
      continue;
    }
    const bool mayCreate = aNow - origin.m_oldestAt < m_settings.m_compactAfter / 2;
    origin.m_writer.Advance(origin.m_records, mayCreate, aEffects, aCallNumber, aNow);
    ++at;
  }
}

void CopyStore::UpdateSize() {
  m_size = 0;
  for (const std::pair<const EntryId, Origin>& origin : m_origins) {
    m_size += origin.second.m_records.size();
  }
}

} // namespace fennelline
