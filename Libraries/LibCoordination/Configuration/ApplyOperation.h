#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fennelline {

/// A change of the configuration to be applied.
struct ApplyInput {
  /// The complete edited document.
  std::string m_text;
  /// The revision that the edit is based on; kAbsent for the first document.
  Revision m_baseRevision = kAbsent;
  std::string m_key = kConfigurationKey;
  Component m_component = Component::Configuration;
  /// Call numbers start after this one.
  std::uint64_t m_lastCallNumber = 0;
  /// A call without a reply for this long counts as lost.
  Duration m_callTimeout = Seconds(2);
  Duration m_retryWait = Milliseconds(200);
  /// The operation ends after this time with what is known by then.
  Duration m_limit = Seconds(15);
};

/// The document is stored in the platform at this revision.
struct Applied {
  Revision m_revision = 0;
};

/// A concurrent change came first and nothing was written. Carries the current document.
struct ApplyConflict {
  Revision m_revision = 0;
  std::string m_text;
};

/// The platform could not be reached; nothing was written.
struct ApplyUnavailable {};

/// The document may have been written: a reply was lost, and since then either the platform has
/// been unreachable or another document has been stored (m_revision is zero if that is unknown).
struct ApplyUnresolved {
  Revision m_revision = 0;
  std::string m_text;
};

using ApplyOutcome = std::variant<Applied, ApplyConflict, ApplyUnavailable, ApplyUnresolved>;

/// Writes an edited configuration by compare-and-swap and determines the result, even if the reply
/// is lost. Yields exactly one outcome. The caller validates the text beforehand, passes in the
/// replies to the calls, and calls Tick() at least every 100 ms.
class ApplyOperation {
public:
  explicit ApplyOperation(ApplyInput aInput);

  Step<ApplyOutcome> Start(Time aNow);
  Step<ApplyOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> Tick(Time aNow);
  bool IsDone() const { return m_done; }
  /// The number of the last call, to be passed as m_lastCallNumber of the next operation.
  std::uint64_t LastCallNumber() const { return m_number; }

private:
  enum class Phase : std::uint8_t { Writing, ReadingBack, Waiting };

  Step<ApplyOutcome> Call(PlatformRequest aRequest, Phase aPhase, Time aNow);
  Step<ApplyOutcome> Write(Time aNow);
  Step<ApplyOutcome> ReadBack(Time aNow);
  Step<ApplyOutcome> OnWritten(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> OnReadBack(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> ResolveOutcome(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> RetryLater(Time aNow);
  Step<ApplyOutcome> GiveUp();
  Step<ApplyOutcome> Finish(ApplyOutcome aOutcome);

  ApplyInput m_input;
  Phase m_phase = Phase::Writing;
  std::uint64_t m_number = 0;
  Time m_deadline = kNever;
  Time m_phaseEnds = kNever;
  /// A write may have taken effect although its reply was lost.
  bool m_mayBeWritten = false;
  bool m_done = false;
};

} // namespace fennelline
