#pragma once

#include "LibCoordination/Identity.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// The gossiped state of one member. For the same member the higher m_version wins; at equal
/// versions the later state in the order of the enumeration wins.
struct MemberDigest {
  EntryId m_entry;
  std::uint64_t m_version = 0;
  MemberState m_state = MemberState::Alive;
  DataCentre m_dataCentre;
  /// The addresses, "IP:PORT", for datagrams, for streams between entries, for callers and for
  /// operators.
  std::string m_datagramAddress;
  std::string m_streamAddress;
  std::string m_callerAddress;
  std::string m_adminAddress;

  friend bool operator==(const MemberDigest&, const MemberDigest&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_entry, m_version, m_state, m_dataCentre, m_datagramAddress, m_streamAddress,
             m_callerAddress, m_adminAddress);
  }
};

/// A backend server that is leaving, or that is back. The higher m_version wins; at equal versions
/// leaving wins.
struct LeavingDigest {
  BackendServerId m_backendServer;
  std::uint64_t m_version = 0;
  bool m_leaving = true;
  /// Milliseconds since the change was first observed. Entries forget it at a maximum age.
  std::int64_t m_ageMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_backendServer, m_version, m_leaving, m_ageMilliseconds);
  }
};

enum class DatagramKind : std::uint8_t { Ping, Ack, IndirectPing, IndirectAck, Join };

/// The only datagram format between entries: a probe or its acknowledgement, with piggybacked
/// updates.
struct MembershipDatagram {
  DatagramKind m_kind = DatagramKind::Ping;
  std::uint64_t m_number = 0;
  EntryId m_from;
  std::string m_fromAddress;
  /// The member to probe indirectly.
  EntryId m_target;
  std::string m_targetAddress;
  std::vector<MemberDigest> m_members;
  std::vector<LeavingDigest> m_leaving;
  Revision m_configurationRevision = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_kind, m_number, m_from, m_fromAddress, m_target, m_targetAddress, m_members,
             m_leaving, m_configurationRevision);
  }
};

} // namespace fennelline
