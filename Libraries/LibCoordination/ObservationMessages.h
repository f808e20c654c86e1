#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Reports that a request, identified by the hash of its content, was running when a backend server
/// crashed.
struct CrashReport {
  std::string m_fingerprint;
  BackendServerId m_backendServer;
  std::int64_t m_ageMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_fingerprint, m_backendServer, m_ageMilliseconds);
  }
};

/// Crash reports, distributed to all entries.
struct CrashReports {
  std::vector<CrashReport> m_reports;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_reports);
  }
};

/// What an entry knows of requests with one content: refused, or cleared by a complete run.
struct CrashVerdict {
  std::string m_fingerprint;
  /// 0: cleared. 1: refused after crashes under overlapping runs. 2: refused after a run that began
  /// after another crash. Each trial adds one.
  std::int64_t m_refusals = 0;
  /// Time since the last refusal began, or since the complete run.
  std::int64_t m_ageMilliseconds = 0;
  /// For how long a request that is about to be sent as a trial keeps others from it.
  std::int64_t m_trialMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_fingerprint, m_refusals, m_ageMilliseconds, m_trialMilliseconds);
  }
};

struct CrashVerdicts {
  std::vector<CrashVerdict> m_verdicts;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_verdicts);
  }
};

/// What an entry has observed of one version, as monotonic counters. The holder of the rollout
/// lease aggregates them.
struct VersionEvidence {
  std::string m_version;
  std::string m_kind;
  std::int64_t m_requests = 0;
  std::int64_t m_errors = 0;
  std::int64_t m_crashes = 0;
  std::int64_t m_late = 0;
  std::int64_t m_rated = 0;
  std::int64_t m_ratedBad = 0;
  /// Distinct sessions, and those of them with at least one bad rating or error.
  std::int64_t m_sessions = 0;
  std::int64_t m_badSessions = 0;
  std::int64_t m_costMicros = 0;
  std::int64_t m_milliseconds = 0;

  friend bool operator==(const VersionEvidence&, const VersionEvidence&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_version, m_kind, m_requests, m_errors, m_crashes, m_late, m_rated, m_ratedBad,
             m_sessions, m_badSessions, m_costMicros, m_milliseconds);
  }
};

/// The load that a backend server reported, forwarded by the entry that polled it.
struct LoadReport {
  BackendServerId m_backendServer;
  std::int64_t m_ageMilliseconds = 0;
  std::int64_t m_runningRequests = 0;
  std::int64_t m_queuedRequests = 0;
  std::int64_t m_queuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  /// The loaded versions, such as "tagger@3".
  std::vector<std::string> m_versions;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_backendServer, m_ageMilliseconds, m_runningRequests, m_queuedRequests,
             m_queuedTokens, m_tokensPerSecond, m_versions);
  }
};

struct LoadReports {
  std::vector<LoadReport> m_reports;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_reports);
  }
};

/// Keeps an idle connection alive and detects its loss, in both directions.
struct Heartbeat {
  std::uint64_t m_number = 0;
  bool m_reply = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_number, m_reply);
  }
};

} // namespace fennelline
