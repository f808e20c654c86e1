#pragma once

#include "LibRouting/RolloutEvidence.h"
#include "LibRouting/RolloutRecord.h"

#include <map>
#include <string>

namespace fennelline {

/// Pools the entries' reports of one order and decides when the roll-out goes on, succeeds or is
/// rolled back. It holds no state that another entry could not gather again from the reports.
class RolloutEvaluator {
public:
  void OnReport(const RolloutReport& aReport, Time aNow);
  /// The phase that the roll-out should be in now. aEntries: live entries that should report.
  RolloutPhase Judge(const RolloutOrder& aOrder, const RolloutRecord& aRecord, std::size_t aEntries,
                     Time aNow);
  /// How long ago the order was given, by the entry that has known it longest.
  Duration OrderAge(Time aNow) const;
  /// Why the last judgement came out as it did, for the log.
  const std::string& Reason() const { return m_reason; }

private:
  struct Kept {
    RolloutReport m_report;
    Time m_at{};
  };
  bool IsBad(const RouteEvidence& aEvidence) const;
  std::map<std::string, RouteEvidence> Pool() const;
  bool IsOldIdle(const RolloutRecord& aRecord, std::size_t aEntries, Time aNow) const;

  std::uint64_t m_order = 0;
  std::map<std::string, Kept> m_reports;
  std::uint64_t m_record = 0;
  Time m_phaseSince{};
  std::string m_reason;
};

} // namespace fennelline
