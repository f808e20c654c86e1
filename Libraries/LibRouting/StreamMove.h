#pragma once

#include <optional>

namespace fennelline {

/// A stream that goes on slowly, and what another server could do.
struct SlowStream {
  /// Expected time to the last event here; none if it is not known, or nothing can be done.
  std::optional<double> m_restHereMs;
  /// The same elsewhere, including the prefill.
  double m_restElsewhereMs = 0.0;
  /// Negative for a stream whose deadline has passed and whose timer is still to run.
  double m_timeLeftMs = 0.0;
};

/// Whether the stream would be cut at its deadline, and another server is worth a look.
constexpr bool MayBeCut(const SlowStream& aStream) {
  return aStream.m_restHereMs && aStream.m_timeLeftMs > 0.0 &&
         *aStream.m_restHereMs > aStream.m_timeLeftMs;
}

/// Whether to run the rest of a stream elsewhere. It costs a prefill and a run, so only a stream
/// that would be cut at its deadline is moved, and only if the rest ends in time elsewhere and
/// clearly earlier than here.
constexpr bool IsMoveWorthwhile(const SlowStream& aStream) {
  // The estimates are off by up to a quarter.
  constexpr double kMargin = 0.75;
  return MayBeCut(aStream) && aStream.m_restElsewhereMs < aStream.m_timeLeftMs * kMargin &&
         aStream.m_restElsewhereMs < *aStream.m_restHereMs * kMargin;
}

} // namespace fennelline
