#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

enum class VersionPreference : std::uint8_t {
  /// No roll-out is active.
  Any,
  /// No request goes to the version.
  Never,
  /// Only requests selected for the canary go to it.
  Trial,
  /// All requests go to it; other versions are used only if none of its servers is usable.
  Prefer,
};

constexpr NameTable<VersionPreference, 4> kVersionPreferenceNames = {{
  {VersionPreference::Any, "any"},
  {VersionPreference::Never, "never"},
  {VersionPreference::Trial, "trial"},
  {VersionPreference::Prefer, "prefer"},
}};

/// What a server's version is to the roll-outs of its service.
enum class VersionRole : std::uint8_t {
  /// The version of the current or last roll-out.
  Target,
  /// It served before the roll-outs, or has succeeded in one.
  Accepted,
  /// It was rolled back, or its roll-out was replaced before it had succeeded.
  Failed,
};

/// How a service's requests are routed with regard to the version of the current or last roll-out.
struct VersionRule {
  VersionPreference m_preference = VersionPreference::Any;
  std::string m_version;
  /// Versions that failed in earlier roll-outs. Their servers may still run.
  std::vector<std::string> m_failedVersions;
  /// The order is known, but its canary phase has not started.
  bool m_isPending = false;
  /// Start of the canary phase. By then sessions from before the order have ended or have been
  /// seen.
  Time m_trialFrom{};
  /// End of the ramp, in which a part of the requests still goes to the version before although the
  /// new one is preferred.
  Time m_rampUntil{};
};

inline VersionRole RoleOf(const VersionRule& aRule, const std::string& aVersion) {
  if (aRule.m_preference != VersionPreference::Any && aVersion == aRule.m_version) {
    return VersionRole::Target;
  }
  const bool hasFailed = std::find(aRule.m_failedVersions.begin(), aRule.m_failedVersions.end(),
                                   aVersion) != aRule.m_failedVersions.end();
  return hasFailed ? VersionRole::Failed : VersionRole::Accepted;
}

/// Share of a service's sessions routed to the new version in the ramp.
constexpr double kRampShare = 0.3;

/// Duration of the ramp between the canary and the move of all requests. aWithin: time that the
/// order allows.
constexpr Duration RampTime(Duration aWithin) {
  constexpr Duration kMaxRampTime = Milliseconds(3500);
  constexpr std::int64_t kRampPercent = 22;
  return std::min(kMaxRampTime, aWithin * kRampPercent / 100);
}

/// Share of the exposure limit that the canary uses; retries and random variation add to it.
constexpr double kUsedShareOfExposure = 0.6;

/// Share of a service's sessions routed to the canary, derived from the limit on all requests.
constexpr double TrialShare(double aExposedShare) {
  return aExposedShare * kUsedShareOfExposure;
}

/// Whether a session, or a request without one, is in the canary. All entries agree, since it
/// depends on the hash only.
constexpr bool IsInTrial(std::uint64_t aHash, double aShare) {
  constexpr std::uint64_t kSteps = 10'000;
  return static_cast<double>(aHash % kSteps) < aShare * static_cast<double>(kSteps);
}

} // namespace fennelline
