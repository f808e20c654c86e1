#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Membership/LeavingTable.h"
#include "LibCoordination/MembershipMessages.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

constexpr NameTable<MemberState, 4> kMemberStateNames = {{
  {MemberState::Alive, "alive"},
  {MemberState::Suspect, "suspect"},
  {MemberState::Leaving, "leaving"},
  {MemberState::Dead, "dead"},
}};

/// How entries detect and track each other.
struct MembershipSettings {
  Duration m_probeInterval = Seconds(1);
  /// A direct probe without an acknowledgement for this long is followed by indirect probes.
  Duration m_directTimeout = Milliseconds(400);
  /// Total time for a probe, direct and indirect.
  Duration m_probeTimeout = Milliseconds(900);
  std::size_t m_indirectProbes = 3;
  /// A suspect that does not refute the suspicion for this long is declared dead.
  Duration m_suspicionTime = Seconds(5);
  /// A dead member is remembered for this long, so that stale updates do not bring it back.
  Duration m_deadRetention = Seconds(300);
  /// A process that was not called for this long was paused: it does not count that time against
  /// any member.
  Duration m_pauseLimit = Milliseconds(700);
  /// With this many unanswered probes in a row, this entry considers itself isolated.
  std::size_t m_unansweredProbes = 3;
  /// Number of recent probes considered; more than half unanswered also mean isolation.
  std::size_t m_probeWindow = 10;
  /// Interval at which a page of the member table is synchronized with a peer.
  Duration m_syncInterval = Seconds(2);
  /// Replaces m_syncInterval while this entry is joining.
  Duration m_joinInterval = Milliseconds(50);
  /// Interval at which addresses of the VM list and of dead members are tried.
  Duration m_seedInterval = Seconds(2);
  /// Delay before a member that is only known from others is pinged, and between such pings.
  Duration m_verifyInterval = Milliseconds(500);
  int m_verifyTries = 4;
  /// Minimum time between two such pings to different members.
  Duration m_verifySpacing = Milliseconds(20);
  /// Maximum datagram size, without IP and UDP headers.
  std::size_t m_datagramBytes = 1200;
  /// Urgent updates are sent to this many members at once, in this many rounds.
  std::size_t m_urgentFanOut = 5;
  int m_urgentRounds = 4;
  Duration m_urgentInterval = Milliseconds(400);
  /// Byte budget for urgent datagrams; what exceeds it is piggybacked on probes.
  std::size_t m_urgentBytesPerSecond = 4000;
  std::size_t m_urgentBurstBytes = 24000;
  LeavingSettings m_leaving;
};

/// A member appeared, disappeared, or changed its state or addresses. Dead is the final state of an
/// entry.
struct MemberChanged {
  MemberDigest m_member;
};

/// A backend server is leaving (or back, if m_leaving is false). Reported once for each change.
struct BackendServerLeaving {
  BackendServerId m_backendServer;
  bool m_leaving = true;
};

using MembershipOutcome = std::variant<MemberChanged, BackendServerLeaving>;

/// Tracks the entries by SWIM (probes, indirect probes, and suspicion with refutation) and gossips
/// which backend servers are leaving.
///
/// The caller
///  - calls Tick() at least every 100 ms (cheap when nothing is due) and OnDatagram() for each
///    datagram;
///  - passes in the datagram addresses of entries ("IP:PORT") whenever it has read the VM list;
///  - uses Members() to find peers, and checks IsLeaving() before it sends work.
///
/// The VM list only provides addresses to try. An entry becomes a member once it has answered this
/// entry itself, so stale updates do not bring dead members back. An entry that most others do not
/// answer considers itself isolated and suspects nobody; one that was paused does not count the
/// pause against any member.
class Membership {
public:
  /// The entry ID and addresses in aSelf are sent to all members; its version and state are
  /// maintained here.
  Membership(MembershipSettings aSettings, MemberDigest aSelf, std::uint64_t aSeed);

  Step<MembershipOutcome> OnDatagram(const MembershipDatagram& aDatagram, Time aNow);
  Step<MembershipOutcome> OnVmList(std::vector<std::string> aAddresses, Time aNow);
  Step<MembershipOutcome> Tick(Time aNow);
  /// Announces to all members that this entry is leaving. It keeps answering until the process
  /// ends.
  Step<MembershipOutcome> Leave(Time aNow);

  /// Sets the address for callers, or empty while this entry accepts none, and announces it to all
  /// members.
  Step<MembershipOutcome> SetCallerAddress(const std::string& aAddress, Time aNow);

  /// Announces to all members that a backend server is leaving.
  Step<MembershipOutcome> MarkLeaving(const BackendServerId& aServer, Time aNow);
  /// The backend server itself reports that it accepts work. Ignored unless the mark is older than
  /// LeavingSettings::m_hold, because load reports lag.
  Step<MembershipOutcome> ClearLeaving(const BackendServerId& aServer, Time aNow);
  bool IsLeaving(const BackendServerId& aServer) const { return m_leaving.IsLeaving(aServer); }
  std::vector<BackendServerId> LeavingServers() const { return m_leaving.Servers(); }

  /// All members that are not dead, including this entry, sorted by entry ID.
  std::vector<MemberDigest> Members() const;
  const MemberDigest& Self() const { return m_self; }
  /// Whether this entry gets no answers although other members are known.
  bool IsIsolated() const;
  /// Sets the revision that each datagram carries.
  void SetConfigurationRevision(Revision aRevision) { m_configurationRevision = aRevision; }

private:
  using Outcomes = Step<MembershipOutcome>;

  struct Member {
    MemberDigest m_digest;
    Time m_since{};
    /// When a suspect is declared dead, or a dead member is forgotten.
    Time m_expiresAt = kNever;
  };
  /// Known from others only; it has not answered this entry yet.
  struct Candidate {
    MemberDigest m_digest;
    std::uint64_t m_number = 0;
    Time m_nextTry{};
    int m_triesLeft = 0;
    /// It contacted this entry itself, so it may be new to others too.
    bool m_introduced = false;
  };
  struct Probe {
    std::uint64_t m_number = 0;
    EntryId m_target;
    Time m_sentAt{};
    bool m_indirect = false;
  };
  /// An indirect probe on behalf of another member.
  struct Relay {
    std::uint64_t m_number = 0;
    MembershipDatagram m_request;
    Time m_sentAt{};
  };
  struct ProbeResult {
    EntryId m_target;
    bool m_answered = false;
  };

  // Membership.cpp: the member table and merging of updates.
  void Advance(Time aNow);
  void MergeUpdates(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void MergeDigest(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void MergeDeath(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  void Refute(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void AddCandidate(const MemberDigest& aDigest, bool aFromItself, Time aNow);
  void MergeLeaving(Outcomes& aStep, const LeavingDigest& aDigest, Time aNow);
  void AddMember(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void Set(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  /// Sets the digest and announces it to all members.
  void Change(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  void ReportLeaving(Outcomes& aStep, const BackendServerId& aServer);
  std::size_t OtherCount() const;

  // MembershipProbes.cpp: failure detection.
  void OnPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnProbeAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnRelayAck(Outcomes& aStep, const MembershipDatagram& aDatagram);
  void OnIndirectPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnIndirectAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void ProbeIfDue(Outcomes& aStep, Time aNow);
  void StartProbe(Outcomes& aStep, Time aNow);
  void ProbeIndirectly(Outcomes& aStep, Time aNow);
  void EndProbe(Outcomes& aStep, bool aAnswered, Time aNow);
  void Suspect(Outcomes& aStep, Member& aMember, Time aNow);
  void CheckExpiry(Outcomes& aStep, Time aNow);
  void VerifyCandidates(Outcomes& aStep, Time aNow);
  EntryId NextTarget();

  // MembershipGossip.cpp: dissemination and joining.
  void OnJoin(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnPage(const MembershipDatagram& aDatagram);
  void SendUrgent(Outcomes& aStep, Time aNow);
  void SyncIfDue(Outcomes& aStep, Time aNow);
  void TrySeeds(Outcomes& aStep, Time aNow);
  void SendJoin(Outcomes& aStep, const std::string& aAddress, const EntryId& aTo, Time aNow);
  std::vector<std::string> AddressesToTry() const;
  void SpreadIntroduction(const EntryId& aEntry);
  void SpreadMember(const EntryId& aEntry, Time aNow);
  void SpreadLeaving(const BackendServerId& aServer, Time aNow);
  void ScheduleUrgent(Time aNow);
  int TransmissionsPerUpdate() const;
  MembershipDatagram MakeDatagram(DatagramKind aKind, std::uint64_t aNumber) const;
  /// If this entry holds the receiver for suspect or dead, adds that digest first, so that the
  /// receiver can refute it; then adds pending updates as far as they fit.
  void AddUpdates(MembershipDatagram& aDatagram, const EntryId& aReceiver, Time aNow);
  void AddLeavingUpdates(MembershipDatagram& aDatagram, std::size_t& aRoom, Time aNow);
  void AddMemberUpdates(MembershipDatagram& aDatagram, std::size_t& aRoom);
  const MemberDigest* FindDigest(const EntryId& aEntry) const;
  std::vector<const Member*> RandomMembers(std::size_t aCount, const EntryId& aExcept);

  MembershipSettings m_settings;
  MemberDigest m_self;
  Random m_random;
  Revision m_configurationRevision = 0;

  std::map<EntryId, Member> m_members;
  std::map<EntryId, Candidate> m_candidates;
  LeavingTable m_leaving;
  /// Remaining transmissions of each pending update.
  std::map<EntryId, int> m_memberUpdates;
  std::map<BackendServerId, int> m_leavingUpdates;
  std::vector<std::string> m_seeds;

  std::optional<Time> m_lastCalledAt;
  std::uint64_t m_lastNumber = 0;
  std::optional<Probe> m_probe;
  std::vector<Relay> m_relays;
  std::vector<EntryId> m_probeOrder;
  /// The latest result for each of the last probed members, oldest first.
  std::deque<ProbeResult> m_probeResults;
  Time m_nextProbe{};
  Time m_nextCheck{};
  Time m_nextVerify{};
  Time m_nextSync{};
  Time m_nextSeed{};
  Time m_nextUrgent = kNever;
  int m_urgentRoundsLeft = 0;
  double m_urgentBytes = 0.0;
  Time m_urgentBytesAsOf{};
  /// The numbers of the last page requests, and the key after which the next page starts.
  std::deque<std::uint64_t> m_pageNumbers;
  EntryId m_pageAfter;
  bool m_joining = true;
};

} // namespace fennelline
