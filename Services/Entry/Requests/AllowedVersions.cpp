#include "Services/Entry/Requests/AllowedVersions.h"

namespace fennelline {

namespace {

bool Matches(const VersionSelector& aSelector, const ModelVersion& aVersion) {
  if (!aSelector.m_pinned.empty()) {
    return aSelector.m_pinned == aVersion.m_name;
  }
  return aSelector.m_model.empty() || aSelector.m_model == aVersion.m_name ||
         aSelector.m_model == aVersion.m_model;
}

bool StateAllows(const ModelVersion& aVersion, bool aPinned) {
  switch (aVersion.m_state) {
    case VersionState::Serving:
      return true;
    case VersionState::Draining:
      return aPinned;
    case VersionState::Revoked:
      return false;
  }
  return false;
}

/// For requests without a pinned version, a roll-out decides between its two versions.
bool RolloutAllows(const Configuration& aConfiguration, const ModelVersion& aVersion,
                   double aDraw) {
  const Rollout* rollout = FindActiveRollout(aConfiguration, aVersion.m_model);
  if (rollout == nullptr) {
    return true;
  }
  const bool drawnNew = aDraw < rollout->NewVersionShare();
  if (aVersion.m_name == rollout->m_to) {
    return drawnNew;
  }
  return aVersion.m_name != rollout->m_from || !drawnNew;
}

} // namespace

std::vector<const ModelVersion*> AllowedVersions(const Configuration& aConfiguration,
                                                 const Contract& aContract,
                                                 const RequestKind& aKind,
                                                 const VersionSelector& aSelector) {
  std::vector<const ModelVersion*> allowed;
  const bool pinned = !aSelector.m_pinned.empty();
  for (const ModelVersion& version : aConfiguration.m_versions) {
    const bool named = !pinned && aSelector.m_model == version.m_name;
    const bool rolledOut =
      pinned || named || RolloutAllows(aConfiguration, version, aSelector.m_rolloutDraw);
    if (Matches(aSelector, version) && IsAllowed(aContract, aKind, version) &&
        StateAllows(version, pinned) && rolledOut) {
      allowed.push_back(&version);
    }
  }
  return allowed;
}

bool MaySendTo(const Configuration& aConfiguration, const std::string& aCustomer,
               const std::string& aKind, const std::string& aVersion, bool aPinned) {
  const Contract* contract = FindContract(aConfiguration, aCustomer);
  const RequestKind* kind = contract == nullptr ? nullptr : FindKind(*contract, aKind);
  const ModelVersion* version = FindVersion(aConfiguration, aVersion);
  if (kind == nullptr || version == nullptr) {
    return false;
  }
  return IsAllowed(*contract, *kind, *version) && StateAllows(*version, aPinned);
}

} // namespace fennelline
