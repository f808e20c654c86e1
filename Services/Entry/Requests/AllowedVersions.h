#pragma once

#include "LibContract/Configuration.h"

#include <string>
#include <vector>

namespace fennelline {

/// What a request asks of the versions.
struct VersionSelector {
  /// A model, a version, or empty for any that the contract allows.
  std::string m_model;
  /// The version of the request's session, or empty where it has none yet.
  std::string m_pinned;
  /// Uniform in [0, 1); fixed for a session and for a request key. A roll-out at share S sends
  /// those below S to its new version.
  double m_rolloutDraw = 0.0;
};

/// The versions a request may run on now, by the contract, the kind, the versions' states and the
/// roll-outs. Empty where there is none.
std::vector<const ModelVersion*> AllowedVersions(const Configuration& aConfiguration,
                                                 const Contract& aContract,
                                                 const RequestKind& aKind,
                                                 const VersionSelector& aSelector);

/// The one check made again at the moment of sending, against the newest configuration known.
/// aPinned tells that the request belongs to a session that began on this version.
bool MaySendTo(const Configuration& aConfiguration, const std::string& aCustomer,
               const std::string& aKind, const std::string& aVersion, bool aPinned);

} // namespace fennelline
