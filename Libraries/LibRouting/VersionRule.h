#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>

namespace fennelline {

enum class VersionPreference : std::uint8_t {
  /// No version is rolled out.
  Any,
  /// Nothing goes to the version.
  Never,
  /// Only requests that were chosen for the trial go to it.
  Trial,
  /// Requests go to it, and to others only while none of it can be used.
  Prefer,
};

constexpr NameTable<VersionPreference, 4> kVersionPreferenceNames = {{
  {VersionPreference::Any, "any"},
  {VersionPreference::Never, "never"},
  {VersionPreference::Trial, "trial"},
  {VersionPreference::Prefer, "prefer"},
}};

/// Where a service's requests go with regard to the version that is or was rolled out last.
struct VersionRule {
  VersionPreference m_preference = VersionPreference::Any;
  std::string m_version;
  /// The order is known and its trial has not begun.
  bool m_isPending = false;
  /// Sessions of before the order have ended by then, or were seen since.
  Time m_trialFrom{};
};

/// Part of the exposure bound that a trial uses; retries and chance add to it.
constexpr double kUsedPartOfExposure = 0.6;

/// The share of a service's sessions that try a new version, from the bound on all requests.
constexpr double TrialShare(double aExposedShare) {
  return aExposedShare * kUsedPartOfExposure;
}

/// Whether a session, or a request without one, is in the trial. Every entry agrees by its hash.
constexpr bool IsInTrial(std::uint64_t aHash, double aShare) {
  constexpr std::uint64_t kSteps = 10'000;
  return static_cast<double>(aHash % kSteps) < aShare * static_cast<double>(kSteps);
}

} // namespace fennelline
