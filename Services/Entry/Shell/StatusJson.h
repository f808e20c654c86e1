#pragma once

#include "Services/Entry/EntryReducer.h"

#include <string>

namespace fennelline {

/// The response body of GET /admin/status.
std::string WriteStatus(const EntryReducer& aReducer, Time aNow);

/// The response body of GET /admin/evidence: counts for each (version, kind).
std::string WriteEvidence(const EntryReducer& aReducer);

/// The response body of GET /metrics, in the Prometheus text format.
std::string WriteMetrics(const EntryReducer& aReducer, Time aNow);

} // namespace fennelline
