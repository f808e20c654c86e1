#pragma once

#include "LibBase/Time.h"
#include "LibRouting/ReplicaRecord.h"

#include <cstdint>
#include <map>
#include <string>

namespace fennelline {

/// The backend servers that have left lately. A copy of the store may still list them.
class DepartedServers {
public:
  void OnDeparted(const ReplicaRecord& aRecord, Time aNow);
  /// Whether the server has left since the start that the record tells of.
  bool HasLeft(const ReplicaRecord& aRecord) const;

private:
  struct Departure {
    std::int64_t m_startedAtMs = 0;
    Time m_at{};
  };
  std::map<std::string, Departure> m_departures;
};

} // namespace fennelline
