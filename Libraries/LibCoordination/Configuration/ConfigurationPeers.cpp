#include "LibCoordination/Configuration/ConfigurationSync.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelline {

namespace {

/// Sent as the age by an entry that has had no confirmation yet.
constexpr std::int64_t kNeverConfirmed = -1;
/// A query without a response is forgotten after this time.
constexpr Duration kQueryTimeout = Seconds(5);

} // namespace

Step<ConfigurationOutcome> ConfigurationSync::OnMessage(const EntryId& aFrom,
                                                        const Message& aMessage, Time aNow) {
  EnsureStarted(aNow);
  if (const ConfigurationOffer* offer = std::get_if<ConfigurationOffer>(&aMessage)) {
    return OnOffer(aFrom, *offer, aNow);
  }
  if (const ConfigurationRequest* request = std::get_if<ConfigurationRequest>(&aMessage)) {
    return OnRequest(aFrom, *request);
  }
  if (const ConfigurationDocument* document = std::get_if<ConfigurationDocument>(&aMessage)) {
    return OnDocument(*document, aNow);
  }
  if (const ConfigurationDelta* delta = std::get_if<ConfigurationDelta>(&aMessage)) {
    return OnDelta(aFrom, *delta, aNow);
  }
  return {};
}

Step<ConfigurationOutcome> ConfigurationSync::OnMembers(std::span<const MemberDigest> aMembers,
                                                        Time aNow) {
  EnsureStarted(aNow);
  m_peers.clear();
  for (const MemberDigest& member : aMembers) {
    const bool isLeaving = member.m_state == MemberState::Leaving;
    if (member.m_entry == m_self) {
      m_selfLeaving = isLeaving;
      continue;
    }
    if (member.m_state == MemberState::Dead) {
      continue;
    }
    m_peers.push_back({member.m_entry, member.m_dataCentre, isLeaving});
    m_dataCentres[member.m_dataCentre].m_aliveAt = aNow;
  }
  ChooseWatchers();
  return {};
}

Step<ConfigurationOutcome> ConfigurationSync::OnPeerRevision(const EntryId& aFrom,
                                                             Revision aRevision, Time aNow) {
  Outcomes step;
  EnsureStarted(aNow);
  RecordPeerRevision(aFrom, aRevision);
  FetchIfDue(step, aNow);
  return step;
}

Step<ConfigurationOutcome> ConfigurationSync::OnOffer(const EntryId& aFrom,
                                                      const ConfigurationOffer& aOffer, Time aNow) {
  Outcomes step;
  RecordPeerRevision(aFrom, aOffer.m_revision);
  if (aOffer.m_wantsOffer) {
    ConfigurationOffer answer = MakeOffer(aNow);
    answer.m_number = aOffer.m_number;
    step.m_effects.emplace_back(SendMessage{.m_to = aFrom, .m_message = answer});
  } else {
    OnAnswer(aFrom, aOffer, aNow);
    if (aOffer.m_revision < NewestRevision()) {
      step.m_effects.emplace_back(SendMessage{.m_to = aFrom, .m_message = MakeOffer(aNow)});
    }
  }
  FetchIfDue(step, aNow);
  return step;
}

Step<ConfigurationOutcome> ConfigurationSync::OnRequest(const EntryId& aFrom,
                                                        const ConfigurationRequest& aRequest) {
  Outcomes step;
  if (aRequest.m_after < NewestRevision()) {
    step.m_effects.emplace_back(
      SendMessage{.m_to = aFrom, .m_message = m_history.MakeMessage(aRequest.m_after)});
  }
  return step;
}

Step<ConfigurationOutcome> ConfigurationSync::OnDocument(const ConfigurationDocument& aDocument,
                                                         Time aNow) {
  return Adopt({.m_revision = aDocument.m_revision, .m_text = aDocument.m_text}, aNow);
}

Step<ConfigurationOutcome> ConfigurationSync::OnDelta(const EntryId& aFrom,
                                                      const ConfigurationDelta& aDelta, Time aNow) {
  if (aDelta.m_revision <= NewestRevision()) {
    return {};
  }
  std::optional<ConfigurationText> document = m_history.Resolve(aDelta);
  if (document) {
    return Adopt(*std::move(document), aNow);
  }
  Outcomes step;
  step.m_effects.emplace_back(
    SendMessage{.m_to = aFrom, .m_message = ConfigurationRequest{.m_after = 0}});
  return step;
}

void ConfigurationSync::OnAnswer(const EntryId& aFrom, const ConfigurationOffer& aOffer,
                                 Time aNow) {
  const auto found = m_queries.find(aOffer.m_number);
  if (found == m_queries.end() || found->second.m_peer != aFrom) {
    return;
  }
  const Time sentAt = found->second.m_sentAt;
  m_queries.erase(found);
  const bool isComplete = aOffer.m_revision <= NewestRevision();
  m_peerAnswered = m_peerAnswered || isComplete;
  if (!isComplete || aOffer.m_platformAgeMilliseconds == kNeverConfirmed) {
    return;
  }
  // The age is sent in whole milliseconds, so up to one millisecond may have been truncated.
  const Duration age = Milliseconds(aOffer.m_platformAgeMilliseconds + 1);
  Confirm(sentAt - age);
  const Peer* peer = FindPeer(aFrom);
  if (peer == nullptr) {
    return;
  }
  DataCentreState& seen = m_dataCentres[peer->m_dataCentre];
  seen.m_aliveAt = aNow;
  seen.m_knownDataCentres = aOffer.m_dataCentres;
  if (age >= m_settings.m_unreachableAfter) {
    seen.m_confirmedDownAt = sentAt;
  } else {
    seen.m_confirmedDownAt.reset();
  }
}

void ConfigurationSync::RecordPeerRevision(const EntryId& aFrom, Revision aRevision) {
  m_highestSeen = std::max(m_highestSeen, aRevision);
  if (aRevision > NewestRevision()) {
    m_newerPeer = aFrom;
  }
}

void ConfigurationSync::FetchIfDue(Outcomes& aStep, Time aNow) {
  const bool isBehind = NewestRevision() < m_highestSeen && !m_newerPeer.empty();
  if (!isBehind || aNow < m_nextFetch) {
    return;
  }
  m_nextFetch = aNow + m_settings.m_retryWait;
  const ConfigurationRequest request{.m_after = NewestRevision()};
  aStep.m_effects.emplace_back(SendMessage{.m_to = m_newerPeer, .m_message = request});
}

void ConfigurationSync::QueryPeersIfDue(Outcomes& aStep, Time aNow) {
  if (m_peers.empty() || aNow < m_nextQuery) {
    return;
  }
  std::erase_if(m_queries, [aNow](const std::pair<const std::uint64_t, Query>& aItem) {
    return aNow - aItem.second.m_sentAt > kQueryTimeout;
  });
  m_nextQuery = aNow + m_settings.m_queryInterval;
  const Duration age = Age(aNow);
  if (age > m_settings.m_unreachableAfter && aNow >= m_nextQueryAll) {
    m_nextQueryAll = aNow + m_settings.m_queryAllInterval;
    QueryEachDataCentre(aStep, aNow);
    return;
  }
  // Once a peer has answered, a watcher (an entry that reads the platform itself) asks peers only
  // if the platform seems unreachable.
  const Duration queryAfter = m_isWatcher ? m_settings.m_unreachableAfter : m_settings.m_queryAfter;
  if (m_peerAnswered && age < queryAfter) {
    return;
  }
  const bool queryWatcher = m_queryWatcher && !m_localWatchers.empty();
  m_queryWatcher = !m_queryWatcher;
  if (queryWatcher) {
    SendQuery(aStep, m_localWatchers[m_random.Below(m_localWatchers.size())], aNow);
  } else {
    SendQuery(aStep, m_peers[m_random.Below(m_peers.size())].m_entry, aNow);
  }
}

void ConfigurationSync::QueryEachDataCentre(Outcomes& aStep, Time aNow) {
  std::map<DataCentre, std::vector<EntryId>> peers;
  for (const Peer& peer : m_peers) {
    peers[peer.m_dataCentre].push_back(peer.m_entry);
  }
  for (const auto& [dataCentre, entries] : peers) {
    SendQuery(aStep, entries[m_random.Below(entries.size())], aNow);
  }
}

void ConfigurationSync::SendQuery(Outcomes& aStep, const EntryId& aPeer, Time aNow) {
  ConfigurationOffer query = MakeOffer(aNow);
  query.m_number = ++m_lastNumber;
  query.m_wantsOffer = true;
  m_queries[query.m_number] = Query{.m_peer = aPeer, .m_sentAt = aNow};
  aStep.m_effects.emplace_back(SendMessage{.m_to = aPeer, .m_message = query});
}

void ConfigurationSync::Announce(Outcomes& aStep, Time aNow) {
  std::vector<EntryId> receivers = RandomPeers(true, m_settings.m_localFanOut);
  const std::vector<EntryId> remote = RandomPeers(false, m_settings.m_remoteFanOut);
  receivers.insert(receivers.end(), remote.begin(), remote.end());
  for (const EntryId& receiver : receivers) {
    aStep.m_effects.emplace_back(SendMessage{.m_to = receiver, .m_message = MakeOffer(aNow)});
  }
}

ConfigurationOffer ConfigurationSync::MakeOffer(Time aNow) const {
  ConfigurationOffer offer;
  offer.m_revision = NewestRevision();
  offer.m_dataCentres = CountDataCentres(aNow);
  offer.m_platformAgeMilliseconds =
    m_confirmedAt ? InMilliseconds(aNow - *m_confirmedAt) : kNeverConfirmed;
  return offer;
}

void ConfigurationSync::ChooseWatchers() {
  std::set<DataCentre> dataCentres = {m_dataCentre};
  std::vector<EntryId> local;
  if (!m_selfLeaving) {
    local.push_back(m_self);
  }
  for (const Peer& peer : m_peers) {
    dataCentres.insert(peer.m_dataCentre);
    if (peer.m_dataCentre == m_dataCentre && !peer.m_leaving) {
      local.push_back(peer.m_entry);
    }
  }
  std::sort(local.begin(), local.end());
  const std::size_t atLeast =
    (m_settings.m_minWatchers + dataCentres.size() - 1) / dataCentres.size();
  const std::size_t watchers = std::max(m_settings.m_watchersPerDataCentre, atLeast);
  local.resize(std::min(local.size(), watchers));
  const auto self = std::find(local.begin(), local.end(), m_self);
  m_isWatcher = self != local.end();
  if (m_isWatcher) {
    local.erase(self);
  }
  m_localWatchers = std::move(local);
}

std::vector<EntryId> ConfigurationSync::RandomPeers(bool aLocal, std::size_t aCount) {
  std::vector<EntryId> peers;
  for (const Peer& peer : m_peers) {
    if ((peer.m_dataCentre == m_dataCentre) == aLocal) {
      peers.push_back(peer.m_entry);
    }
  }
  const std::size_t count = std::min(aCount, peers.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + m_random.Below(peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

const ConfigurationSync::Peer* ConfigurationSync::FindPeer(const EntryId& aEntry) const {
  const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                  [&aEntry](const Peer& aPeer) { return aPeer.m_entry == aEntry; });
  return found == m_peers.end() ? nullptr : &*found;
}

} // namespace fennelline
