#include "LibCoordination/Configuration/ConfigurationSync.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// Minimum time between two calls to the platform, whatever it replies.
constexpr Duration kMinCallSpacing = Milliseconds(20);
/// Minimum time between two calls of an entry that is not a watcher.
constexpr Duration kMinNonWatcherWait = Seconds(1);

TimelineRecord MakeRecord(std::string aName, Revision aRevision) {
  TimelineRecord record;
  record.m_name = std::move(aName);
  record.m_fields.emplace_back("revision", std::to_string(aRevision));
  return record;
}

} // namespace

ConfigurationSync::ConfigurationSync(ConfigurationSettings aSettings, EntryId aSelf,
                                     DataCentre aDataCentre, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre))
  , m_random(aSeed)
  , m_history(m_settings.m_pastDocuments) {}

Step<ConfigurationOutcome> ConfigurationSync::Tick(Time aNow) {
  Outcomes step;
  EnsureStarted(aNow);
  ExpireCall(aNow);
  CallPlatformIfDue(step, aNow);
  FetchIfDue(step, aNow);
  QueryPeersIfDue(step, aNow);
  return step;
}

Step<ConfigurationOutcome> ConfigurationSync::OnPlatformReply(const PlatformReply& aReply,
                                                              Time aNow) {
  const bool isExpected = m_call && aReply.m_call.m_component == Component::Configuration &&
                          aReply.m_call.m_number == m_call->m_number;
  if (!isExpected) {
    return {};
  }
  const Time sent = m_call->m_sentAt;
  m_call.reset();
  m_nextCall = aNow + (m_isWatcher ? m_settings.m_retryWait : WaitBetweenCalls());
  if (aReply.m_status == PlatformStatus::NotFound) {
    // The service may have dropped the history that the watch asked for: read the key next.
    m_watchAfter = 0;
    return {};
  }
  if (aReply.m_status != PlatformStatus::Ok || !IsUpToDate(aReply)) {
    return {};
  }
  if (m_isWatcher) {
    m_nextCall = std::max(aNow, sent + kMinCallSpacing);
  }
  return OnKeys(aReply, sent, aNow);
}

ConfigurationStatus ConfigurationSync::Status(Time aNow) const {
  const bool mayLearnMore =
    !m_peerAnswered && (!m_startedAt || aNow - *m_startedAt < m_settings.m_startWait);
  if (m_current == nullptr || mayLearnMore) {
    return ConfigurationStatus::Starting;
  }
  if (Age(aNow) <= m_settings.m_stalenessLimit) {
    return ConfigurationStatus::Current;
  }
  if (IsDownForAll(aNow)) {
    return ConfigurationStatus::PlatformDownForAll;
  }
  return m_confirmedAt ? ConfigurationStatus::CutOff : ConfigurationStatus::Starting;
}

Duration ConfigurationSync::Age(Time aNow) const {
  return m_confirmedAt ? aNow - *m_confirmedAt : Duration::max();
}

void ConfigurationSync::EnsureStarted(Time aNow) {
  if (m_startedAt) {
    return;
  }
  m_startedAt = aNow;
  for (const DataCentre& dataCentre : m_settings.m_dataCentres) {
    m_dataCentres[dataCentre].m_aliveAt = aNow;
  }
}

Step<ConfigurationOutcome> ConfigurationSync::Adopt(ConfigurationText aDocument, Time aNow) {
  Outcomes step;
  const Revision revision = aDocument.m_revision;
  m_highestSeen = std::max(m_highestSeen, revision);
  if (revision <= NewestRevision()) {
    return step;
  }
  m_watchAfter = std::max(m_watchAfter, revision);
  Result<Configuration> parsed = ParseConfiguration(aDocument.m_text);
  // A document that this program cannot parse is still passed on to peers that can.
  m_history.Add(std::move(aDocument));
  if (parsed.IsError()) {
    step.m_effects.emplace_back(RecordTimeline{MakeRecord("configuration.unreadable", revision)});
    step.m_outcomes.emplace_back(ConfigurationUnreadable{revision, parsed.GetError().m_detail});
  } else {
    Configuration configuration = parsed.Take();
    configuration.m_revision = revision;
    m_current = std::make_shared<const Configuration>(std::move(configuration));
    step.m_effects.emplace_back(RecordTimeline{MakeRecord("configuration.in-force", revision)});
    step.m_outcomes.emplace_back(ConfigurationInForce{m_current});
  }
  Announce(step, aNow);
  return step;
}

void ConfigurationSync::Confirm(Time aAsOf) {
  m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, aAsOf) : aAsOf;
}

void ConfigurationSync::ExpireCall(Time aNow) {
  if (m_call && aNow - m_call->m_sentAt >= m_settings.m_callTimeout) {
    m_call.reset();
    m_nextCall = aNow + (m_isWatcher ? m_settings.m_retryWait : WaitBetweenCalls());
  }
}

bool ConfigurationSync::IsCallWanted(Time aNow) const {
  if (m_call || aNow < m_nextCall) {
    return false;
  }
  // An entry that is not a watcher calls the platform only if watchers and peers do not confirm its
  // revision.
  return m_isWatcher || NewestRevision() == 0 || Age(aNow) > m_settings.m_unreachableAfter;
}

void ConfigurationSync::CallPlatformIfDue(Outcomes& aStep, Time aNow) {
  if (!IsCallWanted(aNow)) {
    return;
  }
  m_call = Call{.m_number = ++m_lastNumber, .m_sentAt = aNow};
  aStep.m_effects.emplace_back(
    CallPlatform{.m_call = {.m_component = Component::Configuration, .m_number = m_lastNumber},
                 .m_request = MakeRequest()});
}

PlatformRequest ConfigurationSync::MakeRequest() const {
  if (m_watchAfter == 0) {
    return GetKey{.m_key = m_settings.m_key};
  }
  const Duration wait = m_isWatcher ? m_settings.m_watchWait : Duration{0};
  return WatchKeys{.m_prefix = m_settings.m_key,
                   .m_after = m_watchAfter,
                   .m_waitMilliseconds = InMilliseconds(wait)};
}

Duration ConfigurationSync::WaitBetweenCalls() {
  const std::int64_t fleet = static_cast<std::int64_t>(m_peers.size()) + 1;
  const Duration wait = std::max(kMinNonWatcherWait, m_settings.m_fleetCallSpacing * fleet);
  const double spread = 0.5 + m_random.Uniform();
  return std::chrono::duration_cast<Duration>(wait * spread);
}

bool ConfigurationSync::IsUpToDate(const PlatformReply& aReply) const {
  // A service restored to an older state, or a lagging replica of it, must not count as the newest.
  Revision reported = aReply.m_revision;
  for (const KeyValue& key : aReply.m_keys) {
    reported = std::max(reported, key.m_revision);
  }
  return reported >= m_highestSeen;
}

Step<ConfigurationOutcome> ConfigurationSync::OnKeys(const PlatformReply& aReply, Time aSent,
                                                     Time aNow) {
  Outcomes step;
  for (const KeyValue& key : aReply.m_keys) {
    if (key.m_key != m_settings.m_key) {
      continue;
    }
    m_watchAfter = std::max(m_watchAfter, key.m_revision);
    // A removed key has an empty value. The last document stays in force.
    if (!key.m_value.empty()) {
      step.Append(Adopt({.m_revision = key.m_revision, .m_text = key.m_value}, aNow));
    }
  }
  if (NewestRevision() == 0) {
    return step;
  }
  // The service is at m_highestSeen or beyond and has reported all changes, so nothing newer
  // exists.
  m_highestSeen = NewestRevision();
  Confirm(aSent);
  return step;
}

bool ConfigurationSync::IsDownForAll(Time aNow) const {
  if (NewestRevision() < m_highestSeen) {
    return false;
  }
  const std::uint32_t known = CountDataCentres(aNow);
  std::size_t confirmed = 0;
  for (const auto& [dataCentre, seen] : m_dataCentres) {
    const bool isFresh =
      seen.m_confirmedDownAt && aNow - *seen.m_confirmedDownAt <= m_settings.m_stalenessLimit;
    if (isFresh && seen.m_knownDataCentres > known) {
      return false;
    }
    // This entry itself speaks for its own data centre.
    const bool isNeeded = dataCentre != m_dataCentre && IsRemembered(dataCentre, seen, aNow);
    if (!isFresh && isNeeded) {
      return false;
    }
    confirmed += isFresh ? 1 : 0;
  }
  return confirmed > 0;
}

bool ConfigurationSync::IsRemembered(const DataCentre& aName, const DataCentreState& aSeen,
                                     Time aNow) const {
  return aName == m_dataCentre || aNow - aSeen.m_aliveAt <= m_settings.m_dataCentreRetention;
}

std::uint32_t ConfigurationSync::CountDataCentres(Time aNow) const {
  std::uint32_t count = m_dataCentres.contains(m_dataCentre) ? 0 : 1;
  for (const auto& [dataCentre, seen] : m_dataCentres) {
    count += IsRemembered(dataCentre, seen, aNow) ? 1 : 0;
  }
  return count;
}

} // namespace fennelline
