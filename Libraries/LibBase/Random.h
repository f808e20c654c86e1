#pragma once

#include <cstdint>

namespace fennelline {

/// A seeded pseudo-random number generator (splitmix64). A seed yields the same sequence on every
/// platform.
class Random {
public:
  explicit Random(std::uint64_t aSeed)
    : m_state(aSeed) {}

  std::uint64_t Next();
  /// Returns a uniform integer in [0, aBound). aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound);
  /// Returns a uniform number in [0, 1).
  double Uniform();
  bool Chance(double aProbability) { return Uniform() < aProbability; }
  /// Returns an exponentially distributed number with the given mean.
  double Exponential(double aMean);
  /// Returns a number with the standard normal distribution.
  double Normal();

private:
  std::uint64_t m_state;
};

} // namespace fennelline
