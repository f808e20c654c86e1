#pragma once

#include "LibBase/Time.h"
#include "Utilities/Load/CallerClient.h"
#include "Utilities/Load/EntryDirectory.h"
#include "Utilities/Load/Schedule.h"

#include <string>
#include <vector>

namespace fennelline {

/// The targets of the requests: entries, or the stand-ins directly to measure the baseline.
struct LoadTargets {
  std::vector<std::string> m_entries;
  std::string m_directEngine;
  std::string m_directService;

  bool IsDirect() const { return m_entries.empty(); }
};

/// The result of one request. Times are measured from when the request was due, not from when it
/// was sent.
struct LoadResult {
  std::size_t m_kind = 0;
  std::size_t m_customer = 0;
  Duration m_latency{0};
  Duration m_firstToken{0};
  /// How late the load generator sent the request.
  Duration m_sendDelay{0};
  CallerAnswer m_answer;
};

/// Sends all requests when they are due and waits for their responses.
std::vector<LoadResult> RunLoad(const Experiment& aExperiment, const LoadTargets& aTargets,
                                const std::vector<PlannedRequest>& aRequests);

} // namespace fennelline
