#pragma once

#include <cstddef>

namespace fennelline {

/// Estimates how many requests of all entries a server has, from the requests of one entry. With
/// many entries, one entry has no request on most servers and one on some, which says little. The
/// estimate therefore lies between the mean load of the servers and the entry's own count there
/// scaled up to all entries.
///
/// Multiplying an entry's own requests by the number of entries made each entry avoid, for every
/// prefix, the servers where it already had a request.
inline double EstimateLoad(double aOwnThere, double aOwnMean, std::size_t aEntries) {
  // Shape of the gamma distribution assumed for the servers' loads: their standard deviation is
  // about half of the mean.
  constexpr double kShape = 4.0;
  // Lower bound of this entry's mean requests per server, so that the estimate is defined when it
  // has none.
  constexpr double kMinMean = 0.05;
  const double entries = static_cast<double>(aEntries);
  const double mean = (aOwnMean > kMinMean ? aOwnMean : kMinMean) * entries;
  return (kShape + aOwnThere) / (kShape / mean + 1.0 / entries);
}

} // namespace fennelline
