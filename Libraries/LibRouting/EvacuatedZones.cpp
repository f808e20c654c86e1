#include "LibRouting/EvacuatedZones.h"

namespace fennelline {

bool EvacuatedZones::Set(const std::string& aZone, Revision aRevision, Time aNow) {
  return Apply(aZone, true, aRevision, aNow);
}

bool EvacuatedZones::Clear(const std::string& aZone, Revision aRevision, Time aNow) {
  return Apply(aZone, false, aRevision, aNow);
}

bool EvacuatedZones::Apply(const std::string& aZone, bool aIsEvacuated, Revision aRevision,
                           Time aNow) {
  const auto [found, isNew] = m_zones.try_emplace(aZone);
  State& zone = found->second;
  if (aRevision < zone.m_revision) {
    return false;
  }
  zone.m_revision = aRevision;
  const bool hasChanged = zone.m_isEvacuated != aIsEvacuated;
  if (hasChanged || isNew) {
    // If only the removal became known, the zone was evacuated meanwhile.
    zone.m_changedAt = aNow;
  }
  if (hasChanged) {
    zone.m_isEvacuated = aIsEvacuated;
    m_evacuated = aIsEvacuated ? m_evacuated + 1 : m_evacuated - 1;
  }
  return hasChanged;
}

void EvacuatedZones::BeginEra() {
  for (auto& [name, zone] : m_zones) {
    zone.m_revision = 0;
  }
}

bool EvacuatedZones::IsEvacuated(const std::string& aZone) const {
  if (m_evacuated == 0) {
    return false;
  }
  const auto found = m_zones.find(aZone);
  return found != m_zones.end() && found->second.m_isEvacuated;
}

std::optional<Time> EvacuatedZones::ReturnedAt(const std::string& aZone) const {
  const auto found = m_zones.find(aZone);
  return found == m_zones.end() || found->second.m_isEvacuated
           ? std::nullopt
           : std::optional<Time>(found->second.m_changedAt);
}

std::vector<std::string> EvacuatedZones::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, zone] : m_zones) {
    if (zone.m_isEvacuated) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace fennelline
