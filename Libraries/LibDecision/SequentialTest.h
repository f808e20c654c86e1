#pragma once

#include <array>
#include <cstdint>

namespace fennelline {

enum class ExposureVerdict { GoOn, Advance, Withdraw };

/// What is to be told apart and at which rate of error.
struct SequentialTestPlan {
  /// A version is good with at most this rate of bad outcomes, and bad with at least that one.
  double m_goodRate = 0.02;
  double m_badRate = 0.10;
  /// Chance that a good version is withdrawn over the whole roll-out, however often one looks.
  double m_falseAlarm = 0.01;
  /// Chance that a bad version is advanced at one step.
  double m_falseAdvance = 0.05;
};

/// The rates of bad outcomes, as multiples of the good rate, that the evidence against a version
/// is averaged over: one need not know how bad a bad version is.
constexpr std::array<double, 4> kBadRateMultiples = {2.0, 4.0, 10.0, 20.0};

/// No alternative goes beyond this rate.
constexpr double kMaxBadRate = 0.9;

/// A sequential test on clusters (sessions, or single requests without one), valid under
/// continuous looking: feed each new outcome once, act on the verdict at any time.
///
/// The evidence against is a mixture of likelihood ratios, an e-process for "the rate is at most
/// m_goodRate": whatever the number of looks, it reaches 1 / m_falseAlarm with a chance of at most
/// m_falseAlarm. The evidence for is the likelihood ratio against "the rate is at least m_badRate".
class SequentialTest {
public:
  explicit SequentialTest(SequentialTestPlan aPlan)
    : m_plan(aPlan) {}

  /// Adds clusters and how many of them were bad. A cluster that was added as good and turned out
  /// bad later is added as (0, 1).
  void Add(std::int64_t aClusters, std::int64_t aBad);
  ExposureVerdict Verdict() const;
  /// The next step starts: evidence for going on starts anew, evidence against stays.
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
