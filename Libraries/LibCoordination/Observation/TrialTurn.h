#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Identity.h"

#include <string>
#include <vector>

namespace fennelline {

/// How long after the end of a cause's refusal this entry waits before it may send a trial.
///
/// The refusal ends at all entries at the same moment, and in a large fleet each of them may get
/// such a request before it hears that another one has sent it. Therefore one entry may begin, and
/// after each aStep twice as many: if none has sent a trial by then, such requests are rare. The
/// order of the entries is different for each cause, and all entries with the same members agree on
/// it.
Duration TrialDelay(const std::string& aCause, const EntryId& aSelf,
                    const std::vector<EntryId>& aOthers, Duration aStep);

} // namespace fennelline
