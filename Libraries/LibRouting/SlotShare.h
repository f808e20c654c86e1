#pragma once

#include <cstdint>
#include <span>

namespace fennelline {

/// The part of a server's slots that one entry may use while the server must not be overfilled. All
/// entries that agree on who is alive get all slots together, whatever their number: each an equal
/// part, and the rest go to those with the highest hash for this server.
int ShareOfSlots(int aSlots, std::uint64_t aServer, std::uint64_t aSelf,
                 std::span<const std::uint64_t> aEntries);

} // namespace fennelline
