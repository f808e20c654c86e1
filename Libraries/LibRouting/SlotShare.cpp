#include "LibRouting/SlotShare.h"

#include "LibBase/RendezvousRank.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fennelline {

int ShareOfSlots(int aSlots, std::uint64_t aServer, std::uint64_t aSelf,
                 std::span<const std::uint64_t> aEntries) {
  const int entries = std::max(1, static_cast<int>(aEntries.size()));
  const std::pair<std::uint64_t, std::uint64_t> own{RendezvousRank(aServer, aSelf), aSelf};
  const std::ptrdiff_t before =
    std::count_if(aEntries.begin(), aEntries.end(), [&](std::uint64_t aEntry) {
      return std::pair(RendezvousRank(aServer, aEntry), aEntry) > own;
    });
  return aSlots / entries + (before < aSlots % entries ? 1 : 0);
}

} // namespace fennelline
