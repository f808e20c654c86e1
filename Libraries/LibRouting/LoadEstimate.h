#pragma once

#include <cstddef>

namespace fennelline {

/// How many requests a server has from all entries, estimated from those of one entry. One entry
/// of many has none on most servers and one on some, which says little: the estimate lies between
/// the servers' mean and what the entry's own requests there would mean.
///
/// Answers the load of many entries: multiplying the own requests by the number of entries made
/// each entry avoid, for every prefix, the servers where it had a request.
inline double EstimateLoad(double aOwnThere, double aOwnMean, std::size_t aEntries) {
  // Servers' loads differ from their mean by about half of it: a gamma distribution of this shape.
  constexpr double kShape = 4.0;
  // Where this entry has no request at all, the others are taken to have few.
  constexpr double kLeastMean = 0.05;
  const double entries = static_cast<double>(aEntries);
  const double mean = (aOwnMean > kLeastMean ? aOwnMean : kLeastMean) * entries;
  return (kShape + aOwnThere) / (kShape / mean + 1.0 / entries);
}

} // namespace fennelline
