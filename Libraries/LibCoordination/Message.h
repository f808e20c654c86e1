#pragma once

#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/ConfigurationMessages.h"
#include "LibCoordination/MembershipMessages.h"
#include "LibCoordination/ObservationMessages.h"
#include "LibCoordination/UsageMessages.h"

#include <variant>

namespace fennelline {

/// All messages between entries. The index is the message type on the wire, so new types are
/// appended.
using Message =
  std::variant<Heartbeat, ClaimRequest, ClaimReply, ClaimRelease, ClaimOutcome, ClaimOutcomeAck,
               AnswerQuery, AnswerReply, ViewAnnouncement, SlotHandoverPage, UsageCopy,
               UsageCopyAck, UsageSettled, ConfigurationOffer, ConfigurationRequest,
               ConfigurationDocument, CrashReports, LoadReports, ConfigurationDelta, CrashVerdicts>;

} // namespace fennelline
