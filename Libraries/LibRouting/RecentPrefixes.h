#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <unordered_map>

namespace fennelline {

/// Shared prompt prefixes that this entry has recently sent to one backend server and that are
/// therefore assumed to be in its cache.
class RecentPrefixes {
public:
  /// aPrefix identifies the prefix and the model.
  void OnSent(std::uint64_t aPrefix, Time aNow);
  bool Holds(std::uint64_t aPrefix, Time aNow) const;

private:
  std::unordered_map<std::uint64_t, Time> m_sent;
};

} // namespace fennelline
