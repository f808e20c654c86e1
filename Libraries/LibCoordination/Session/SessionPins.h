#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimTable.h"

#include <string>

namespace fennelline {

/// The version that a session is pinned to, as decided for a first request, which gives only the
/// session's name and no token.
struct SessionPin {
  enum class Result : std::uint8_t {
    /// m_version is the session's version; it never changes.
    Pinned,
    /// The version cannot be known, because the entry that chose it was lost. Refuse permanently.
    Lost,
    /// No version was chosen; refuse the request as not run.
    NotRun,
  };
  std::uint64_t m_ticket = 0;
  Result m_result = Result::NotRun;
  std::string m_name;
  std::string m_version;
  Duration m_retryAfter{0};
  std::string m_reason;
};

/// Pins sessions to versions through the claim table, with one slot per session name: the first
/// version wins, and every other first request of the session learns it.
///
/// Pass each outcome of a claim with purpose Session to Finish(). On Granted, the effects of the
/// step store the proposed version as the session's; on Replay, the version is the one stored
/// before.
class SessionPins {
public:
  /// Starts to determine a session's version.
  static ClaimTable::ClaimStep Begin(ClaimTable& aTable, std::uint64_t aTicket,
                                     const std::string& aCustomer, const std::string& aName,
                                     Time aDeadline, Time aNow);

  /// Converts the outcome of such a claim into a pin. aProposed is the version that this entry
  /// would choose; it becomes the session's version if the claim was granted.
  static Step<SessionPin> Finish(ClaimTable& aTable, const ClaimOutcomeReport& aOutcome,
                                 const std::string& aProposed, Time aNow);
};

} // namespace fennelline
