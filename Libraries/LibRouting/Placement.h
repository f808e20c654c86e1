#pragma once

#include "LibBase/Random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fennelline {

/// One backend server as a request may be placed on it.
struct PlacementCandidate {
  /// Hash of its identity.
  std::uint64_t m_identity = 0;
  /// Requests there, of all entries as far as known.
  double m_load = 0.0;
  /// Prompts that are being read there, or wait to be, in milliseconds of reading.
  double m_prefillMs = 0.0;
  /// How long it will have read without a break when it has read those, in milliseconds.
  double m_continuousPrefillMs = 0.0;
  double m_slots = 1.0;
  bool m_isNear = true;
  /// It is believed to hold the request's shared prefix.
  bool m_holdsPrefix = false;
  /// It is set apart for long prompts, see ChooseLongPromptServers().
  bool m_isReserved = false;
  /// It answers a long prompt now.
  bool m_isServingLongPrompt = false;
  double m_failureRate = 0.0;
  /// Only as a last resort: not reached lately, or it has failed this request before.
  bool m_isAvoided = false;
};

/// The request that is placed.
struct PlacementQuery {
  /// Names the shared prefix and the model; zero where there is none.
  std::uint64_t m_prefix = 0;
  std::int64_t m_prefixTokens = 0;
  /// Time to read the whole prompt, and its shared prefix, in milliseconds; zero without a prompt.
  double m_promptMs = 0.0;
  double m_prefixMs = 0.0;
  /// The latency objective in milliseconds; zero for none.
  double m_objectiveMs = 0.0;
  /// The longest pause of streams that is in time, in milliseconds; zero where no prompt that is
  /// read makes others later than that.
  double m_pauseObjectiveMs = 0.0;
  /// Its prompt is a long one, see PrefillLoad.
  bool m_isLong = false;
  /// Bytes of the request and its expected answer that would cross to another data centre.
  double m_bytes = 0.0;
  /// Time that one more request on a server adds to each other there, in milliseconds.
  double m_delayPerRequestMs = 1.0;
};

/// Chooses a backend server, or none of none. It answers the load of many entries that place at
/// the same time without knowing of each other: requests with a shared prefix prefer the same
/// server on every entry, by rendezvous hashing, until it has more than its part of the load.
std::optional<std::size_t> ChoosePlacement(const PlacementQuery& aQuery,
                                           std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom);

} // namespace fennelline
