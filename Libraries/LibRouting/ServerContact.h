#pragma once

#include "LibBase/Time.h"

#include <vector>

namespace fennelline {

/// When an entry last reached a backend server, and last failed to connect to it.
struct ServerContact {
  Time m_reachedAt{};
  Time m_failedAt{};
};

/// Whether an entry has lost its path to the servers of a service, as far as its own connections
/// show: none of them could be connected to, or at least two could not and no other one has been
/// reached for a while. Servers that crash look the same, but the others are reached meanwhile.
bool IsPathLost(const std::vector<ServerContact>& aServers, Time aNow);

} // namespace fennelline
