#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Tells the other entries that an entry has sent a backend server a prompt with this prefill time.
/// Sent immediately, because the servers' own load reports arrive too late to keep two entries from
/// choosing the same server.
struct LoadUpdate {
  std::uint64_t m_backend = 0;
  Duration m_prefillTime{0};
};

std::string EncodeLoadUpdates(const std::vector<LoadUpdate>& aUpdates);
Result<std::vector<LoadUpdate>> DecodeLoadUpdates(const std::string& aBytes);

} // namespace fennelline
