#include "LibBase/Random.h"

#include <cmath>
#include <numbers>

namespace fennelline {

std::uint64_t Random::Next() {
  m_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = m_state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

std::uint64_t Random::Below(std::uint64_t aBound) {
  return Next() % aBound;
}

double Random::Uniform() {
  constexpr double kTwoToMinus53 = 0x1.0p-53;
  return static_cast<double>(Next() >> 11U) * kTwoToMinus53;
}

double Random::Exponential(double aMean) {
  return -aMean * std::log1p(-Uniform());
}

double Random::Normal() {
  const double radius = std::sqrt(-2.0 * std::log1p(-Uniform()));
  return radius * std::cos(2.0 * std::numbers::pi * Uniform());
}

} // namespace fennelline
