#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// The data centres that the operator has taken out of service, as this entry knows from the store.
/// An order never replaces one of a later revision of the same era of the store.
class EvacuatedZones {
public:
  /// The store has an order to evacuate the zone. Returns whether the zone was in service.
  bool Set(const std::string& aZone, Revision aRevision, Time aNow);
  /// The store has the order no longer. Returns whether the zone was evacuated.
  bool Clear(const std::string& aZone, Revision aRevision, Time aNow);
  /// The store came back from a copy and gives out revisions again. What is known stays in force.
  void BeginEra();

  bool IsEvacuated(const std::string& aZone) const;
  /// When the zone last came back into service; none while it is evacuated, and if it has never
  /// been as far as this entry knows.
  std::optional<Time> ReturnedAt(const std::string& aZone) const;
  /// Evacuated zones, sorted.
  std::vector<std::string> Names() const;
  std::size_t Count() const { return m_evacuated; }

private:
  struct State {
    bool m_isEvacuated = false;
    Revision m_revision = 0;
    /// When it was last taken out of service or brought back.
    Time m_changedAt{};
  };
  bool Apply(const std::string& aZone, bool aIsEvacuated, Revision aRevision, Time aNow);

  std::map<std::string, State> m_zones;
  std::size_t m_evacuated = 0;
};

} // namespace fennelline
