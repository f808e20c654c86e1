#include "LibRouting/DepartedServers.h"

#include <utility>

namespace fennelline {

namespace {

/// A copy of the store is some seconds old, at most.
constexpr Duration kMemory = Seconds(60);

} // namespace

void DepartedServers::OnDeparted(const ReplicaRecord& aRecord, Time aNow) {
  std::erase_if(m_departures, [aNow](const std::pair<const std::string, Departure>& aItem) {
    return aNow - aItem.second.m_at > kMemory;
  });
  m_departures[aRecord.m_id] = {.m_startedAtMs = aRecord.m_startedAtMs, .m_at = aNow};
}

bool DepartedServers::HasLeft(const ReplicaRecord& aRecord) const {
  const auto found = m_departures.find(aRecord.m_id);
  return found != m_departures.end() && aRecord.m_startedAtMs <= found->second.m_startedAtMs;
}

} // namespace fennelline
