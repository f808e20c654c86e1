#include "LibRouting/RolloutEvaluator.h"

#include "LibDecision/ExposureGate.h"
#include "LibDecision/SequentialTest.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Sessions that began before the order stay on their version for its first half.
constexpr double kTrialPart = 0.52;
/// By then all goes to the new version, or there is no time left to move.
constexpr double kLatestMovePart = 0.62;

/// Answers of the new version before all requests go to it.
constexpr std::int64_t kLeastTrialAnswers = 25;

/// A version that is bad only under load shows it within this time of getting all requests.
constexpr Duration kLeastMovingTime = Milliseconds(2500);

/// The old version's servers stop at once on success, so what still runs there is waited for, but
/// not past the order's time.
constexpr Duration kLastMoment = Milliseconds(1200);

/// A report that is older says nothing of what still runs.
constexpr Duration kReportLife = Milliseconds(1500);

/// No version answers without any failure: connections are reset and servers crash.
constexpr double kLeastGoodRate = 0.04;
/// Bad answers that speak against a version, at the least: single ones come from crashes.
constexpr std::int64_t kLeastBad = 4;

} // namespace

void RolloutEvaluator::OnReport(const RolloutReport& aReport, Time aNow) {
  if (aReport.m_orderRevision < m_order) {
    return;
  }
  if (aReport.m_orderRevision > m_order) {
    m_reports.clear();
    m_order = aReport.m_orderRevision;
  }
  m_reports[aReport.m_entry] = {.m_report = aReport, .m_at = aNow};
}

Duration RolloutEvaluator::OrderAge(Time aNow) const {
  Duration age{0};
  for (const auto& [entry, kept] : m_reports) {
    age = std::max(age, kept.m_report.m_orderAge + (aNow - kept.m_at));
  }
  return age;
}

std::map<std::string, RouteEvidence> RolloutEvaluator::Pool() const {
  std::map<std::string, RouteEvidence> pool;
  std::map<std::uint64_t, bool> broken;
  for (const auto& [entry, kept] : m_reports) {
    for (const auto& [route, row] : kept.m_report.m_routes) {
      // The empty name stands for all routes together.
      for (RouteEvidence* sum : {&pool[route], &pool[""]}) {
        sum->m_newGood += row.m_newGood;
        sum->m_newBad += row.m_newBad;
        sum->m_oldGood += row.m_oldGood;
        sum->m_oldBad += row.m_oldBad;
      }
    }
    broken.insert(kept.m_report.m_failedServers.begin(), kept.m_report.m_failedServers.end());
  }
  // A server that crashes breaks all its answers at once, at several entries: that is one piece of
  // evidence, of no route in particular.
  for (const auto& [server, isNew] : broken) {
    ++(isNew ? pool[""].m_newBad : pool[""].m_oldBad);
  }
  return pool;
}

bool RolloutEvaluator::IsBad(const RouteEvidence& aEvidence) const {
  if (aEvidence.m_newBad < kLeastBad) {
    return false;
  }
  const std::int64_t old = aEvidence.m_oldGood + aEvidence.m_oldBad;
  SequentialTestPlan plan;
  plan.m_goodRate = GoodClusterRate(old, aEvidence.m_oldBad, kLeastGoodRate);
  SequentialTest test(plan);
  test.Add(aEvidence.m_newGood + aEvidence.m_newBad, aEvidence.m_newBad);
  return test.Verdict() == ExposureVerdict::Withdraw;
}

bool RolloutEvaluator::IsOldIdle(const RolloutRecord& aRecord, std::size_t aEntries,
                                 Time aNow) const {
  std::size_t idle = 0;
  for (const auto& [entry, kept] : m_reports) {
    if (aNow - kept.m_at > kReportLife) {
      continue;
    }
    const bool actsOnRecord = kept.m_report.m_recordRevision >= aRecord.m_revision;
    if (!actsOnRecord || kept.m_report.m_oldVersionRunning > 0) {
      return false;
    }
    ++idle;
  }
  return idle >= aEntries;
}

RolloutPhase RolloutEvaluator::Evaluate(const RolloutOrder& aOrder, const RolloutRecord& aRecord,
                                        std::size_t aEntries, Time aNow) {
  if (aRecord.m_revision != m_record) {
    m_record = aRecord.m_revision;
    m_phaseSince = aNow;
  }
  const bool isOver =
    aRecord.m_phase == RolloutPhase::Succeeded || aRecord.m_phase == RolloutPhase::RolledBack;
  if (isOver) {
    return aRecord.m_phase;
  }
  std::map<std::string, RouteEvidence> pool = Pool();
  for (const auto& [route, evidence] : pool) {
    if (IsBad(evidence)) {
      m_reason = (route.empty() ? "all routes" : route) + ": " + std::to_string(evidence.m_newBad) +
                 " bad of " + std::to_string(evidence.m_newGood + evidence.m_newBad) + ", before " +
                 std::to_string(evidence.m_oldBad) + " of " +
                 std::to_string(evidence.m_oldGood + evidence.m_oldBad);
      return RolloutPhase::RolledBack;
    }
  }
  const RouteEvidence& all = pool[""];
  const double age = InSeconds(OrderAge(aNow));
  const double within = InSeconds(aOrder.m_within);
  m_reason = std::to_string(all.m_newGood) + " good and " + std::to_string(all.m_newBad) +
             " bad answers of the new version";
  if (aRecord.m_phase == RolloutPhase::Canary) {
    const bool hasEnough = all.m_newGood + all.m_newBad >= kLeastTrialAnswers;
    const bool isTime = age >= within * (hasEnough ? kTrialPart : kLatestMovePart);
    return isTime ? RolloutPhase::Moving : RolloutPhase::Canary;
  }
  const bool isLast = age >= within - InSeconds(kLastMoment);
  const bool hasMoved = aNow - m_phaseSince >= kLeastMovingTime;
  const bool mayEnd = isLast || (hasMoved && IsOldIdle(aRecord, aEntries, aNow));
  return mayEnd ? RolloutPhase::Succeeded : RolloutPhase::Moving;
}

} // namespace fennelline
