#include "LibCoordination/Observation/TrialTurn.h"

#include "LibBase/RendezvousRank.h"
#include "LibBase/StableHash.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace fennelline {

Duration TrialDelay(const std::string& aCause, const EntryId& aSelf,
                    const std::vector<EntryId>& aOthers, Duration aStep) {
  const std::uint64_t cause = StableHash(aCause);
  const std::uint64_t own = RendezvousRank(cause, StableHash(aSelf));
  const std::ptrdiff_t before =
    std::count_if(aOthers.begin(), aOthers.end(), [cause, own](const EntryId& aOther) {
      return RendezvousRank(cause, StableHash(aOther)) > own;
    });
  return aStep * std::bit_width(static_cast<std::uint64_t>(before));
}

} // namespace fennelline
