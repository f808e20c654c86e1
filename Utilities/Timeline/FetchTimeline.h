#pragma once

#include "LibTimeline/TimelineLine.h"
#include "Utilities/Ctl/AdminClient.h"

#include <string>
#include <vector>

namespace fennelline {

/// What could be fetched, and why the rest could not.
struct FetchedTimeline {
  std::vector<TimelineLine> m_lines;
  std::vector<Error> m_errors;
};

/// Reads the time lines of the entries at these admin addresses and merges them.
FetchedTimeline FetchTimeline(AdminClient& aClient, const std::vector<std::string>& aAddresses);

} // namespace fennelline
