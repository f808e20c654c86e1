#pragma once

#include <array>
#include <cstdint>

namespace fennelline {

enum class ExposureVerdict { Continue, Advance, Withdraw };

/// Hypotheses to distinguish and the allowed error rates.
struct SequentialTestPlan {
  /// A version is good if its rate of bad outcomes is at most m_goodRate, and bad if it is at least
  /// m_badRate.
  double m_goodRate = 0.02;
  double m_badRate = 0.10;
  /// Probability that a good version is withdrawn during the whole roll-out, however often the
  /// verdict is read.
  double m_falseAlarm = 0.01;
  /// Probability that a bad version is advanced at one step.
  double m_falseAdvance = 0.05;
};

/// Rates of bad outcomes that a bad version may have, as multiples of m_goodRate. The evidence
/// against a version is averaged over them, since its actual rate is unknown.
constexpr std::array<double, 4> kBadRateMultiples = {2.0, 4.0, 10.0, 20.0};

/// Upper bound of the alternative rates.
constexpr double kMaxBadRate = 0.9;

/// A sequential test on clusters (sessions, or single requests without one) that stays valid under
/// continuous monitoring: add each new outcome once and act on the verdict at any time.
///
/// The evidence against is a mixture of likelihood ratios, an e-process for "the rate is at most
/// m_goodRate": however often it is read, it reaches 1 / m_falseAlarm with a probability of at most
/// m_falseAlarm. The evidence for is the likelihood ratio against "the rate is at least m_badRate".
class SequentialTest {
public:
  explicit SequentialTest(SequentialTestPlan aPlan)
    : m_plan(aPlan) {}

  /// Adds clusters and the number of bad ones among them. A cluster that was added as good and
  /// later turned out bad is corrected by Add(0, 1): no further cluster, one more bad.
  void Add(std::int64_t aClusters, std::int64_t aBad);
  ExposureVerdict Verdict() const;
  /// Starts the next exposure step. The evidence that the version is good starts again at zero; the
  /// evidence that it is bad is kept.
  void StartStep();
  /// Natural logarithm of the evidence against the version.
  double EvidenceAgainst() const;
  double EvidenceFor() const { return m_for; }

private:
  SequentialTestPlan m_plan;
  /// Logarithms of the likelihood ratios, one for each of kBadRateMultiples.
  std::array<double, kBadRateMultiples.size()> m_against{};
  double m_for = 0.0;
};

} // namespace fennelline
