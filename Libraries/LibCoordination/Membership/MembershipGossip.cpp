#include "LibCoordination/Membership/EncodedSize.h"
#include "LibCoordination/Membership/Membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fennelline {

namespace {

/// Each piece of news is sent this many times for each doubling of the number of members.
constexpr int kSendsPerDoubling = 5;
/// A new member introduces itself to all; the others tell of it only a few times.
constexpr int kIntroductionSends = 3;
/// News of members in one datagram.
constexpr std::size_t kMostNews = 16;
/// A new member tries this many addresses of the VM list at once.
constexpr std::size_t kFirstSeeds = 3;
/// Questions for pages that may still be answered.
constexpr std::size_t kOpenPages = 8;
/// Several pieces of urgent news that come within this time go out together.
constexpr Duration kUrgentSpacing = Milliseconds(20);
/// Leaving marks on one page of a join.
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
  // FIXME: Marks beyond kLeavingPerPage between two members' names wait for the news or the VM
  // list; a mark has its place among the names of the members.
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
  if (m_rumours.empty() && m_leavingRumours.empty()) {
    m_nextUrgent = kNever;
    return;
  }
  const double mostBytes = static_cast<double>(m_settings.m_urgentBurstBytes);
  const double earned =
    InSeconds(aNow - m_urgentBytesAsOf) * static_cast<double>(m_settings.m_urgentBytesPerSecond);
  m_urgentBytes = std::min(mostBytes, m_urgentBytes + earned);
  m_urgentBytesAsOf = aNow;
  for (const Member* receiver : RandomMembers(m_settings.m_urgentFanOut, {})) {
    if (m_urgentBytes <= 0) {
      break;
    }
    // An Ack with the number zero answers nothing and only carries news.
    MembershipDatagram news = MakeDatagram(DatagramKind::Ack, 0);
    AddNews(news, receiver->m_digest.m_entry, aNow);
    m_urgentBytes -= static_cast<double>(EncodedBytes(news) + kDatagramHeaderBytes);
    aStep.m_effects.emplace_back(
      SendDatagram{receiver->m_digest.m_datagramAddress, std::move(news)});
  }
  --m_urgentRoundsLeft;
  m_nextUrgent = m_urgentRoundsLeft > 0 ? aNow + m_settings.m_urgentInterval : kNever;
}

void Membership::MakeUrgent(Time aNow) {
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
    AddNews(join, aTo, aNow);
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
  m_rumours[aEntry] = kIntroductionSends;
}

void Membership::SpreadMember(const EntryId& aEntry, Time aNow) {
  m_rumours[aEntry] = RumourSends();
  MakeUrgent(aNow);
}

void Membership::SpreadLeaving(const BackendServerId& aServer, Time aNow) {
  m_leavingRumours[aServer] = RumourSends();
  MakeUrgent(aNow);
}

int Membership::RumourSends() const {
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

void Membership::AddNews(MembershipDatagram& aDatagram, const EntryId& aReceiver, Time aNow) {
  const MemberDigest* receiver = FindDigest(aReceiver);
  const bool isDoubted = receiver != nullptr && (receiver->m_state == MemberState::Suspect ||
                                                 receiver->m_state == MemberState::Dead);
  if (isDoubted) {
    // The receiver is to hear that it is doubted, so that it can refute that.
    aDatagram.m_members.push_back(*receiver);
  }
  const std::size_t used = EncodedBytes(aDatagram);
  std::size_t room = m_settings.m_datagramBytes - std::min(m_settings.m_datagramBytes, used);
  AddLeavingNews(aDatagram, room, aNow);
  AddMemberNews(aDatagram, room);
}

void Membership::AddLeavingNews(MembershipDatagram& aDatagram, std::size_t& aRoom, Time aNow) {
  for (auto rumour = m_leavingRumours.begin(); rumour != m_leavingRumours.end();) {
    const std::optional<LeavingDigest> digest = m_leaving.Digest(rumour->first, aNow);
    const std::size_t bytes = digest ? EncodedBytes(*digest) : 0;
    if (bytes > aRoom) {
      break;
    }
    if (digest) {
      aDatagram.m_leaving.push_back(*digest);
      aRoom -= bytes;
    }
    const bool isDone = !digest || --rumour->second == 0;
    rumour = isDone ? m_leavingRumours.erase(rumour) : std::next(rumour);
  }
}

void Membership::AddMemberNews(MembershipDatagram& aDatagram, std::size_t& aRoom) {
  using Rumour = std::map<EntryId, int>::iterator;
  std::vector<Rumour> freshestFirst;
  for (auto rumour = m_rumours.begin(); rumour != m_rumours.end(); ++rumour) {
    freshestFirst.push_back(rumour);
  }
  const std::size_t most = std::min(freshestFirst.size(), kMostNews);
  std::partial_sort(
    freshestFirst.begin(), freshestFirst.begin() + static_cast<std::ptrdiff_t>(most),
    freshestFirst.end(), [](const Rumour& aOne, const Rumour& aTwo) {
      return aOne->second != aTwo->second ? aOne->second > aTwo->second : aOne->first < aTwo->first;
    });
  freshestFirst.resize(most);
  for (const Rumour& rumour : freshestFirst) {
    const MemberDigest* digest = FindDigest(rumour->first);
    const std::size_t bytes = digest != nullptr ? EncodedBytes(*digest) : 0;
    if (bytes > aRoom) {
      return;
    }
    if (digest != nullptr) {
      aDatagram.m_members.push_back(*digest);
      aRoom -= bytes;
    }
    if (digest == nullptr || --rumour->second <= 0) {
      m_rumours.erase(rumour);
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
