#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// A customer that sends requests, and its relative weight.
struct LoadCustomer {
  std::string m_key;
  double m_weight = 1.0;
};

/// One kind of request in the workload.
struct LoadKind {
  std::string m_name;
  double m_weight = 1.0;
  Duration m_deadline{0};
  /// Both empty for model requests.
  std::string m_service;
  std::string m_operation;
  /// The prompt is one of m_prefixes shared prefixes followed by unique text; lengths in
  /// characters.
  std::int64_t m_prefixes = 1;
  std::int64_t m_prefixCharacters = 0;
  std::int64_t m_ownCharacters = 64;
  std::int64_t m_maxTokens = 16;
  bool m_stream = false;
  /// The model version for --direct, where no entry selects one.
  std::string m_directVersion;

  bool IsService() const { return !m_service.empty(); }
};

/// An open-loop experiment: requests are sent when they are due, regardless of response times.
struct Experiment {
  std::string m_name;
  std::uint64_t m_seed = 1;
  double m_requestsPerSecond = 10.0;
  Duration m_length = Seconds(10);
  std::int64_t m_maxRequests = 100'000;
  /// The maximum number of requests in flight. A request above it waits, and the wait counts as
  /// latency.
  std::int64_t m_maxInFlight = 128;
  std::vector<LoadCustomer> m_customers;
  std::vector<LoadKind> m_kinds;
};

Result<Experiment> ParseExperiment(const std::string& aText);

} // namespace fennelline
