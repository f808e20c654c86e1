#pragma once

#include "LibBase/Time.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

/// A sum in which each part loses its weight exponentially with its age.
class DecayingSum {
public:
  explicit DecayingSum(Duration aDecay)
    : m_decay(aDecay) {}

  void Add(double aAmount, Time aNow) {
    m_sum = Value(aNow) + aAmount;
    m_asOf = std::max(m_asOf, aNow);
  }
  double Value(Time aNow) const {
    return aNow > m_asOf ? m_sum * std::exp(-InSeconds(aNow - m_asOf) / InSeconds(m_decay)) : m_sum;
  }
  double PerSecond(Time aNow) const { return Value(aNow) / InSeconds(m_decay); }

private:
  Duration m_decay;
  double m_sum = 0.0;
  Time m_asOf{};
};

} // namespace fennelline
