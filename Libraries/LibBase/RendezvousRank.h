#pragma once

#include "LibBase/Random.h"

#include <cstdint>

namespace fennelline {

/// Rank of a candidate for a key, both given by hashes, in rendezvous hashing: all entries compute
/// the same, and each key has an order of its own.
inline std::uint64_t RendezvousRank(std::uint64_t aKey, std::uint64_t aCandidate) {
  return Random(aKey ^ aCandidate).Next();
}

} // namespace fennelline
