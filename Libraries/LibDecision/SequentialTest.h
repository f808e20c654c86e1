#pragma once

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

/// A sequential test on clusters (sessions, or single requests without one), valid under
/// continuous looking: feed each new outcome once, act on the verdict at any time.
class SequentialTest {
public:
  explicit SequentialTest(SequentialTestPlan aPlan)
    : m_plan(aPlan) {}

  /// Adds clusters and how many of them were bad.
  void Add(std::int64_t aClusters, std::int64_t aBad);
  ExposureVerdict Verdict() const;
  /// The next step starts: evidence for going on starts anew, evidence against stays.
  void StartStep();
  /// Natural logarithm of the evidence against the version.
  double EvidenceAgainst() const { return m_against; }
  double EvidenceFor() const { return m_for; }

private:
  SequentialTestPlan m_plan;
  double m_against = 0.0;
  double m_for = 0.0;
};

} // namespace fennelline
