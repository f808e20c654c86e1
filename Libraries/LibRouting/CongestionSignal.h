#pragma once

#include "LibBase/Time.h"
#include "LibRouting/PrefillSpeedEstimator.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace fennelline {

/// Tells from the answers to one entry's own requests whether the engines of a service are
/// congested: first events come much later than the prefill takes, or requests are rejected for
/// lack of capacity. Needs no message between entries.
class CongestionSignal {
public:
  using RunId = std::uint64_t;
  static constexpr RunId kNoRun = 0;

  struct Run {
    /// Identity of the server.
    std::uint64_t m_server = 0;
    /// 0 is the most urgent.
    int m_urgency = 0;
    std::string m_model;
    /// Tokens that need prefill.
    std::int64_t m_prefillTokens = 0;
    Time m_sentAt{};
  };

  RunId OnSent(Run aRun);
  void OnFirstEvent(RunId aRun, Time aNow);
  /// The run has ended, or was given up.
  void OnEnded(RunId aRun, Time aNow);
  /// The server rejected the run because it is full.
  void OnRejected(RunId aRun, Time aNow);

  /// From 0 to 1: which part of the recent runs was delayed or rejected. 0 if these were on one
  /// server only, which may be slow by itself.
  double Level(Time aNow);
  /// The same for the runs of one urgency.
  double LevelOf(int aUrgency, Time aNow) const;
  /// Whether a run of this entry waits at a server now, or was just rejected by a full one.
  bool HasWaitingRun(Time aNow) const;
  /// How long runs of this urgency recently waited at the servers beyond their prefill; 0 if there
  /// was none.
  Duration ServerWait(int aUrgency, Time aNow) const;
  Duration ExpectedFirstEvent(const std::string& aModel, std::int64_t aPrefillTokens) const;
  std::size_t CountRuns() const { return m_runs.size(); }

private:
  struct OpenRun {
    Run m_run;
    Duration m_expected{0};
    bool m_hasBegun = false;
  };
  struct Sample {
    Time m_at{};
    std::uint64_t m_server = 0;
    int m_urgency = 0;
    bool m_isDelayed = false;
    Duration m_excess{0};
  };
  /// Recent samples and the runs that are already overdue.
  struct Counts {
    double m_all = 0.0;
    std::unordered_set<std::uint64_t> m_servers;
    std::unordered_map<std::uint64_t, double> m_delayedOfServer;
    double Level() const;
  };

  void AddSample(const OpenRun& aRun, bool aIsDelayed, Time aNow);
  void Learn(const OpenRun& aRun, Duration aTime, Time aNow);
  Counts CountRecent(int aFirstUrgency, int aLastUrgency, Time aNow) const;

  RunId m_lastRun = kNoRun;
  std::map<RunId, OpenRun> m_runs;
  std::deque<Sample> m_samples;
  /// Learns only while there is no congestion, so that a surge does not come to be expected.
  PrefillSpeedEstimator m_prefillSpeed;
  /// By model: usual time to the first event beyond the prefill, in milliseconds.
  std::unordered_map<std::string, double> m_usualMs;
  Time m_lastRejection{};
  double m_level = 0.0;
  Time m_levelAt{};
};

} // namespace fennelline
