#include "LibRouting/RecentSessions.h"

#include "LibRouting/MessagePack.h"

namespace fennelline {

using nlohmann::json;

namespace {

/// Maximum number of stored sessions. Only those that the canary would select are stored, a tenth
/// of all.
constexpr std::size_t kMaxSessions = 4096;
/// Twice the longest time between a session's requests that a deployment may configure.
constexpr Duration kForgetAfter = Seconds(20);

} // namespace

void RecentSessions::OnServed(std::uint64_t aSession, Time aNow) {
  if (m_served.size() >= kMaxSessions) {
    std::erase_if(m_served, [aNow](const std::pair<const std::uint64_t, Time>& aItem) {
      return aNow - aItem.second > kForgetAfter;
    });
  }
  m_served[aSession] = aNow;
}

bool RecentSessions::IsRunning(std::uint64_t aSession, Duration aSessionTime, Time aNow) const {
  const auto found = m_served.find(aSession);
  return found != m_served.end() && aNow - found->second <= aSessionTime;
}

std::string EncodeSessionHashes(const std::vector<std::uint64_t>& aSessions) {
  return EncodeMessagePack(json(aSessions));
}

Result<std::vector<std::uint64_t>> DecodeSessionHashes(const std::string& aBytes) {
  return DecodeMessagePack<std::vector<std::uint64_t>>(
    aBytes, [](const json& aRows) { return aRows.get<std::vector<std::uint64_t>>(); });
}

} // namespace fennelline
