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

/// How entries keep track of each other.
struct MembershipSettings {
  Duration m_probeInterval = Seconds(1);
  /// A probe without an answer for this long is repeated through others.
  Duration m_directTimeout = Milliseconds(400);
  /// The whole time for a probe, direct and through others.
  Duration m_probeTimeout = Milliseconds(900);
  std::size_t m_indirectProbes = 3;
  /// A suspect that does not speak up for this long is dead.
  Duration m_suspicionTime = Seconds(5);
  /// A dead member is remembered for this long, so that old news does not bring it back.
  Duration m_deadMemory = Seconds(300);
  /// A process that was not called for this long was paused: it judges nobody by that time.
  Duration m_pauseLimit = Milliseconds(700);
  /// So many probes in a row without an answer mean that this entry is the one cut off.
  std::size_t m_silentProbes = 3;
  /// The last probes looked at; more than half without an answer mean the same.
  std::size_t m_probeWindow = 10;
  /// A page of the member table is compared with a peer's this often.
  Duration m_syncInterval = Seconds(2);
  /// The same while joining.
  Duration m_joinInterval = Milliseconds(50);
  /// Addresses of the VM list and of dead members are tried this often.
  Duration m_seedInterval = Seconds(2);
  /// The wait before a member known from others only is asked itself, and between questions.
  Duration m_verifyInterval = Milliseconds(500);
  int m_verifyTries = 4;
  /// The least time between two such questions to different members.
  Duration m_verifySpacing = Milliseconds(20);
  /// The longest datagram, without IP and UDP headers.
  std::size_t m_datagramBytes = 1200;
  /// Urgent news goes to this many members at once, this many times.
  std::size_t m_urgentFanOut = 5;
  int m_urgentRounds = 4;
  Duration m_urgentInterval = Milliseconds(400);
  /// Urgent datagrams are sent within this budget; the rest waits for probes.
  std::size_t m_urgentBytesPerSecond = 4000;
  std::size_t m_urgentBurstBytes = 24000;
  LeavingSettings m_leaving;
};

/// A member came, went, or changed its state or addresses. m_state Dead is the last for an entry.
struct MemberChanged {
  MemberDigest m_member;
};

/// A backend server is leaving (or back, where m_leaving is false). Told once for each change.
struct BackendServerLeaving {
  BackendServerId m_backendServer;
  bool m_leaving = true;
};

using MembershipOutcome = std::variant<MemberChanged, BackendServerLeaving>;

/// Keeps track of the entries by probes, indirect probes and suspicion with refutation (SWIM), and
/// spreads the news of backend servers that are leaving.
///
/// The caller
///  - calls Tick() at least each 100 ms (cheap when nothing is due) and OnDatagram() for each
///    datagram;
///  - passes the addresses of entries ("IP:PORT" for datagrams) whenever it has read the VM list;
///  - uses Members() for those to talk to, and IsLeaving() before it sends work.
///
/// The VM list only names addresses to try. A member counts from the moment it has answered this
/// entry itself, so that old news brings nobody back. An entry that most others do not answer takes
/// itself to be cut off, and suspects nobody; one that was paused judges nobody by the pause.
class Membership {
public:
  /// aSelf's m_entry and addresses are sent to all; its version and state are kept here.
  Membership(MembershipSettings aSettings, MemberDigest aSelf, std::uint64_t aSeed);

  Step<MembershipOutcome> OnDatagram(const MembershipDatagram& aDatagram, Time aNow);
  Step<MembershipOutcome> OnVmList(std::vector<std::string> aAddresses, Time aNow);
  Step<MembershipOutcome> Tick(Time aNow);
  /// Tells all members that this entry is leaving. It keeps answering until the process ends.
  Step<MembershipOutcome> Leave(Time aNow);

  /// Where callers reach this entry; empty while it takes none. All members are told.
  Step<MembershipOutcome> SetCallerAddress(const std::string& aAddress, Time aNow);

  /// Some entry learned that a backend server is leaving: all will know.
  Step<MembershipOutcome> MarkLeaving(const BackendServerId& aServer, Time aNow);
  /// The backend server itself says that it takes work. Honoured only when the mark is older than
  /// LeavingSettings::m_hold, because load reports lag.
  Step<MembershipOutcome> ClearLeaving(const BackendServerId& aServer, Time aNow);
  bool IsLeaving(const BackendServerId& aServer) const { return m_leaving.IsLeaving(aServer); }
  std::vector<BackendServerId> LeavingServers() const { return m_leaving.Servers(); }

  /// All members but the dead, this entry included, sorted by name.
  std::vector<MemberDigest> Members() const;
  const MemberDigest& Self() const { return m_self; }
  /// This entry hears nobody, though there are others.
  bool IsIsolated() const;
  /// Sent along with each datagram.
  void SetConfigurationRevision(Revision aRevision) { m_configurationRevision = aRevision; }

private:
  using Outcomes = Step<MembershipOutcome>;

  struct Member {
    MemberDigest m_digest;
    Time m_since{};
    /// When a suspect is dead, or a dead member is forgotten.
    Time m_ends = kNever;
  };
  /// Known from others only; it has not answered this entry yet.
  struct Candidate {
    MemberDigest m_digest;
    std::uint64_t m_number = 0;
    Time m_nextTry{};
    int m_triesLeft = 0;
    /// It spoke to this entry itself, so it may be new to others too.
    bool m_introduced = false;
  };
  struct Probe {
    std::uint64_t m_number = 0;
    EntryId m_target;
    Time m_sent{};
    bool m_throughOthers = false;
  };
  /// A probe made for another member.
  struct Relay {
    std::uint64_t m_number = 0;
    MembershipDatagram m_request;
    Time m_sent{};
  };
  struct ProbeResult {
    EntryId m_target;
    bool m_answered = false;
  };

  // Membership.cpp: what is known, and what others tell.
  void Advance(Time aNow);
  void TakeNews(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void TakeDigest(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void TakeDeath(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  void Refute(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void TakeCandidate(const MemberDigest& aDigest, bool aFromItself, Time aNow);
  void TakeLeaving(Outcomes& aStep, const LeavingDigest& aDigest, Time aNow);
  void Admit(Outcomes& aStep, const MemberDigest& aDigest, Time aNow);
  void Set(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  /// Sets the digest and tells all others at once.
  void Change(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow);
  void TellLeaving(Outcomes& aStep, const BackendServerId& aServer);
  std::size_t OtherCount() const;

  // MembershipProbes.cpp: finding out who answers.
  void OnPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnProbeAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnRelayAck(Outcomes& aStep, const MembershipDatagram& aDatagram);
  void OnIndirectPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void OnIndirectAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow);
  void ProbeIfDue(Outcomes& aStep, Time aNow);
  void StartProbe(Outcomes& aStep, Time aNow);
  void ProbeThroughOthers(Outcomes& aStep, Time aNow);
  void EndProbe(Outcomes& aStep, bool aAnswered, Time aNow);
  void Suspect(Outcomes& aStep, Member& aMember, Time aNow);
  void CheckEnds(Outcomes& aStep, Time aNow);
  void VerifyCandidates(Outcomes& aStep, Time aNow);
  EntryId NextTarget();

  // MembershipGossip.cpp: what is sent, and joining.
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
  void MakeUrgent(Time aNow);
  int RumourSends() const;
  MembershipDatagram MakeDatagram(DatagramKind aKind, std::uint64_t aNumber) const;
  /// Adds the receiver's own state where it should know it, then news as far as there is room.
  void AddNews(MembershipDatagram& aDatagram, const EntryId& aReceiver, Time aNow);
  void AddLeavingNews(MembershipDatagram& aDatagram, std::size_t& aRoom, Time aNow);
  void AddMemberNews(MembershipDatagram& aDatagram, std::size_t& aRoom);
  const MemberDigest* FindDigest(const EntryId& aEntry) const;
  std::vector<const Member*> RandomMembers(std::size_t aCount, const EntryId& aExcept);

  MembershipSettings m_settings;
  MemberDigest m_self;
  Random m_random;
  Revision m_configurationRevision = 0;

  std::map<EntryId, Member> m_members;
  std::map<EntryId, Candidate> m_candidates;
  LeavingTable m_leaving;
  /// How often each piece of news is still sent.
  std::map<EntryId, int> m_rumours;
  std::map<BackendServerId, int> m_leavingRumours;
  std::vector<std::string> m_seeds;

  std::optional<Time> m_lastCalled;
  std::uint64_t m_lastNumber = 0;
  std::optional<Probe> m_probe;
  std::vector<Relay> m_relays;
  std::vector<EntryId> m_probeOrder;
  /// The latest result for each of the members last probed, oldest first.
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
  /// The numbers of the last questions for pages, and where the next page begins.
  std::deque<std::uint64_t> m_pageNumbers;
  EntryId m_pageAfter;
  bool m_joining = true;
};

} // namespace fennelline
