#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <unordered_map>

namespace fennelline {

/// Which shared prompt prefixes this entry has lately sent to one backend server, and so believes
/// to be in its cache.
class RecentPrefixes {
public:
  /// aPrefix names the prefix and the model that read it.
  void OnSent(std::uint64_t aPrefix, Time aNow);
  bool Holds(std::uint64_t aPrefix, Time aNow) const;

private:
  std::unordered_map<std::uint64_t, Time> m_sent;
};

} // namespace fennelline
