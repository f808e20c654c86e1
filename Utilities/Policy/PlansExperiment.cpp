#include "Utilities/Policy/Experiments.h"
namespace fennelline {
Report RunPlans(const ExperimentOptions& aOptions) {
  return Report{.m_seeds = aOptions.m_seeds};
}
} // namespace fennelline
