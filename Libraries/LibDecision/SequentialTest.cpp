#include "LibDecision/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Logarithm of the likelihood ratio of the rate aNumerator to the rate aDenominator.
double LogRatio(std::int64_t aClusters, std::int64_t aBad, double aNumerator, double aDenominator) {
  const auto bad = static_cast<double>(aBad);
  const auto good = static_cast<double>(aClusters - aBad);
  return bad * std::log(aNumerator / aDenominator) +
         good * std::log((1.0 - aNumerator) / (1.0 - aDenominator));
}

} // namespace

void SequentialTest::Add(std::int64_t aClusters, std::int64_t aBad) {
  for (std::size_t index = 0; index < kBadRateMultiples.size(); ++index) {
    const double rate = std::min(kMaxBadRate, m_plan.m_goodRate * kBadRateMultiples[index]);
    m_against[index] += LogRatio(aClusters, aBad, rate, m_plan.m_goodRate);
  }
  m_for += LogRatio(aClusters, aBad, m_plan.m_goodRate, m_plan.m_badRate);
}

double SequentialTest::EvidenceAgainst() const {
  const double greatest = *std::max_element(m_against.begin(), m_against.end());
  double sum = 0.0;
  for (const double evidence : m_against) {
    sum += std::exp(evidence - greatest);
  }
  return greatest + std::log(sum / static_cast<double>(m_against.size()));
}

ExposureVerdict SequentialTest::Verdict() const {
  if (EvidenceAgainst() >= -std::log(m_plan.m_falseAlarm)) {
    return ExposureVerdict::Withdraw;
  }
  if (m_for >= -std::log(m_plan.m_falseAdvance)) {
    return ExposureVerdict::Advance;
  }
  return ExposureVerdict::Continue;
}

void SequentialTest::StartStep() {
  m_for = 0.0;
}

} // namespace fennelline
