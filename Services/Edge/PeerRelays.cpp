#include "Services/Edge/PeerRelays.h"

#include "LibRouting/ExponentialBackoff.h"

#include <algorithm>
#include <tuple>

namespace fennelline {

namespace {

/// An entry that did not take a request is not asked again for this time, doubled for each further
/// one in a row: it has no path itself, or an older configuration.
constexpr Duration kFirstNotTakenTime = Milliseconds(400);
constexpr Duration kMaxNotTakenTime = Milliseconds(3200);

} // namespace

void PeerRelays::OnMembersChanged() {
  std::map<std::string, std::shared_ptr<BackendLink>> peers;
  for (const MemberDigest& member : m_members.All()) {
    const bool isUsable = member.m_entry != m_members.Self().m_entry &&
                          member.m_state == MemberState::Alive && !member.m_callerAddress.empty();
    if (!isUsable) {
      continue;
    }
    const auto known = m_peers.find(member.m_entry);
    if (known != m_peers.end()) {
      peers.insert(*known);
      continue;
    }
    // Requests between entries use the TCP port of the same number as the datagrams' port.
    const ReplicaRecord record{.m_id = member.m_entry,
                               .m_service = {},
                               .m_address = member.m_datagramAddress,
                               .m_zone = member.m_dataCentre,
                               .m_version = {}};
    const std::shared_ptr<BackendLink> peer =
      std::make_shared<BackendLink>(m_context.m_loop, record);
    peer->m_isEntry = true;
    peers.emplace(member.m_entry, peer);
  }
  m_peers = std::move(peers);
}

std::shared_ptr<BackendLink> PeerRelays::Choose(const std::vector<std::string>& aTried) const {
  const Time now = m_context.m_loop.Now();
  std::vector<std::shared_ptr<BackendLink>> candidates;
  for (const auto& [id, peer] : m_peers) {
    if (std::find(aTried.begin(), aTried.end(), id) == aTried.end() &&
        now >= peer->m_notTakenUntil) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  // Entries without a path choose at the same time, so that equal ones are taken in any order.
  const std::size_t start = m_context.m_random.Below(candidates.size());
  std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(start),
              candidates.end());
  const auto cost = [this](const std::shared_ptr<BackendLink>& aPeer) {
    const bool isFar = aPeer->m_record.m_zone != m_context.m_settings.m_zone;
    return std::make_tuple(aPeer->m_runningRequests, isFar);
  };
  return *std::min_element(
    candidates.begin(), candidates.end(),
    [&cost](const std::shared_ptr<BackendLink>& aFirst,
            const std::shared_ptr<BackendLink>& aSecond) { return cost(aFirst) < cost(aSecond); });
}

void PeerRelays::OnNotTaken(BackendLink& aPeer) {
  aPeer.m_notTakenUntil =
    m_context.m_loop.Now() +
    ExponentialBackoff(kFirstNotTakenTime, kMaxNotTakenTime, aPeer.m_notTakenInRow++);
}

void PeerRelays::OnTaken(BackendLink& aPeer) {
  aPeer.m_notTakenInRow = 0;
}

void PeerRelays::Sweep() {
  for (const auto& [id, peer] : m_peers) {
    peer->m_pool.Sweep();
  }
}

} // namespace fennelline
