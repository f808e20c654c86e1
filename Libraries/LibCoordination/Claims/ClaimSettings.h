#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>

namespace fennelline {

/// Timeouts and limits of the claim table. m_shardCount must be the same on all entries and must
/// never change.
struct ClaimSettings {
  std::uint32_t m_shardCount = 64;
  std::size_t m_holders = 3;
  /// How long after its first request a key is remembered.
  Duration m_retryWindow = Seconds(600);
  /// How long a holder may vote without reading its view from the platform again. This is the
  /// longest platform outage that claims survive, and it extends the time for which a shard answers
  /// Lost, see ClaimHolder::LostPeriod().
  Duration m_viewValidity = Seconds(900);
  /// How long to wait before sending a request to a holder or an owner again.
  Duration m_resendAfter = Milliseconds(40);
  /// How long an outcome is sent to holders that have not confirmed it.
  Duration m_outcomePersistence = Seconds(30);
  /// How often holders read the views; entries that hold no shard use m_memberRefresh.
  Duration m_holderRefresh = Seconds(60);
  Duration m_memberRefresh = Seconds(300);
  /// The minimum time between two unscheduled reads of the views.
  Duration m_minRefreshInterval = Seconds(1);
  /// How long holders must be gone before a view that loses their slots is created.
  Duration m_lossDelay = Seconds(30);
  /// How long an entry must be missing from the member list before it counts as gone.
  Duration m_absentDelay = Seconds(5);
  /// The delay before the first view of a shard is created, so that the members are known by then.
  Duration m_createDelay = Milliseconds(500);
  /// The additional delay per rank before an entry changes a view, see ChangeRank().
  Duration m_takeoverDelay = Seconds(1);
  /// How long to wait for the reply to a platform call before it counts as lost.
  Duration m_callTimeout = Seconds(3);
  /// The maximum number of concurrent platform calls of one entry.
  std::size_t m_maxConcurrentCalls = 4;
  /// How long to wait before requesting an incomplete slot handover again.
  Duration m_handoverTimeout = Seconds(1);
  /// The retry delay reported to callers whose request was refused.
  Duration m_retryAfter = Seconds(1);
  /// The maximum number of keys of a shard at a holder, which accepts no more beyond it.
  std::size_t m_maxSlotsPerShard = 20000;
  /// Larger answers are not stored; a retry of such a request gets Unknown.
  std::size_t m_maxAnswerBytes = 65536;
  /// The size limits of a handover page: slots, and bytes of stored answers.
  std::size_t m_slotsPerPage = 200;
  std::size_t m_bytesPerPage = 262144;
};

} // namespace fennelline
