#pragma once

#include <cstdint>

namespace fennelline {

/// A small seeded generator (splitmix64). The same seed gives the same sequence everywhere.
class Random {
public:
  explicit Random(std::uint64_t aSeed)
    : m_state(aSeed) {}

  std::uint64_t Next();
  /// Uniform in [0, aBound). aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound);
  /// Uniform in [0, 1).
  double Uniform();
  bool Chance(double aProbability) { return Uniform() < aProbability; }
  /// Exponentially distributed with the given mean.
  double Exponential(double aMean);
  /// Standard normal.
  double Normal();

private:
  std::uint64_t m_state;
};

} // namespace fennelline
