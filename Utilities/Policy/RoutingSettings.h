#pragma once

#include "LibDecision/Admission.h"
#include "Utilities/Policy/EngineFake.h"
#include "Utilities/Policy/Workload.h"

#include <cstddef>
#include <vector>

namespace fennelline {

/// One run of callers, entries and engines of one version.
struct RoutingSettings {
  Mix m_mix;
  double m_requestsPerSecond = 0.0;
  Duration m_length = Seconds(120);
  /// Requests that arrive before this are not counted.
  Duration m_warmUp = Seconds(20);
  std::size_t m_entries = 8;
  std::size_t m_engines = 9;
  std::size_t m_dataCentres = 3;
  EngineFakeSettings m_engine;
  /// One way between data centres, and within one.
  Duration m_farDistance = Duration(1500);
  Duration m_nearDistance = Duration(200);
  /// Engines report their load this often, and entries learn of it later by the lag.
  Duration m_reportInterval = Milliseconds(250);
  Duration m_reportLag = Milliseconds(150);
  Duration m_cacheLag = Milliseconds(500);
  /// The share of cache event batches that are lost.
  double m_cacheGapShare = 0.05;
  /// Whether urgent kinds go ahead in the engines' queues.
  bool m_sendsPriorities = true;
  bool m_admits = true;
  /// Whether an answer that comes too late is cancelled at its deadline.
  bool m_cancelsAtDeadline = true;
  bool m_retriesAndHedges = true;
  /// How often a caller sends a refused or late request, the first time included.
  std::size_t m_callerTries = 3;
  /// Mean time between crashes of one engine; zero for none. Its requests are lost.
  Duration m_crashInterval{0};
};

enum class RequestEnd : std::uint8_t { Open, InTime, Late, Refused, Failed };

/// How one caller's request went.
struct RequestRecord {
  Arrival m_arrival;
  RequestEnd m_end = RequestEnd::Open;
  Time m_firstToken = kNever;
  Time m_answered = kNever;
  std::size_t m_tries = 0;
  AdmissionVerdict m_verdict = AdmissionVerdict::Admitted;
};

struct RoutingResult {
  std::vector<RequestRecord> m_requests;
  /// Requests that entries sent to engines, and further attempts for the same ones.
  std::size_t m_sent = 0;
  std::size_t m_extraAttempts = 0;
  std::size_t m_refusals = 0;
  std::size_t m_tries = 0;
};

} // namespace fennelline
