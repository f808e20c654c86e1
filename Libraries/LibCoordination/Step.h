#pragma once

#include "LibCoordination/Effect.h"

#include <iterator>
#include <utility>
#include <vector>

namespace fennelline {

/// What one call of a part yields: effects for the shell and outcomes for the reducer above.
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
