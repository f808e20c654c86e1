#include "Services/Entry/EntryParts.h"

namespace fennelline {

namespace {

/// Extra attempts (retries and hedges) as a share of the requests, and the burst size of the
/// budget.
constexpr double kExtraAttemptShare = 0.1;
constexpr double kExtraAttemptBurst = 10.0;

/// The share of sessions whose answers are rated while no roll-out is running.
constexpr double kRatedShare = 0.1;

std::map<DataCentre, Duration> DistancesOf(const EntrySettings& aSettings) {
  return {aSettings.m_distances.begin(), aSettings.m_distances.end()};
}

MemberDigest SelfDigest(const EntryStart& aStart) {
  MemberDigest digest = aStart.m_addresses;
  digest.m_entry = aStart.m_self;
  digest.m_dataCentre = aStart.m_settings.m_dataCentre;
  return digest;
}

/// Lists all configured data centres, whether or not one of their entries has been seen.
ConfigurationSettings ConfigurationSettingsOf(const EntrySettings& aSettings) {
  ConfigurationSettings settings;
  settings.m_dataCentres = {aSettings.m_dataCentre};
  for (const std::pair<std::string, Duration>& distance : aSettings.m_distances) {
    settings.m_dataCentres.push_back(distance.first);
  }
  return settings;
}

ClaimSettings ClaimSettingsOf(const EntrySettings& aSettings) {
  ClaimSettings settings;
  settings.m_retryWindow = aSettings.m_retryWindow;
  return settings;
}

/// Copies of a dead entry's records are settled soon, since losing another entry could lose them.
UsageSettings EntryUsageSettings() {
  UsageSettings settings;
  settings.m_deadDelay = Seconds(1);
  return settings;
}

/// The first budget slice covers a burst of long requests, so that few wait for another slice.
SpendSettings EntrySpendSettings() {
  constexpr std::int64_t kMinSliceMicros = 1'000'000;
  SpendSettings settings;
  settings.m_minSliceMicros = kMinSliceMicros;
  return settings;
}

} // namespace

EntryParts::EntryParts(const EntryStart& aStart)
  : m_settings(aStart.m_settings)
  , m_self(aStart.m_self)
  , m_random(aStart.m_seed)
  , m_membership(MembershipSettings{}, SelfDigest(aStart), m_random.Next())
  , m_configuration(ConfigurationSettingsOf(m_settings), m_self, m_settings.m_dataCentre,
                    m_random.Next())
  , m_claims(ClaimSettingsOf(m_settings), m_self, m_settings.m_dataCentre, m_random.Next())
  , m_usage(EntryUsageSettings(), m_self, m_settings.m_dataCentre, m_random.Next())
  , m_spend(EntrySpendSettings(), m_self, m_random.Next())
  , m_sessionTokens(m_settings.m_sessionKeys)
  , m_crashes(CrashHistorySettings{}, m_random.Next())
  , m_evidence(kRatedShare)
  , m_backends(m_settings.m_dataCentre, DistancesOf(m_settings))
  , m_retryBudget(kExtraAttemptShare, kExtraAttemptBurst) {}

} // namespace fennelline
