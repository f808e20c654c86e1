#pragma once

#include "LibBase/Random.h"
#include "LibContract/EntrySettings.h"
#include "LibCoordination/Claims/ClaimTable.h"
#include "LibCoordination/Configuration/ConfigurationSync.h"
#include "LibCoordination/Membership/Membership.h"
#include "LibCoordination/Observation/CrashHistory.h"
#include "LibCoordination/Observation/EvidenceCounter.h"
#include "LibCoordination/Session/SessionPins.h"
#include "LibCoordination/Session/SessionTokens.h"
#include "LibCoordination/Spend/SpendSlices.h"
#include "LibCoordination/Usage/UsageLedger.h"
#include "LibDecision/Admission.h"
#include "LibDecision/Estimates.h"
#include "LibDecision/ExposureGate.h"
#include "LibDecision/PrefixIndex.h"
#include "LibDecision/RetryBudget.h"
#include "Services/Entry/Backends/BackendDirectory.h"

#include <cstdint>
#include <map>
#include <memory>

namespace fennelline {

/// The parameters with which an entry starts.
struct EntryStart {
  EntrySettings m_settings;
  /// "NAME#INCARNATION", unique for each run of the process.
  EntryId m_self;
  /// The addresses of the bound sockets, as announced to peers.
  MemberDigest m_addresses;
  std::uint64_t m_seed = 0;
};

/// Requests that this entry sent to a version in the first step of its roll-out, and how many of
/// their answers have been judged.
struct ExposureCount {
  std::int64_t m_sent = 0;
  std::int64_t m_judged = 0;
};

/// The components of an entry, with all its state except that of the open requests.
struct EntryParts {
  explicit EntryParts(const EntryStart& aStart);

  EntrySettings m_settings;
  EntryId m_self;
  Random m_random;
  Membership m_membership;
  ConfigurationSync m_configuration;
  ClaimTable m_claims;
  UsageLedger m_usage;
  SpendSlices m_spend;
  SessionTokens m_sessionTokens;
  CrashHistory m_crashes;
  EvidenceCounter m_evidence;
  BackendDirectory m_backends;
  PrefixIndex m_prefixes;
  EstimateTable m_estimates;
  AdmissionController m_admission;
  RetryBudget m_retryBudget;
  /// By version, for the target versions of roll-outs in their first step.
  std::map<std::string, ExposureCount> m_exposures;
  /// Number of live entries, including this one.
  std::size_t m_liveEntries = 1;
  /// Moving average of the rating service's response time.
  Duration m_judgeTime = Milliseconds(150);
  /// Set once a stop was requested; new requests are rejected from m_refuseFrom on.
  bool m_stopping = false;
  Time m_refuseFrom = kNever;
};

} // namespace fennelline
