#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>

namespace fennelline {

/// Times and bounds of the claim table. All entries must agree on m_shardCount for ever.
struct ClaimSettings {
  std::uint32_t m_shardCount = 64;
  std::size_t m_holders = 3;
  /// How long a key is remembered after its first request.
  Duration m_retryWindow = Seconds(600);
  /// How long a holder grants claims without having read its view from the platform. It bounds the
  /// outage of the platform that claims survive, and it lengthens the lost period of a shard.
  Duration m_viewValidity = Seconds(900);
  /// A question to a holder or to an owner is asked again after this long.
  Duration m_resendAfter = Milliseconds(40);
  /// How long an outcome is offered to the holders.
  Duration m_outcomePersistence = Seconds(30);
  /// A holder reads the views again after this long, the other entries more rarely.
  Duration m_holderRefresh = Seconds(60);
  Duration m_memberRefresh = Seconds(300);
  /// The least time between two readings that something unexpected brings about.
  Duration m_minRefreshInterval = Seconds(1);
  /// A holder must be gone this long before a view without its slots is made.
  Duration m_lossDelay = Seconds(30);
  /// An entry that is in no member list counts as gone after this long.
  Duration m_absentDelay = Seconds(5);
  /// The wait before the very first view of a shard is made, so that members get known.
  Duration m_createDelay = Milliseconds(500);
  /// Each further entry in the order of precedence waits this much longer to change a view.
  Duration m_takeoverDelay = Seconds(1);
  /// A platform call without a reply counts as lost after this long.
  Duration m_callTimeout = Seconds(3);
  /// Platform calls of one entry at a time.
  std::size_t m_maxConcurrentCalls = 4;
  /// A handover that is not complete is asked for again after this long.
  Duration m_handoverTimeout = Seconds(1);
  /// What a refused caller is told to wait.
  Duration m_retryAfter = Seconds(1);
  /// A holder takes no further keys of a shard above this many.
  std::size_t m_maxSlotsPerShard = 20000;
  /// Larger answers are not kept: the request sent again gets Unknown.
  std::size_t m_maxAnswerBytes = 65536;
  /// A page of a handover ends after this many slots or bytes of answers.
  std::size_t m_slotsPerPage = 200;
  std::size_t m_bytesPerPage = 262144;
};

} // namespace fennelline
