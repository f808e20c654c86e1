#pragma once

#include "LibBase/Time.h"
#include "Utilities/Load/CallerClient.h"
#include "Utilities/Load/EntryDirectory.h"
#include "Utilities/Load/Schedule.h"

#include <string>
#include <vector>

namespace fennelline {

/// Where the requests go: to entries, or straight to the stand-ins to measure the floor.
struct LoadTargets {
  std::vector<std::string> m_entries;
  std::string m_directEngine;
  std::string m_directService;

  bool IsDirect() const { return m_entries.empty(); }
};

/// One request's result. Times count from when the request was due, not from when it was sent.
struct LoadResult {
  std::size_t m_kind = 0;
  std::size_t m_customer = 0;
  Duration m_latency{0};
  Duration m_firstToken{0};
  /// How late the request was sent: the load generator's own fault.
  Duration m_sendDelay{0};
  CallerAnswer m_answer;
};

/// Sends all requests when they are due and waits for their answers.
std::vector<LoadResult> RunLoad(const Experiment& aExperiment, const LoadTargets& aTargets,
                                const std::vector<PlannedRequest>& aRequests);

} // namespace fennelline
