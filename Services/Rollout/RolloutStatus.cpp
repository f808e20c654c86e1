#include "Services/Rollout/RolloutStatus.h"

#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fennelline {

using nlohmann::json;

namespace {

json RolloutsOf(const RolloutController& aController) {
  json rollouts = json::array();
  if (!aController.CurrentConfiguration()) {
    return rollouts;
  }
  for (const Rollout& rollout : aController.CurrentConfiguration()->m_rollouts) {
    const ClusterCount evidence = aController.Evidence(rollout.m_to);
    rollouts.push_back({{"name", rollout.m_name},
                        {"from", rollout.m_from},
                        {"to", rollout.m_to},
                        {"state", NameOf(kRolloutStateNames, rollout.m_state)},
                        {"step", rollout.m_step},
                        {"reason", rollout.m_reason},
                        {"clusters", evidence.m_clusters},
                        {"bad_clusters", evidence.m_bad}});
  }
  return rollouts;
}

void Set(prometheus::Registry& aRegistry, const std::string& aName, const std::string& aHelp,
         double aValue, const prometheus::Labels& aLabels = {}) {
  prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add(aLabels).Set(aValue);
}

} // namespace

std::string WriteRolloutStatus(const RolloutController& aController, Time aNow) {
  json engines = json::array();
  for (const EngineLoad& engine : aController.Engines()) {
    engines.push_back({{"engine", engine.m_engine}, {"versions", engine.m_versions}});
  }
  const json status = {{"holds_lease", aController.IsHolder(aNow)},
                       {"holder", aController.Holder()},
                       {"fence", aController.Fence().value_or(0)},
                       {"revision", aController.CurrentConfiguration()
                                      ? aController.CurrentConfiguration()->m_revision
                                      : 0},
                       {"open_orders", aController.OpenOrders()},
                       {"rollouts", RolloutsOf(aController)},
                       {"engines", engines}};
  return status.dump();
}

std::string WriteRolloutMetrics(const RolloutController& aController, Time aNow) {
  prometheus::Registry registry;
  Set(registry, "fennelline_rollout_holds_lease", "1 while this process drives the roll-outs",
      aController.IsHolder(aNow) ? 1.0 : 0.0);
  Set(registry, "fennelline_rollout_open_orders", "Orders to engines without an answer yet",
      static_cast<double>(aController.OpenOrders()));
  Set(registry, "fennelline_rollout_engines_read", "Engines whose versions are known",
      static_cast<double>(aController.Engines().size()));
  if (aController.CurrentConfiguration()) {
    for (const Rollout& rollout : aController.CurrentConfiguration()->m_rollouts) {
      Set(registry, "fennelline_rollout_share", "Share of the new version",
          rollout.NewVersionShare(), {{"rollout", rollout.m_name}});
    }
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace fennelline
