#pragma once

#include "LibTimeline/TimelineLine.h"
#include "Utilities/Ctl/AdminClient.h"

#include <string>
#include <vector>

namespace fennelline {

/// The merged records of all reachable entries, and the errors for the others.
struct FetchedTimeline {
  std::vector<TimelineLine> m_lines;
  std::vector<Error> m_errors;
};

/// Reads the timelines of the entries at these admin addresses and merges them.
FetchedTimeline FetchTimeline(AdminClient& aClient, const std::vector<std::string>& aAddresses);

} // namespace fennelline
