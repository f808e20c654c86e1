#include "LibContract/Configuration.h"

#include <algorithm>

namespace fennelline {

namespace {

bool NamesVersion(const std::vector<std::string>& aNames, const ModelVersion& aVersion) {
  return std::any_of(aNames.begin(), aNames.end(), [&aVersion](const std::string& aName) {
    return aName == aVersion.m_name || aName == aVersion.m_model;
  });
}

template<typename Item, typename Matches>
const Item* FindItem(const std::vector<Item>& aItems, const Matches& aMatches) {
  const auto found = std::find_if(aItems.begin(), aItems.end(), aMatches);
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

double Rollout::NewVersionShare() const {
  if (m_state == RolloutState::Done) {
    return 1.0;
  }
  if (m_state == RolloutState::RolledBack || m_step >= m_stepPercents.size()) {
    return 0.0;
  }
  constexpr double kPercent = 100.0;
  return m_stepPercents[m_step] / kPercent;
}

const ModelVersion* FindVersion(const Configuration& aConfiguration, const std::string& aName) {
  return FindItem(aConfiguration.m_versions,
                  [&aName](const ModelVersion& aVersion) { return aVersion.m_name == aName; });
}

const Contract* FindContract(const Configuration& aConfiguration, const std::string& aCustomer) {
  return FindItem(aConfiguration.m_contracts, [&aCustomer](const Contract& aContract) {
    return aContract.m_customer == aCustomer;
  });
}

const RequestKind* FindKind(const Contract& aContract, const std::string& aName) {
  return FindItem(aContract.m_kinds,
                  [&aName](const RequestKind& aKind) { return aKind.m_name == aName; });
}

const ServiceOperation* FindOperation(const Configuration& aConfiguration,
                                      const std::string& aService, const std::string& aOperation) {
  const PlainService* service =
    FindItem(aConfiguration.m_services,
             [&aService](const PlainService& aItem) { return aItem.m_name == aService; });
  if (service == nullptr) {
    return nullptr;
  }
  return FindItem(service->m_operations, [&aOperation](const ServiceOperation& aItem) {
    return aItem.m_name == aOperation;
  });
}

const Rollout* FindActiveRollout(const Configuration& aConfiguration, const std::string& aModel) {
  return FindItem(aConfiguration.m_rollouts, [&aModel](const Rollout& aRollout) {
    const bool active =
      aRollout.m_state == RolloutState::Running || aRollout.m_state == RolloutState::Paused;
    return active && aRollout.m_model == aModel;
  });
}

bool IsAllowed(const Contract& aContract, const RequestKind& aKind, const ModelVersion& aVersion) {
  const bool kindAllows = aKind.m_models.empty() || NamesVersion(aKind.m_models, aVersion);
  return kindAllows && NamesVersion(aContract.m_models, aVersion);
}

std::string ModelOf(const std::string& aVersion) {
  return aVersion.substr(0, aVersion.find('@'));
}

} // namespace fennelline
