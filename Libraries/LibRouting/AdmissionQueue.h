#pragma once

#include "LibBase/Time.h"
#include "LibRouting/RequestPermits.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace fennelline {

/// A request that waits at this entry.
struct WaitingRequest {
  std::uint64_t m_id = 0;
  /// 0 is the most urgent.
  int m_urgency = 0;
  /// See AccountUse.
  double m_useRatio = 1.0;
  /// When its latency objective is missed.
  Time m_objectiveAt{};
  /// When it leaves the queue at the latest.
  Time m_leaveBy{};
  /// An answer that begins later is worth little.
  Time m_lastUse{};
  Duration m_expectedFirstEvent{0};
  std::size_t m_bytes = 0;
};

/// Requests that wait at one entry during a surge, ordered by urgency, then by how far their
/// account is over its share, then by the time left to the objective.
class AdmissionQueue {
public:
  /// An entry of a small VM has 88 MB; four services may have a queue.
  static constexpr std::size_t kMaxWaiting = 256;
  static constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

  /// Returns whether there is room for it beside those that wait.
  bool HasPlaceFor(const WaitingRequest& aRequest) const;
  void Add(const WaitingRequest& aRequest);
  /// Returns whether it was waiting.
  bool Remove(std::uint64_t aId);
  const WaitingRequest* First() const;
  const WaitingRequest* Last() const;
  std::vector<WaitingRequest> All() const;
  std::size_t CountAhead(const WaitingRequest& aRequest) const;
  std::size_t Count() const { return m_waiting.size(); }
  std::size_t CountOf(int aUrgency) const;
  static bool IsBefore(const WaitingRequest& aFirst, const WaitingRequest& aSecond) {
    return KeyOf(aFirst) < KeyOf(aSecond);
  }

private:
  using Key = std::tuple<int, int, Time, std::uint64_t>;
  static Key KeyOf(const WaitingRequest& aRequest);

  std::map<Key, WaitingRequest> m_waiting;
  std::map<std::uint64_t, Key> m_keys;
  std::array<std::size_t, kUrgencyLevels> m_counts{};
  std::size_t m_bytes = 0;
};

} // namespace fennelline
