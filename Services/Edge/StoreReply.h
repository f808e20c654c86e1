#pragma once

#include "LibCoordination/PlatformCall.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/OutgoingCalls.h"

namespace fennelline {

/// Decodes the store's response to a call, with the era that it names. Counts the call, and logs an
/// era that cannot be read.
PlatformReply ReadStoreReply(EdgeContext& aContext, const PlatformRequest& aRequest,
                             const CallResponse& aResponse);

} // namespace fennelline
