#pragma once

#include "LibCoordination/Step.h"
#include "Services/Entry/EntryEffect.h"

#include <utility>
#include <variant>
#include <vector>

namespace fennelline {

/// Appends the effects of a component's step to aEffects and returns the step's outcomes.
template<typename Outcome>
std::vector<Outcome> Emit(Step<Outcome> aStep, EntryEffects& aEffects) {
  for (Effect& effect : aStep.m_effects) {
    std::visit([&aEffects](auto& aItem) { aEffects.emplace_back(std::move(aItem)); }, effect);
  }
  return std::move(aStep.m_outcomes);
}

} // namespace fennelline
