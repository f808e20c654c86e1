#include "LibCoordination/Membership/EncodedSize.h"
#include "LibCoordination/Membership/Membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fennelline {

namespace {

/// Transmissions of each update for each doubling of the number of members.
constexpr int kSendsPerDoubling = 5;
/// How often each member passes on the digest of a new member. Few suffice, because a new member
/// contacts all members itself.
constexpr int kIntroductionSends = 3;
/// Maximum number of member updates in one datagram.
constexpr std::size_t kMaxMemberUpdates = 16;
/// A joining entry tries this many addresses of the VM list at once.
constexpr std::size_t kFirstSeeds = 3;
/// Page requests that may still be answered.
constexpr std::size_t kOpenPages = 8;
/// Urgent updates that arrive within this time are sent together.
constexpr Duration kUrgentSpacing = Milliseconds(20);
/// Maximum number of leaving marks on one page.
constexpr std::size_t kLeavingPerPage = 12;

} // namespace

void Membership::OnJoin(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  MembershipDatagram page = MakeDatagram(DatagramKind::Ack, aDatagram.m_number);
  page.m_members.push_back(m_self);
  const MemberDigest* asker = FindDigest(aDatagram.m_from);
  if (asker != nullptr) {
    page.m_members.push_back(*asker);
  }
  const EntryId after = aDatagram.m_target;
  auto next = m_members.upper_bound(after);
  std::size_t bytes = EncodedBytes(page);
  for (; next != m_members.end(); ++next) {
    bytes += EncodedBytes(next->second.m_digest);
    if (bytes > m_settings.m_datagramBytes) {
      break;
    }
    page.m_members.push_back(next->second.m_digest);
    page.m_target = next->first;
  }
  if (next == m_members.end()) {
    page.m_target.clear();
  }
  // FIXME: Marks are paged along with the members by name. If there are more than kLeavingPerPage
  // of them between the names of two members, the rest is only learned through gossip or the VM
  // list.
  page.m_leaving = m_leaving.Page(after, page.m_target, kLeavingPerPage, aNow);
  aStep.m_effects.emplace_back(SendDatagram{aDatagram.m_fromAddress, std::move(page)});
}

void Membership::OnPage(const MembershipDatagram& aDatagram) {
  m_pageAfter = aDatagram.m_target;
  if (m_pageAfter.empty()) {
    m_joining = false;
  }
}

void Membership::SendUrgent(Outcomes& aStep, Time aNow) {
  if (aNow < m_nextUrgent) {
    return;
  }
  if (m_memberUpdates.empty() && m_leavingUpdates.empty()) {
    m_nextUrgent = kNever;
    return;
  }
  const double maxBytes = static_cast<double>(m_settings.m_urgentBurstBytes);
  const double earned =
    InSeconds(aNow - m_urgentBytesAsOf) * static_cast<double>(m_settings.m_urgentBytesPerSecond);
  m_urgentBytes = std::min(maxBytes, m_urgentBytes + earned);
  m_urgentBytesAsOf = aNow;
  for (const Member* receiver : RandomMembers(m_settings.m_urgentFanOut, {})) {
    if (m_urgentBytes <= 0) {
      break;
    }
    // An Ack with the number zero acknowledges nothing and only carries updates.
    MembershipDatagram updates = MakeDatagram(DatagramKind::Ack, 0);
    AddUpdates(updates, receiver->m_digest.m_entry, aNow);
    m_urgentBytes -= static_cast<double>(EncodedBytes(updates) + kDatagramHeaderBytes);
    aStep.m_effects.emplace_back(
      SendDatagram{receiver->m_digest.m_datagramAddress, std::move(updates)});
  }
  --m_urgentRoundsLeft;
  m_nextUrgent = m_urgentRoundsLeft > 0 ? aNow + m_settings.m_urgentInterval : kNever;
}

void Membership::ScheduleUrgent(Time aNow) {
  m_urgentRoundsLeft = m_settings.m_urgentRounds;
  m_nextUrgent = std::min(m_nextUrgent, aNow + kUrgentSpacing);
}

void Membership::SyncIfDue(Outcomes& aStep, Time aNow) {
  if (aNow < m_nextSync) {
    return;
  }
  m_nextSync = aNow + (m_joining ? m_settings.m_joinInterval : m_settings.m_syncInterval);
  for (const Member* member : RandomMembers(1, {})) {
    SendJoin(aStep, member->m_digest.m_datagramAddress, member->m_digest.m_entry, aNow);
  }
}

void Membership::TrySeeds(Outcomes& aStep, Time aNow) {
  if (aNow < m_nextSeed) {
    return;
  }
  m_nextSeed = aNow + m_settings.m_seedInterval;
  std::vector<std::string> addresses = AddressesToTry();
  const std::size_t count = std::min(addresses.size(), OtherCount() == 0 ? kFirstSeeds : 1);
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(addresses[i], addresses[i + m_random.Below(addresses.size() - i)]);
    SendJoin(aStep, addresses[i], {}, aNow);
  }
}

void Membership::SendJoin(Outcomes& aStep, const std::string& aAddress, const EntryId& aTo,
                          Time aNow) {
  MembershipDatagram join = MakeDatagram(DatagramKind::Join, ++m_lastNumber);
  join.m_target = m_pageAfter;
  join.m_members.push_back(m_self);
  if (!aTo.empty()) {
    AddUpdates(join, aTo, aNow);
  }
  m_pageNumbers.push_back(m_lastNumber);
  if (m_pageNumbers.size() > kOpenPages) {
    m_pageNumbers.pop_front();
  }
  aStep.m_effects.emplace_back(SendDatagram{aAddress, std::move(join)});
}

std::vector<std::string> Membership::AddressesToTry() const {
  std::vector<std::string> addresses = m_seeds;
  std::vector<std::string> known = {m_self.m_datagramAddress};
  for (const auto& [entry, member] : m_members) {
    const bool isDead = member.m_digest.m_state == MemberState::Dead;
    (isDead ? addresses : known).push_back(member.m_digest.m_datagramAddress);
  }
  std::sort(known.begin(), known.end());
  std::erase_if(addresses, [&known](const std::string& aAddress) {
    return std::binary_search(known.begin(), known.end(), aAddress);
  });
  return addresses;
}

void Membership::SpreadIntroduction(const EntryId& aEntry) {
  m_memberUpdates[aEntry] = kIntroductionSends;
}

void Membership::SpreadMember(const EntryId& aEntry, Time aNow) {
  m_memberUpdates[aEntry] = TransmissionsPerUpdate();
  ScheduleUrgent(aNow);
}

void Membership::SpreadLeaving(const BackendServerId& aServer, Time aNow) {
  m_leavingUpdates[aServer] = TransmissionsPerUpdate();
  ScheduleUrgent(aNow);
}

int Membership::TransmissionsPerUpdate() const {
  return kSendsPerDoubling * static_cast<int>(std::bit_width(m_members.size() + 1));
}

MembershipDatagram Membership::MakeDatagram(DatagramKind aKind, std::uint64_t aNumber) const {
  MembershipDatagram datagram;
  datagram.m_kind = aKind;
  datagram.m_number = aNumber;
  datagram.m_from = m_self.m_entry;
  datagram.m_fromAddress = m_self.m_datagramAddress;
  datagram.m_configurationRevision = m_configurationRevision;
  return datagram;
}

void Membership::AddUpdates(MembershipDatagram& aDatagram, const EntryId& aReceiver, Time aNow) {
  const MemberDigest* receiver = FindDigest(aReceiver);
  const bool isSuspected = receiver != nullptr && (receiver->m_state == MemberState::Suspect ||
                                                   receiver->m_state == MemberState::Dead);
  if (isSuspected) {
    // The receiver must learn that it is suspected, so that it can refute this.
    aDatagram.m_members.push_back(*receiver);
  }
  const std::size_t used = EncodedBytes(aDatagram);
  std::size_t room = m_settings.m_datagramBytes - std::min(m_settings.m_datagramBytes, used);
  AddLeavingUpdates(aDatagram, room, aNow);
  AddMemberUpdates(aDatagram, room);
}

void Membership::AddLeavingUpdates(MembershipDatagram& aDatagram, std::size_t& aRoom, Time aNow) {
  for (auto update = m_leavingUpdates.begin(); update != m_leavingUpdates.end();) {
    const std::optional<LeavingDigest> digest = m_leaving.Digest(update->first, aNow);
    const std::size_t bytes = digest ? EncodedBytes(*digest) : 0;
    if (bytes > aRoom) {
      break;
    }
    if (digest) {
      aDatagram.m_leaving.push_back(*digest);
      aRoom -= bytes;
    }
    const bool isDone = !digest || --update->second == 0;
    update = isDone ? m_leavingUpdates.erase(update) : std::next(update);
  }
}

void Membership::AddMemberUpdates(MembershipDatagram& aDatagram, std::size_t& aRoom) {
  using PendingUpdate = std::map<EntryId, int>::iterator;
  std::vector<PendingUpdate> freshestFirst;
  for (auto update = m_memberUpdates.begin(); update != m_memberUpdates.end(); ++update) {
    freshestFirst.push_back(update);
  }
  const std::size_t most = std::min(freshestFirst.size(), kMaxMemberUpdates);
  std::partial_sort(
    freshestFirst.begin(), freshestFirst.begin() + static_cast<std::ptrdiff_t>(most),
    freshestFirst.end(), [](const PendingUpdate& aOne, const PendingUpdate& aTwo) {
      return aOne->second != aTwo->second ? aOne->second > aTwo->second : aOne->first < aTwo->first;
    });
  freshestFirst.resize(most);
  for (const PendingUpdate& update : freshestFirst) {
    const MemberDigest* digest = FindDigest(update->first);
    const std::size_t bytes = digest != nullptr ? EncodedBytes(*digest) : 0;
    if (bytes > aRoom) {
      return;
    }
    if (digest != nullptr) {
      aDatagram.m_members.push_back(*digest);
      aRoom -= bytes;
    }
    if (digest == nullptr || --update->second <= 0) {
      m_memberUpdates.erase(update);
    }
  }
}

const MemberDigest* Membership::FindDigest(const EntryId& aEntry) const {
  if (aEntry == m_self.m_entry) {
    return &m_self;
  }
  const auto found = m_members.find(aEntry);
  return found == m_members.end() ? nullptr : &found->second.m_digest;
}

std::vector<const Membership::Member*> Membership::RandomMembers(std::size_t aCount,
                                                                 const EntryId& aExcept) {
  std::vector<const Member*> members;
  for (const auto& [entry, member] : m_members) {
    if (entry != aExcept && member.m_digest.m_state != MemberState::Dead) {
      members.push_back(&member);
    }
  }
  const std::size_t count = std::min(aCount, members.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(members[i], members[i + m_random.Below(members.size() - i)]);
  }
  members.resize(count);
  return members;
}

} // namespace fennelline
