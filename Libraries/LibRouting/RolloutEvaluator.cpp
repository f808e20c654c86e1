#include "LibRouting/RolloutEvaluator.h"

#include "LibDecision/ExposureGate.h"
#include "LibDecision/SequentialTest.h"
#include "LibRouting/VersionRule.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Fraction of the order's time for the canary phase. Sessions that started before the order stay
/// on their version for the first half of it.
constexpr double kTrialFraction = 0.52;
/// Without enough answers, all traffic moves to the new version at this fraction, or as late as
/// there is time left to move it.
constexpr double kLatestMoveFraction = 0.62;

/// Minimum number of answers from the new version, compared with the old one, before it gets all
/// requests ahead of time.
constexpr std::int64_t kMinTrialAnswers = 25;

/// A version with few answers is doubtful if one in this many is bad.
constexpr std::int64_t kDoubtfulDivisor = 4;

/// A version that fails only under load shows it within this time of receiving all requests.
constexpr Duration kMinMovingTime = Milliseconds(2500);

/// The servers of the old version stop immediately on success, so requests still running there are
/// waited for, but not past the order's deadline.
constexpr Duration kFinalMargin = Milliseconds(1200);

/// Time for a decision to reach all entries.
constexpr Duration kMoveMargin = Milliseconds(800);

/// Older reports say nothing about what is still running.
constexpr Duration kReportLifetime = Milliseconds(1500);

/// No version is free of failures: connections are reset and servers crash.
constexpr double kMinGoodRate = 0.04;
/// Minimum number of bad answers before a version is considered bad; single ones are caused by
/// crashes.
constexpr std::int64_t kMinBad = 4;
/// The same once all requests go to the version. In plays of review/4, a slow version showed three
/// slow answers of eight in the second after its ramp, and the fourth a second later.
constexpr std::int64_t kMinBadAfterRamp = 3;
/// Minimum number of streams of a server, and of such servers, before their pace is judged.
constexpr std::int64_t kMinComparedStreams = 3;
constexpr double kMinComparedServers = 3;
/// Share of a server's streams, and of the servers, that counts as most of them.
constexpr double kMostStreams = 0.5;
constexpr double kMostServers = 0.66;
/// Probability that a good version is rolled back once all requests go to it. It is higher than
/// before then, since a second of waiting exposes as many requests as three of the ramp, and what
/// is not rolled back in time runs without the version before.
constexpr double kFalseAlarmAfterRamp = 0.1;

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
  for (const auto& [entry, stored] : m_reports) {
    age = std::max(age, stored.m_report.m_orderAge + (aNow - stored.m_at));
  }
  return age;
}

std::map<std::string, RouteEvidence> RolloutEvaluator::Pool() const {
  std::map<std::string, RouteEvidence> pool;
  std::map<std::uint64_t, bool> broken;
  std::map<std::pair<std::uint64_t, std::int64_t>, bool> slow;
  for (const auto& [entry, stored] : m_reports) {
    for (const auto& [route, row] : stored.m_report.m_routes) {
      // The empty name holds the total of all routes.
      for (RouteEvidence* sum : {&pool[route], &pool[""]}) {
        sum->m_newGood += row.m_newGood;
        sum->m_newNotCompared += row.m_newNotCompared;
        sum->m_newBad += row.m_newBad;
        sum->m_newSlow += row.m_newSlow;
        sum->m_oldGood += row.m_oldGood;
        sum->m_oldBad += row.m_oldBad;
      }
    }
    slow.insert(stored.m_report.m_slowServers.begin(), stored.m_report.m_slowServers.end());
    broken.insert(stored.m_report.m_failedServers.begin(), stored.m_report.m_failedServers.end());
  }
  // A crashing server breaks all its answers at once, at several entries. It counts as one failure
  // and is not attributed to a route.
  for (const auto& [server, isNew] : broken) {
    ++(isNew ? pool[""].m_newBad : pool[""].m_oldBad);
  }
  // A long prompt delays all streams on its server at once. They count as one in each second, so
  // that only a version whose streams are slow on most servers, or at most times, stands out.
  for (const auto& [place, isNew] : slow) {
    ++(isNew ? pool[""].m_newBad : pool[""].m_oldBad);
    pool[""].m_newSlow += isNew ? 1 : 0;
  }
  return pool;
}

bool RolloutEvaluator::IsBad(const RouteEvidence& aEvidence, bool aIsAfterRamp) const {
  const std::int64_t minBad = aIsAfterRamp ? kMinBadAfterRamp : kMinBad;
  if (aEvidence.m_newBad < minBad) {
    return false;
  }
  const std::int64_t old = aEvidence.m_oldGood + aEvidence.m_oldBad;
  SequentialTestPlan plan;
  plan.m_goodRate = GoodClusterRate(old, aEvidence.m_oldBad, kMinGoodRate);
  plan.m_falseAlarm = aIsAfterRamp ? kFalseAlarmAfterRamp : plan.m_falseAlarm;
  SequentialTest all(plan);
  all.Add(aEvidence.m_newGood + aEvidence.m_newBad, aEvidence.m_newBad);
  SequentialTest slow(plan);
  if (aEvidence.m_newSlow >= minBad) {
    slow.Add(aEvidence.m_newGood - aEvidence.m_newNotCompared + aEvidence.m_newSlow,
             aEvidence.m_newSlow);
  }
  return all.Verdict() == ExposureVerdict::Withdraw || slow.Verdict() == ExposureVerdict::Withdraw;
}

bool RolloutEvaluator::AreServersDelayed() const {
  std::map<std::uint64_t, PaceEvidence> servers;
  for (const auto& [entry, stored] : m_reports) {
    for (const auto& [server, evidence] : stored.m_report.m_paces) {
      servers[server].m_streams += evidence.m_streams;
      servers[server].m_delayed += evidence.m_delayed;
    }
  }
  double compared = 0;
  double delayed = 0;
  for (const auto& [server, evidence] : servers) {
    if (evidence.m_streams >= kMinComparedStreams) {
      ++compared;
      const double share =
        static_cast<double>(evidence.m_delayed) / static_cast<double>(evidence.m_streams);
      delayed += share > kMostStreams ? 1 : 0;
    }
  }
  return compared >= kMinComparedServers && delayed >= kMostServers * compared;
}

bool RolloutEvaluator::IsOldIdle(const RolloutRecord& aRecord, std::size_t aEntries,
                                 Time aNow) const {
  std::size_t idle = 0;
  for (const auto& [entry, stored] : m_reports) {
    if (aNow - stored.m_at > kReportLifetime) {
      continue;
    }
    const bool actsOnRecord = stored.m_report.m_recordRevision >= aRecord.m_revision;
    if (!actsOnRecord || stored.m_report.m_oldVersionRunning > 0) {
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
  const double age = InSeconds(OrderAge(aNow));
  const double within = InSeconds(aOrder.m_within);
  const bool isLast = age >= within - InSeconds(kFinalMargin);
  const bool isAfterRamp =
    aRecord.m_phase == RolloutPhase::Moving && aNow - m_phaseSince >= RampTime(aOrder.m_within);
  std::map<std::string, RouteEvidence> pool = Pool();
  for (const auto& [route, evidence] : pool) {
    if (IsBad(evidence, isAfterRamp || isLast)) {
      m_reason = (route.empty() ? "all routes" : route) + ": new version " +
                 std::to_string(evidence.m_newBad) + " bad of " +
                 std::to_string(evidence.m_newGood + evidence.m_newBad) + ", old version " +
                 std::to_string(evidence.m_oldBad) + " of " +
                 std::to_string(evidence.m_oldGood + evidence.m_oldBad);
      return RolloutPhase::RolledBack;
    }
  }
  if (AreServersDelayed()) {
    m_reason = "streams are delayed on most servers of the new version";
    return RolloutPhase::RolledBack;
  }
  const RouteEvidence& all = pool[""];
  m_reason = std::to_string(all.m_newGood) + " good and " + std::to_string(all.m_newBad) +
             " bad answers from the new version, " + std::to_string(all.m_newNotCompared) +
             " not compared";
  const std::int64_t comparedGood = all.m_newGood - all.m_newNotCompared;
  const bool hasEnough = comparedGood + all.m_newBad >= kMinTrialAnswers;
  // Too few answers for a verdict, but most of those that could be compared are bad.
  const bool hasManyBad = all.m_newBad * kDoubtfulDivisor >= all.m_newGood + all.m_newBad;
  const bool isDoubtful = !hasEnough && hasManyBad && all.m_newBad > comparedGood;
  if (isDoubtful && isLast) {
    return RolloutPhase::RolledBack;
  }
  if (aRecord.m_phase == RolloutPhase::Canary) {
    const double latest =
      std::max(within * kLatestMoveFraction,
               within - InSeconds(kMinMovingTime + kFinalMargin + kMoveMargin)) -
      InSeconds(RampTime(aOrder.m_within));
    const bool isTime = age >= within * kTrialFraction && (hasEnough || age >= latest);
    return isTime && !isDoubtful ? RolloutPhase::Moving : RolloutPhase::Canary;
  }
  const bool hasMoved = aNow - m_phaseSince >= RampTime(aOrder.m_within) + kMinMovingTime;
  const bool mayEnd = isLast || (hasMoved && hasEnough && IsOldIdle(aRecord, aEntries, aNow));
  return mayEnd ? RolloutPhase::Succeeded : RolloutPhase::Moving;
}

} // namespace fennelline
