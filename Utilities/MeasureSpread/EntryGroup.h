#pragma once

#include "LibBase/Random.h"
#include "LibCoordination/Configuration/ConfigurationSync.h"
#include "LibCoordination/Membership/Membership.h"
#include "Utilities/MeasureSpread/FakePlatform.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// The network between entries, and to the platform.
struct GroupSettings {
  MembershipSettings m_membership;
  ConfigurationSettings m_configuration;
  std::size_t m_dataCentres = 3;
  Duration m_leastDelay = Milliseconds(1);
  Duration m_mostDelay = Milliseconds(5);
  /// Of datagrams, and of messages: a stream loses some when its connection breaks.
  double m_datagramLoss = 0.0;
  double m_messageLoss = 0.0;
  double m_doubling = 0.0;
  /// Of the platform's replies; the call takes effect all the same.
  double m_replyLoss = 0.0;
  Duration m_platformDelay = Milliseconds(3);
  Duration m_tick = Milliseconds(50);
};

/// What the network itself saw of one entry, kept apart from the code under test.
struct EntryJournal {
  struct InForce {
    Time m_at;
    Revision m_revision = 0;
  };
  struct Changed {
    Time m_at;
    MemberDigest m_member;
  };
  struct Leaving {
    Time m_at;
    BackendServerId m_backendServer;
    bool m_leaving = true;
  };

  std::vector<InForce> m_inForce;
  std::vector<Changed> m_changed;
  std::vector<Leaving> m_leaving;
  std::vector<Revision> m_unreadable;
  std::int64_t m_datagramsSent = 0;
  std::int64_t m_datagramBytesSent = 0;
  std::int64_t m_datagramBytesReceived = 0;
  std::int64_t m_messageBytesSent = 0;
  std::int64_t m_messageBytesReceived = 0;
  std::int64_t m_platformCalls = 0;
};

/// Several entries' membership and configuration spread, joined by a network in memory that loses,
/// delays, reorders and doubles. The same seed gives the same run.
class EntryGroup {
public:
  EntryGroup(GroupSettings aSettings, std::uint64_t aSeed);

  /// Starts a process; returns its number. A VM's name keeps its address.
  int Start(const std::string& aName, std::size_t aDataCentre);
  /// Starts entries e0, e1, … over the data centres in turn.
  void StartMany(std::size_t aCount);
  void Kill(int aEntry);
  void Pause(int aEntry);
  void Resume(int aEntry);
  /// The same, where the socket's buffers have overflowed meanwhile.
  void ResumeWithoutUnread(int aEntry);
  /// Entries, and the platform, hear only those on the same side.
  void SetSide(int aEntry, int aSide) { m_entries[Index(aEntry)].m_side = aSide; }
  int SideOf(int aEntry) const { return m_entries[Index(aEntry)].m_side; }
  void SetPlatformSide(int aSide) { m_platformSide = aSide; }
  void Heal();
  void RunFor(Duration aDuration);

  Time Now() const { return m_now; }
  std::size_t Count() const { return m_entries.size(); }
  bool IsUp(int aEntry) const { return m_entries[Index(aEntry)].m_up; }
  bool IsPaused(int aEntry) const { return m_entries[Index(aEntry)].m_paused; }
  Membership& MembershipOf(int aEntry) { return *m_entries[Index(aEntry)].m_membership; }
  ConfigurationSync& SpreadOf(int aEntry) { return *m_entries[Index(aEntry)].m_spread; }
  const EntryJournal& JournalOf(int aEntry) const { return m_entries[Index(aEntry)].m_journal; }
  const EntryId& NameOf(int aEntry) const { return m_entries[Index(aEntry)].m_id; }
  FakePlatform& Platform() { return m_platform; }
  GroupSettings& Settings() { return m_settings; }

  void MarkLeaving(int aEntry, const BackendServerId& aServer);
  void ClearLeaving(int aEntry, const BackendServerId& aServer);
  void Leave(int aEntry);
  /// Hands an entry a datagram as if from the network.
  void Inject(int aEntry, const MembershipDatagram& aDatagram);
  void InjectMessage(int aEntry, const EntryId& aFrom, const Message& aMessage);
  /// Processor time spent in the reducers alone.
  std::chrono::nanoseconds MembershipTime() const { return m_membershipTime; }
  std::chrono::nanoseconds SpreadTime() const { return m_spreadTime; }

private:
  struct MessageFrom {
    EntryId m_from;
    Message m_message;
  };
  struct TickDue {};
  struct PlatformDue {};
  using Input = std::variant<TickDue, PlatformDue, MembershipDatagram, MessageFrom, PlatformReply>;

  struct Entry {
    EntryId m_id;
    std::string m_address;
    int m_side = 0;
    bool m_up = true;
    bool m_paused = false;
    bool m_membersChanged = false;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<ConfigurationSync> m_spread;
    std::deque<Input> m_unread;
    EntryJournal m_journal;
  };
  struct Arrival {
    Time m_at;
    std::uint64_t m_order = 0;
    int m_to = 0;
    /// The side it was sent from; a partition also stops what is under way.
    int m_side = 0;
    Input m_input;

    bool operator>(const Arrival& aOther) const {
      return m_at != aOther.m_at ? m_at > aOther.m_at : m_order > aOther.m_order;
    }
  };

  static std::size_t Index(int aEntry) { return static_cast<std::size_t>(aEntry); }
  void Schedule(Time aAt, int aTo, Input aInput);
  Duration RandomDelay();
  void Deliver(int aTo, const Input& aInput);
  void Feed(int aTo, const MembershipDatagram& aDatagram);
  void Take(int aFrom, Step<MembershipOutcome> aStep);
  void Take(int aFrom, Step<ConfigurationOutcome> aStep);
  void CarryOut(int aFrom, Effects aEffects);
  void CarryOut(int aFrom, SendDatagram& aSend);
  void CarryOut(int aFrom, SendMessage& aSend);
  void CarryOut(int aFrom, const CallPlatform& aCall);
  void CarryOut(int, const RecordTimeline&) {}
  void ReplyFrom(PlatformReplyTo aReply);
  std::vector<std::string> Addresses() const;

  GroupSettings m_settings;
  Random m_random;
  Time m_now{Seconds(1000000)};
  FakePlatform m_platform;
  int m_platformSide = 0;
  std::vector<Entry> m_entries;
  std::map<EntryId, int> m_byId;
  std::map<std::string, int> m_byAddress;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> m_arrivals;
  std::uint64_t m_order = 0;
  std::chrono::nanoseconds m_membershipTime{0};
  std::chrono::nanoseconds m_spreadTime{0};
};

} // namespace fennelline
