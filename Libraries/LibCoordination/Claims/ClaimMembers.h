#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/MembershipMessages.h"

#include <cstddef>
#include <map>
#include <span>

namespace fennelline {

/// The entries as the claim table sees them.
class ClaimMembers {
public:
  ClaimMembers(const ClaimSettings& aSettings, EntryId aSelf, DataCentre aDataCentre);

  /// Takes the whole list of known members. An entry that is missing counts as gone after a while.
  void Update(std::span<const MemberDigest> aMembers, Time aNow);

  /// Dead, or in no list for a while. Remembers since when an unknown entry has been missing.
  bool IsGone(const EntryId& aEntry, Time aNow);
  bool IsLeaving(const EntryId& aEntry) const;
  bool IsAlive(const EntryId& aEntry) const;
  /// Empty where unknown.
  DataCentre DataCentreOf(const EntryId& aEntry) const;

  struct Member {
    MemberState m_state = MemberState::Alive;
    DataCentre m_dataCentre;
  };
  const std::map<EntryId, Member>& All() const { return m_members; }
  /// Data centres with at least one alive member.
  std::size_t AliveDataCentres() const { return m_aliveDataCentres; }
  /// Grows with each change of a state.
  std::uint64_t Version() const { return m_version; }

private:
  void CountDataCentres();

  const ClaimSettings& m_settings;
  EntryId m_self;
  DataCentre m_dataCentre;
  std::map<EntryId, Member> m_members;
  std::map<EntryId, Time> m_missingSince;
  std::size_t m_aliveDataCentres = 1;
  std::uint64_t m_version = 0;
};

} // namespace fennelline
