#include "LibRouting/SlotShare.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fennelline {

namespace {

/// Mixes two hashes (the finalizer of SplitMix64).
std::uint64_t Weight(std::uint64_t aServer, std::uint64_t aEntry) {
  std::uint64_t mixed = aServer ^ (aEntry * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace

int ShareOfSlots(int aSlots, std::uint64_t aServer, std::uint64_t aSelf,
                 std::span<const std::uint64_t> aEntries) {
  const int entries = std::max(1, static_cast<int>(aEntries.size()));
  const std::pair<std::uint64_t, std::uint64_t> own{Weight(aServer, aSelf), aSelf};
  const std::ptrdiff_t before =
    std::count_if(aEntries.begin(), aEntries.end(), [&](std::uint64_t aEntry) {
      return std::pair(Weight(aServer, aEntry), aEntry) > own;
    });
  return aSlots / entries + (before < aSlots % entries ? 1 : 0);
}

} // namespace fennelline
