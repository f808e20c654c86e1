#include "Utilities/MeasureSpread/EntryGroup.h"

#include "LibCoordination/Membership/EncodedSize.h"

#include <chrono>
#include <utility>

namespace fennelline {

namespace {

/// TCP, IP and HTTP/2 headers around one message on a stream.
constexpr std::size_t kStreamHeaderBytes = 60;
/// The platform looks at its watches this often.
constexpr Duration kPlatformStep = Milliseconds(5);

/// Calls a function and adds the time it took to a total.
template<typename Function>
auto Timed(std::chrono::nanoseconds& aTotal, const Function& aFunction) {
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  auto result = aFunction();
  aTotal += std::chrono::steady_clock::now() - start;
  return result;
}

std::size_t MessageBytes(const Message& aMessage) {
  return std::visit([](const auto& aValue) { return EncodedBytes(aValue); }, aMessage) +
         kStreamHeaderBytes;
}

} // namespace

EntryGroup::EntryGroup(GroupSettings aSettings, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_random(aSeed) {
  for (std::size_t i = 0; i < m_settings.m_dataCentres; ++i) {
    m_settings.m_configuration.m_dataCentres.push_back("dc" + std::to_string(i));
  }
  Schedule(m_now, 0, PlatformDue{});
}

int EntryGroup::Start(const std::string& aName, std::size_t aDataCentre) {
  const int number = static_cast<int>(m_entries.size());
  Entry entry;
  entry.m_id = aName + "#" + std::to_string(number);
  entry.m_address = "10.0.0." + aName + ":7003";
  MemberDigest self;
  self.m_entry = entry.m_id;
  self.m_dataCentre = "dc" + std::to_string(aDataCentre);
  self.m_datagramAddress = entry.m_address;
  self.m_streamAddress = "10.0.0." + aName + ":7002";
  self.m_callerAddress = "10.0.0." + aName + ":7000";
  self.m_adminAddress = "10.0.0." + aName + ":7001";
  entry.m_membership = std::make_unique<Membership>(m_settings.m_membership, self, m_random.Next());
  entry.m_spread = std::make_unique<ConfigurationSync>(m_settings.m_configuration, entry.m_id,
                                                       self.m_dataCentre, m_random.Next());
  m_byId[entry.m_id] = number;
  m_byAddress[entry.m_address] = number;
  m_entries.push_back(std::move(entry));
  Take(number, m_entries.back().m_membership->OnVmList(Addresses(), m_now));
  const std::uint64_t tick = static_cast<std::uint64_t>(m_settings.m_tick.count());
  Schedule(m_now + Duration(m_random.Below(tick)), number, TickDue{});
  return number;
}

void EntryGroup::StartMany(std::size_t aCount) {
  for (std::size_t i = 0; i < aCount; ++i) {
    Start("e" + std::to_string(i), i % m_settings.m_dataCentres);
  }
}

void EntryGroup::Kill(int aEntry) {
  m_entries[Index(aEntry)].m_up = false;
}

void EntryGroup::Pause(int aEntry) {
  m_entries[Index(aEntry)].m_paused = true;
}

void EntryGroup::Resume(int aEntry) {
  Entry& entry = m_entries[Index(aEntry)];
  entry.m_paused = false;
  // What lies unread in the sockets comes first, then the timer.
  std::deque<Input> unread = std::move(entry.m_unread);
  entry.m_unread.clear();
  for (const Input& input : unread) {
    Deliver(aEntry, input);
  }
}

void EntryGroup::ResumeWithoutUnread(int aEntry) {
  m_entries[Index(aEntry)].m_unread.clear();
  Resume(aEntry);
}

void EntryGroup::Heal() {
  for (Entry& entry : m_entries) {
    entry.m_side = 0;
  }
  m_platformSide = 0;
}

void EntryGroup::RunFor(Duration aDuration) {
  const Time end = m_now + aDuration;
  while (!m_arrivals.empty() && m_arrivals.top().m_at <= end) {
    Arrival arrival = m_arrivals.top();
    m_arrivals.pop();
    m_now = arrival.m_at;
    if (std::holds_alternative<PlatformDue>(arrival.m_input)) {
      for (PlatformReplyTo& reply : m_platform.Advance(m_now)) {
        ReplyFrom(std::move(reply));
      }
      Schedule(m_now + kPlatformStep, 0, PlatformDue{});
      continue;
    }
    Entry& entry = m_entries[Index(arrival.m_to)];
    const bool isTick = std::holds_alternative<TickDue>(arrival.m_input);
    if (isTick && entry.m_up) {
      Schedule(m_now + m_settings.m_tick, arrival.m_to, TickDue{});
    }
    if (!entry.m_up || arrival.m_side != entry.m_side) {
      continue;
    }
    if (!entry.m_paused) {
      Deliver(arrival.m_to, arrival.m_input);
    } else if (!isTick) {
      entry.m_unread.push_back(std::move(arrival.m_input));
    }
  }
  m_now = end;
}

void EntryGroup::MarkLeaving(int aEntry, const BackendServerId& aServer) {
  Take(aEntry, MembershipOf(aEntry).MarkLeaving(aServer, m_now));
}

void EntryGroup::ClearLeaving(int aEntry, const BackendServerId& aServer) {
  Take(aEntry, MembershipOf(aEntry).ClearLeaving(aServer, m_now));
}

void EntryGroup::Leave(int aEntry) {
  Take(aEntry, MembershipOf(aEntry).Leave(m_now));
}

void EntryGroup::Inject(int aEntry, const MembershipDatagram& aDatagram) {
  Feed(aEntry, aDatagram);
}

void EntryGroup::InjectMessage(int aEntry, const EntryId& aFrom, const Message& aMessage) {
  Deliver(aEntry, MessageFrom{aFrom, aMessage});
}

void EntryGroup::Schedule(Time aAt, int aTo, Input aInput) {
  const int side = aTo < static_cast<int>(m_entries.size()) ? m_entries[Index(aTo)].m_side : 0;
  m_arrivals.push({aAt, ++m_order, aTo, side, std::move(aInput)});
}

Duration EntryGroup::RandomDelay() {
  const Duration spread = m_settings.m_mostDelay - m_settings.m_leastDelay;
  return m_settings.m_leastDelay +
         Duration(m_random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
}

void EntryGroup::Deliver(int aTo, const Input& aInput) {
  Entry& entry = m_entries[Index(aTo)];
  ConfigurationSync& spread = *entry.m_spread;
  if (const MembershipDatagram* datagram = std::get_if<MembershipDatagram>(&aInput)) {
    Feed(aTo, *datagram);
  } else if (const MessageFrom* message = std::get_if<MessageFrom>(&aInput)) {
    entry.m_journal.m_messageBytesReceived +=
      static_cast<std::int64_t>(MessageBytes(message->m_message));
    Take(aTo, Timed(m_spreadTime,
                    [&] { return spread.OnMessage(message->m_from, message->m_message, m_now); }));
  } else if (const PlatformReply* reply = std::get_if<PlatformReply>(&aInput)) {
    Take(aTo, Timed(m_spreadTime, [&] { return spread.OnPlatformReply(*reply, m_now); }));
  } else {
    Membership& membership = *entry.m_membership;
    membership.SetConfigurationRevision(spread.NewestRevision());
    Take(aTo, Timed(m_membershipTime, [&] { return membership.Tick(m_now); }));
    if (std::exchange(entry.m_membersChanged, false)) {
      const std::vector<MemberDigest> members = membership.Members();
      Take(aTo, Timed(m_spreadTime, [&] { return spread.OnMembers(members, m_now); }));
    }
    Take(aTo, Timed(m_spreadTime, [&] { return spread.Tick(m_now); }));
  }
}

void EntryGroup::Feed(int aTo, const MembershipDatagram& aDatagram) {
  Entry& entry = m_entries[Index(aTo)];
  entry.m_journal.m_datagramBytesReceived +=
    static_cast<std::int64_t>(EncodedBytes(aDatagram) + kDatagramHeaderBytes);
  Membership& membership = *entry.m_membership;
  Take(aTo, Timed(m_membershipTime, [&] { return membership.OnDatagram(aDatagram, m_now); }));
  ConfigurationSync& spread = *entry.m_spread;
  Take(aTo, Timed(m_spreadTime, [&] {
         return spread.OnPeerRevision(aDatagram.m_from, aDatagram.m_configurationRevision, m_now);
       }));
}

void EntryGroup::Take(int aFrom, Step<MembershipOutcome> aStep) {
  Entry& entry = m_entries[Index(aFrom)];
  bool isChanged = false;
  for (MembershipOutcome& outcome : aStep.m_outcomes) {
    if (MemberChanged* changed = std::get_if<MemberChanged>(&outcome)) {
      entry.m_journal.m_changed.push_back({m_now, changed->m_member});
      isChanged = true;
    } else if (BackendServerLeaving* leaving = std::get_if<BackendServerLeaving>(&outcome)) {
      entry.m_journal.m_leaving.push_back({m_now, leaving->m_backendServer, leaving->m_leaving});
    }
  }
  CarryOut(aFrom, std::move(aStep.m_effects));
  // Like a real shell, it passes several changes on at once, with the next tick.
  entry.m_membersChanged = entry.m_membersChanged || isChanged;
}

void EntryGroup::Take(int aFrom, Step<ConfigurationOutcome> aStep) {
  Entry& entry = m_entries[Index(aFrom)];
  for (ConfigurationOutcome& outcome : aStep.m_outcomes) {
    if (ConfigurationInForce* inForce = std::get_if<ConfigurationInForce>(&outcome)) {
      entry.m_journal.m_inForce.push_back({m_now, inForce->m_configuration->m_revision});
    } else if (ConfigurationUnreadable* unreadable =
                 std::get_if<ConfigurationUnreadable>(&outcome)) {
      entry.m_journal.m_unreadable.push_back(unreadable->m_revision);
    }
  }
  CarryOut(aFrom, std::move(aStep.m_effects));
}

void EntryGroup::CarryOut(int aFrom, Effects aEffects) {
  for (Effect& effect : aEffects) {
    std::visit([this, aFrom](auto& aValue) { CarryOut(aFrom, aValue); }, effect);
  }
}

void EntryGroup::CarryOut(int aFrom, SendDatagram& aSend) {
  Entry& sender = m_entries[Index(aFrom)];
  ++sender.m_journal.m_datagramsSent;
  sender.m_journal.m_datagramBytesSent +=
    static_cast<std::int64_t>(EncodedBytes(aSend.m_datagram) + kDatagramHeaderBytes);
  const auto receiver = m_byAddress.find(aSend.m_address);
  const bool arrives = receiver != m_byAddress.end() &&
                       m_entries[Index(receiver->second)].m_side == sender.m_side &&
                       !m_random.Chance(m_settings.m_datagramLoss);
  if (!arrives) {
    return;
  }
  if (m_random.Chance(m_settings.m_doubling)) {
    Schedule(m_now + RandomDelay(), receiver->second, aSend.m_datagram);
  }
  Schedule(m_now + RandomDelay(), receiver->second, std::move(aSend.m_datagram));
}

void EntryGroup::CarryOut(int aFrom, SendMessage& aSend) {
  Entry& sender = m_entries[Index(aFrom)];
  sender.m_journal.m_messageBytesSent += static_cast<std::int64_t>(MessageBytes(aSend.m_message));
  const auto receiver = m_byId.find(aSend.m_to);
  const bool arrives = receiver != m_byId.end() &&
                       m_entries[Index(receiver->second)].m_side == sender.m_side &&
                       !m_random.Chance(m_settings.m_messageLoss);
  if (arrives) {
    Schedule(m_now + RandomDelay(), receiver->second,
             MessageFrom{sender.m_id, std::move(aSend.m_message)});
  }
}

void EntryGroup::CarryOut(int aFrom, const CallPlatform& aCall) {
  Entry& caller = m_entries[Index(aFrom)];
  ++caller.m_journal.m_platformCalls;
  if (caller.m_side != m_platformSide) {
    return;
  }
  std::optional<PlatformReply> reply = m_platform.Handle(aFrom, aCall, m_now);
  if (reply) {
    ReplyFrom({aFrom, *std::move(reply)});
  }
}

void EntryGroup::ReplyFrom(PlatformReplyTo aReply) {
  const bool arrives = m_entries[Index(aReply.m_caller)].m_side == m_platformSide &&
                       !m_random.Chance(m_settings.m_replyLoss);
  if (arrives) {
    Schedule(m_now + m_settings.m_platformDelay, aReply.m_caller, std::move(aReply.m_reply));
  }
}

std::vector<std::string> EntryGroup::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, entry] : m_byAddress) {
    addresses.push_back(address);
  }
  return addresses;
}

} // namespace fennelline
