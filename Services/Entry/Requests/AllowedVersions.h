#pragma once

#include "LibContract/Configuration.h"

#include <string>
#include <vector>

namespace fennelline {

/// The inputs of a request to the version selection.
struct VersionSelector {
  /// A model, a version, or empty for any that the contract allows.
  std::string m_model;
  /// The version that the request's session is pinned to, or empty if none yet.
  std::string m_pinned;
  /// Uniform in [0, 1) and fixed for a session or request key. A roll-out at share S sends requests
  /// with a draw below S to its new version.
  double m_rolloutDraw = 0.0;
};

/// The versions on which a request may currently run, according to the contract, the kind, the
/// version states and the roll-outs. May be empty.
std::vector<const ModelVersion*> AllowedVersions(const Configuration& aConfiguration,
                                                 const Contract& aContract,
                                                 const RequestKind& aKind,
                                                 const VersionSelector& aSelector);

/// Repeats the version check just before sending, against the newest known configuration. aPinned
/// says whether the request belongs to a session pinned to this version.
bool MaySendTo(const Configuration& aConfiguration, const std::string& aCustomer,
               const std::string& aKind, const std::string& aVersion, bool aPinned);

} // namespace fennelline
