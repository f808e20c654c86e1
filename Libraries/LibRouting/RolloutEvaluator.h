#pragma once

#include "LibRouting/RolloutEvidence.h"
#include "LibRouting/RolloutRecord.h"

#include <map>
#include <string>

namespace fennelline {

/// Combines the entries' reports on one order and decides when the roll-out proceeds, succeeds or
/// is rolled back. It holds no state that another entry could not rebuild from the reports.
class RolloutEvaluator {
public:
  void OnReport(const RolloutReport& aReport, Time aNow);
  /// Returns the phase that the roll-out should be in now. aEntries: number of live entries that
  /// should report.
  RolloutPhase Evaluate(const RolloutOrder& aOrder, const RolloutRecord& aRecord,
                        std::size_t aEntries, Time aNow);
  /// Time since the order was given, according to the entry that has known it longest.
  Duration OrderAge(Time aNow) const;
  /// Reason for the last decision, for the log.
  const std::string& Reason() const { return m_reason; }

private:
  struct StoredReport {
    RolloutReport m_report;
    Time m_at{};
  };
  /// aIsAfterRamp: all requests go to the new version, or the order's time is up.
  bool IsBad(const RouteEvidence& aEvidence, bool aIsAfterRamp) const;
  /// Whether most streams are delayed on most servers of the new version. A single server may be
  /// delayed by other causes.
  bool AreServersDelayed() const;
  std::map<std::string, RouteEvidence> Pool() const;
  bool IsOldIdle(const RolloutRecord& aRecord, std::size_t aEntries, Time aNow) const;

  std::uint64_t m_order = 0;
  std::map<std::string, StoredReport> m_reports;
  std::uint64_t m_record = 0;
  Time m_phaseSince{};
  std::string m_reason;
};

} // namespace fennelline
