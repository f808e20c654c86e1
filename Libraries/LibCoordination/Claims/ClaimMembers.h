#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/MembershipMessages.h"

#include <cstddef>
#include <map>
#include <span>

namespace fennelline {

/// The member entries and their states, as used by the claim table.
class ClaimMembers {
public:
  ClaimMembers(const ClaimSettings& aSettings, EntryId aSelf, DataCentre aDataCentre);

  /// Replaces the list of known members. An entry that is no longer listed counts as gone after
  /// ClaimSettings::m_absentDelay.
  void Update(std::span<const MemberDigest> aMembers, Time aNow);

  /// Whether the entry is dead or has been unlisted for ClaimSettings::m_absentDelay. For an entry
  /// that was never listed, the delay starts with the first call.
  bool IsGone(const EntryId& aEntry, Time aNow);
  bool IsLeaving(const EntryId& aEntry) const;
  bool IsAlive(const EntryId& aEntry) const;
  /// Returns an empty value if unknown.
  DataCentre DataCentreOf(const EntryId& aEntry) const;

  struct Member {
    MemberState m_state = MemberState::Alive;
    DataCentre m_dataCentre;
  };
  const std::map<EntryId, Member>& All() const { return m_members; }
  /// The number of data centres with at least one live member.
  std::size_t AliveDataCentres() const { return m_aliveDataCentres; }
  /// Incremented by each Update().
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
