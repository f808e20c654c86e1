#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fennelline {

/// A change of the configuration that somebody wants to make.
struct ApplyInput {
  /// The whole edited document.
  std::string m_text;
  /// The revision that was edited; kAbsent for the first document.
  Revision m_baseRevision = kAbsent;
  std::string m_key = kConfigurationKey;
  Component m_component = Component::Configuration;
  /// The numbers of its calls start after this one.
  std::uint64_t m_lastCallNumber = 0;
  /// A call without a reply for this long counts as lost.
  Duration m_callTimeout = Seconds(2);
  Duration m_retryWait = Milliseconds(200);
  /// After this time the operation ends with what it knows.
  Duration m_limit = Seconds(15);
};

/// The document stands in the platform at this revision.
struct Applied {
  Revision m_revision = 0;
};

/// Somebody else's change came first; nothing was written. Here is what stands now.
struct ApplyConflict {
  Revision m_revision = 0;
  std::string m_text;
};

/// The platform could not be reached; nothing was written.
struct ApplyUnavailable {};

/// The document may have been written: a reply was lost, and either the platform is out of reach
/// since, or another document stands there now (m_revision is zero where that is not known).
struct ApplyUnresolved {
  Revision m_revision = 0;
  std::string m_text;
};

using ApplyOutcome = std::variant<Applied, ApplyConflict, ApplyUnavailable, ApplyUnresolved>;

/// Writes an edited configuration by compare-and-swap and finds out what became of it, also when
/// the reply is lost. It yields one outcome. The caller checks the text beforehand, passes the
/// replies to its calls, and calls Tick() at least each 100 ms.
class ApplyOperation {
public:
  explicit ApplyOperation(ApplyInput aInput);

  Step<ApplyOutcome> Start(Time aNow);
  Step<ApplyOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> Tick(Time aNow);
  bool IsDone() const { return m_done; }
  /// The number of the last call made, for the next operation's m_lastCallNumber.
  std::uint64_t LastCallNumber() const { return m_number; }

private:
  enum class Phase : std::uint8_t { Writing, ReadingBack, Waiting };

  Step<ApplyOutcome> Call(PlatformRequest aRequest, Phase aPhase, Time aNow);
  Step<ApplyOutcome> Write(Time aNow);
  Step<ApplyOutcome> ReadBack(Time aNow);
  Step<ApplyOutcome> OnWritten(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> OnReadBack(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> Judge(const PlatformReply& aReply, Time aNow);
  Step<ApplyOutcome> RetryLater(Time aNow);
  Step<ApplyOutcome> GiveUp();
  Step<ApplyOutcome> Finish(ApplyOutcome aOutcome);

  ApplyInput m_input;
  Phase m_phase = Phase::Writing;
  std::uint64_t m_number = 0;
  Time m_deadline = kNever;
  Time m_phaseEnds = kNever;
  /// A write may have taken effect without our knowing.
  bool m_mayBeWritten = false;
  bool m_done = false;
};

} // namespace fennelline
