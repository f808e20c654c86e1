#pragma once

#include "LibBase/Random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fennelline {

/// A backend server as a candidate for a request.
struct PlacementCandidate {
  /// Hash of its identity.
  std::uint64_t m_identity = 0;
  /// Estimated number of requests there from all entries.
  double m_load = 0.0;
  /// Its time for the same work relative to the usual server, see ServerSpeed.
  double m_speedFactor = 1.0;
  /// How recently it rejected a request for lack of capacity: 1 for just now, 0 for not lately.
  double m_recentRejection = 0.0;
  /// Prefill backlog, including the prompt being processed, in milliseconds.
  double m_prefillMs = 0.0;
  /// Length of the current uninterrupted prefill period, including the backlog, in milliseconds.
  double m_continuousPrefillMs = 0.0;
  double m_slots = 1.0;
  bool m_isNear = true;
  /// The server is expected to have the request's shared prefix in its cache.
  bool m_holdsPrefix = false;
  /// It is reserved for long prompts, see ChooseLongPromptServers().
  bool m_isReserved = false;
  /// It is currently processing a long prompt or generating the answer to one.
  bool m_isServingLongPrompt = false;
  /// It limits requests, because it is in need.
  bool m_isLimited = false;
  /// It is cold, or gets many requests and might be: a permit has to be asked for.
  bool m_needsPermit = false;
  double m_failureRate = 0.0;
  /// Used only as a last resort: unreachable recently, or it already failed this request.
  bool m_isAvoided = false;
};

/// The request to place.
struct PlacementQuery {
  /// Identifies the shared prefix and the model; zero if there is none.
  std::uint64_t m_prefix = 0;
  std::int64_t m_prefixTokens = 0;
  /// Prefill time of the whole prompt and of its shared prefix, in milliseconds; zero without a
  /// prompt.
  double m_promptMs = 0.0;
  double m_prefixMs = 0.0;
  /// Expected time from the first to the last event on a usual server, in milliseconds; zero if it
  /// is unknown.
  double m_generateMs = 0.0;
  /// Time until the deadline in milliseconds; zero for none.
  double m_timeLeftMs = 0.0;
  /// The latency objective in milliseconds; zero for none.
  double m_objectiveMs = 0.0;
  /// Maximum pause between events of other streams, in milliseconds; zero if prefill cannot make
  /// those streams miss it.
  double m_pauseObjectiveMs = 0.0;
  /// Whether the prompt is long, see PrefillLoad.
  bool m_isLong = false;
  /// Bytes of the request and its expected answer that a remote placement would send between data
  /// centres.
  double m_bytes = 0.0;
  /// Delay that each request on a server adds to the others there, in milliseconds.
  double m_delayPerRequestMs = 1.0;
};

/// Chooses a backend server, or none if there are no candidates. Many entries place requests
/// concurrently without coordination, so requests with a shared prefix prefer the same server on
/// every entry (rendezvous hashing) until its load costs more than the cached prefix saves.
std::optional<std::size_t> ChoosePlacement(const PlacementQuery& aQuery,
                                           std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom);

} // namespace fennelline
