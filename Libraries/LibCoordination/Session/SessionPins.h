#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimTable.h"

#include <string>

namespace fennelline {

/// How the first request of a session that came with a bare name goes on. It takes part in the
/// claim table with a slot per session name: the first version wins, and every other first request
/// learns it.
///
/// Pass each outcome of a claim with purpose Session here. On Granted the wanted version is made
/// the session's by the effects of the step; on Replay the version is the one another entry chose.
struct SessionPin {
  enum class Result : std::uint8_t {
    /// m_version is the session's version, for ever.
    Pinned,
    /// The version cannot be known: the entry that chose it was lost. Refuse for good.
    Lost,
    /// No version was chosen; refuse as not run.
    NotRun,
  };
  std::uint64_t m_ticket = 0;
  Result m_result = Result::NotRun;
  std::string m_name;
  std::string m_version;
  Duration m_retryAfter{0};
  std::string m_reason;
};

class SessionPins {
public:
  /// Asks for a session's version, proposing one.
  static ClaimTable::ClaimStep Begin(ClaimTable& aTable, std::uint64_t aTicket,
                                     const std::string& aCustomer, const std::string& aName,
                                     Time aDeadline, Time aNow);

  /// Turns the outcome of such a claim into a pin. aProposed is the version that this entry would
  /// choose; it is the session's where the claim was granted.
  static Step<SessionPin> Finish(ClaimTable& aTable, const ClaimOutcomeReport& aOutcome,
                                 const std::string& aProposed, Time aNow);
};

} // namespace fennelline
