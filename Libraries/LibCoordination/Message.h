#pragma once

#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/ConfigurationMessages.h"
#include "LibCoordination/MembershipMessages.h"
#include "LibCoordination/ObservationMessages.h"
#include "LibCoordination/UsageMessages.h"

#include <variant>

namespace fennelline {

/// Every message between entries. The index is the type on the wire: new ones go to the end.
using Message =
  std::variant<Heartbeat, ClaimRequest, ClaimReply, ClaimRelease, ClaimOutcome, ClaimOutcomeStored,
               AnswerQuery, AnswerReply, ViewAdopt, ViewHandover, UsageCopy, UsageCopied,
               UsageSettled, ConfigurationOffer, ConfigurationRequest, ConfigurationDocument,
               CrashReports, LoadReports, ConfigurationDelta>;

} // namespace fennelline
