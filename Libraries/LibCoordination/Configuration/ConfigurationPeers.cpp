#include "LibCoordination/Configuration/ConfigurationSync.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelline {

namespace {

/// Sent as the age of an entry that has had no confirmation yet.
constexpr std::int64_t kNeverConfirmed = -1;
/// A question without an answer is forgotten after this time.
constexpr Duration kQuestionLife = Seconds(5);

} // namespace

Step<ConfigurationOutcome> ConfigurationSync::OnMessage(const EntryId& aFrom,
                                                        const Message& aMessage, Time aNow) {
  Begin(aNow);
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
  Begin(aNow);
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
    m_dataCentres[member.m_dataCentre].m_alive = aNow;
  }
  ChooseWatchers();
  return {};
}

Step<ConfigurationOutcome> ConfigurationSync::OnPeerRevision(const EntryId& aFrom,
                                                             Revision aRevision, Time aNow) {
  Outcomes step;
  Begin(aNow);
  HearOf(aFrom, aRevision);
  FetchIfDue(step, aNow);
  return step;
}

Step<ConfigurationOutcome> ConfigurationSync::OnOffer(const EntryId& aFrom,
                                                      const ConfigurationOffer& aOffer, Time aNow) {
  Outcomes step;
  HearOf(aFrom, aOffer.m_revision);
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
  return Take({.m_revision = aDocument.m_revision, .m_text = aDocument.m_text}, aNow);
}

Step<ConfigurationOutcome> ConfigurationSync::OnDelta(const EntryId& aFrom,
                                                      const ConfigurationDelta& aDelta, Time aNow) {
  if (aDelta.m_revision <= NewestRevision()) {
    return {};
  }
  std::optional<ConfigurationText> document = m_history.Resolve(aDelta);
  if (document) {
    return Take(*std::move(document), aNow);
  }
  Outcomes step;
  step.m_effects.emplace_back(
    SendMessage{.m_to = aFrom, .m_message = ConfigurationRequest{.m_after = 0}});
  return step;
}

void ConfigurationSync::OnAnswer(const EntryId& aFrom, const ConfigurationOffer& aOffer,
                                 Time aNow) {
  const auto found = m_questions.find(aOffer.m_number);
  if (found == m_questions.end() || found->second.m_peer != aFrom) {
    return;
  }
  const Time asked = found->second.m_asked;
  m_questions.erase(found);
  const bool isComplete = aOffer.m_revision <= NewestRevision();
  m_heardPeer = m_heardPeer || isComplete;
  if (!isComplete || aOffer.m_platformAgeMilliseconds == kNeverConfirmed) {
    return;
  }
  // Whole milliseconds are sent: the part cut off may be as long as one.
  const Duration age = Milliseconds(aOffer.m_platformAgeMilliseconds + 1);
  Confirm(asked - age);
  const Peer* peer = FindPeer(aFrom);
  if (peer == nullptr) {
    return;
  }
  DataCentreSeen& seen = m_dataCentres[peer->m_dataCentre];
  seen.m_alive = aNow;
  seen.m_knownThere = aOffer.m_dataCentres;
  if (age >= m_settings.m_outOfReachAfter) {
    seen.m_confirmedDown = asked;
  } else {
    seen.m_confirmedDown.reset();
  }
}

void ConfigurationSync::HearOf(const EntryId& aFrom, Revision aRevision) {
  m_highestHeard = std::max(m_highestHeard, aRevision);
  if (aRevision > NewestRevision()) {
    m_newerAt = aFrom;
  }
}

void ConfigurationSync::FetchIfDue(Outcomes& aStep, Time aNow) {
  const bool isBehind = NewestRevision() < m_highestHeard && !m_newerAt.empty();
  if (!isBehind || aNow < m_nextFetch) {
    return;
  }
  m_nextFetch = aNow + m_settings.m_retryWait;
  const ConfigurationRequest request{.m_after = NewestRevision()};
  aStep.m_effects.emplace_back(SendMessage{.m_to = m_newerAt, .m_message = request});
}

void ConfigurationSync::AskPeersIfDue(Outcomes& aStep, Time aNow) {
  if (m_peers.empty() || aNow < m_nextAsk) {
    return;
  }
  std::erase_if(m_questions, [aNow](const std::pair<const std::uint64_t, Question>& aItem) {
    return aNow - aItem.second.m_asked > kQuestionLife;
  });
  m_nextAsk = aNow + m_settings.m_askInterval;
  const Duration age = Age(aNow);
  if (age > m_settings.m_outOfReachAfter && aNow >= m_nextAskAll) {
    m_nextAskAll = aNow + m_settings.m_askAllInterval;
    AskEachDataCentre(aStep, aNow);
    return;
  }
  // A watcher hears from the platform itself.
  const Duration askAfter = m_watcher ? m_settings.m_outOfReachAfter : m_settings.m_askAfter;
  if (m_heardPeer && age < askAfter) {
    return;
  }
  const bool askWatcher = m_askWatcher && !m_watchersHere.empty();
  m_askWatcher = !m_askWatcher;
  if (askWatcher) {
    Ask(aStep, m_watchersHere[m_random.Below(m_watchersHere.size())], aNow);
  } else {
    Ask(aStep, m_peers[m_random.Below(m_peers.size())].m_entry, aNow);
  }
}

void ConfigurationSync::AskEachDataCentre(Outcomes& aStep, Time aNow) {
  std::map<DataCentre, std::vector<EntryId>> peers;
  for (const Peer& peer : m_peers) {
    peers[peer.m_dataCentre].push_back(peer.m_entry);
  }
  for (const auto& [dataCentre, entries] : peers) {
    Ask(aStep, entries[m_random.Below(entries.size())], aNow);
  }
}

void ConfigurationSync::Ask(Outcomes& aStep, const EntryId& aPeer, Time aNow) {
  ConfigurationOffer question = MakeOffer(aNow);
  question.m_number = ++m_lastNumber;
  question.m_wantsOffer = true;
  m_questions[question.m_number] = Question{.m_peer = aPeer, .m_asked = aNow};
  aStep.m_effects.emplace_back(SendMessage{.m_to = aPeer, .m_message = question});
}

void ConfigurationSync::Announce(Outcomes& aStep, Time aNow) {
  std::vector<EntryId> receivers = RandomPeers(true, m_settings.m_nearFanOut);
  const std::vector<EntryId> far = RandomPeers(false, m_settings.m_farFanOut);
  receivers.insert(receivers.end(), far.begin(), far.end());
  for (const EntryId& receiver : receivers) {
    aStep.m_effects.emplace_back(SendMessage{.m_to = receiver, .m_message = MakeOffer(aNow)});
  }
}

ConfigurationOffer ConfigurationSync::MakeOffer(Time aNow) const {
  ConfigurationOffer offer;
  offer.m_revision = NewestRevision();
  offer.m_dataCentres = CountDataCentres(aNow);
  offer.m_platformAgeMilliseconds =
    m_confirmed ? InMilliseconds(aNow - *m_confirmed) : kNeverConfirmed;
  return offer;
}

void ConfigurationSync::ChooseWatchers() {
  std::set<DataCentre> dataCentres = {m_dataCentre};
  std::vector<EntryId> here;
  if (!m_selfLeaving) {
    here.push_back(m_self);
  }
  for (const Peer& peer : m_peers) {
    dataCentres.insert(peer.m_dataCentre);
    if (peer.m_dataCentre == m_dataCentre && !peer.m_leaving) {
      here.push_back(peer.m_entry);
    }
  }
  std::sort(here.begin(), here.end());
  const std::size_t atLeast =
    (m_settings.m_leastWatchers + dataCentres.size() - 1) / dataCentres.size();
  const std::size_t watchers = std::max(m_settings.m_watchersPerDataCentre, atLeast);
  here.resize(std::min(here.size(), watchers));
  const auto self = std::find(here.begin(), here.end(), m_self);
  m_watcher = self != here.end();
  if (m_watcher) {
    here.erase(self);
  }
  m_watchersHere = std::move(here);
}

std::vector<EntryId> ConfigurationSync::RandomPeers(bool aNear, std::size_t aCount) {
  std::vector<EntryId> peers;
  for (const Peer& peer : m_peers) {
    if ((peer.m_dataCentre == m_dataCentre) == aNear) {
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
