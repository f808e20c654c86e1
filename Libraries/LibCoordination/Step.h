#pragma once

#include "LibCoordination/Effect.h"

#include <iterator>
#include <utility>
#include <vector>

namespace fennelline {

/// The result of one call of a component: effects for the shell to carry out and outcomes for the
/// enclosing reducer.
template<typename Outcome>
struct Step {
  Effects m_effects;
  std::vector<Outcome> m_outcomes;

  void Append(Step aOther) {
    std::move(aOther.m_effects.begin(), aOther.m_effects.end(), std::back_inserter(m_effects));
    std::move(aOther.m_outcomes.begin(), aOther.m_outcomes.end(), std::back_inserter(m_outcomes));
  }
};

} // namespace fennelline
