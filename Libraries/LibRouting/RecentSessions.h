#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Sessions recently served by the version that is being replaced. They stay on that version during
/// the canary phase, so an entry that serves one announces it to the others.
class RecentSessions {
public:
  void OnServed(std::uint64_t aSession, Time aNow);
  /// Whether the session was served within aSessionTime, the maximum time between its requests.
  bool IsRunning(std::uint64_t aSession, Duration aSessionTime, Time aNow) const;

private:
  std::unordered_map<std::uint64_t, Time> m_served;
};

std::string EncodeSessionHashes(const std::vector<std::uint64_t>& aSessions);
Result<std::vector<std::uint64_t>> DecodeSessionHashes(const std::string& aBytes);

} // namespace fennelline
