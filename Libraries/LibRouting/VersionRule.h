#pragma once

#include "LibBase/NameTable.h"

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
};

} // namespace fennelline
