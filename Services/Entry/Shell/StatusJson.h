#pragma once

#include "Services/Entry/EntryReducer.h"

#include <string>

namespace fennelline {

/// What GET /admin/status answers.
std::string WriteStatus(const EntryReducer& aReducer, Time aNow);

/// What GET /admin/evidence answers: counts for each (version, kind).
std::string WriteEvidence(const EntryReducer& aReducer);

/// What GET /metrics answers, in the text format of Prometheus.
std::string WriteMetrics(const EntryReducer& aReducer, Time aNow);

} // namespace fennelline
