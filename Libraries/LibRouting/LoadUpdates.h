#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// An entry has sent a backend server a prompt that takes so long to read. Told to the other
/// entries at once: the servers' own reports come too late to keep two entries from the same one.
struct LoadUpdate {
  std::uint64_t m_backend = 0;
  Duration m_prefillTime{0};
};

std::string EncodeLoadUpdates(const std::vector<LoadUpdate>& aNotes);
Result<std::vector<LoadUpdate>> DecodeLoadUpdates(const std::string& aBytes);

} // namespace fennelline
