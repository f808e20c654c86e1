#include "LibRouting/OverloadControl.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace fennelline {

namespace {

/// Parts of the recent runs that are delayed or rejected, see CongestionSignal.
constexpr double kTightLevel = 0.25;
constexpr double kSurgeLevel = 0.4;
constexpr double kSevereLevel = 0.6;

/// During a surge, answers with this confidence (percent) are kept. It falls from the usual
/// threshold to zero at kNoEscalationLevel, and is lower by a part of it for each step of urgency:
/// the least certain answers, and those of the most urgent kind, gain most by a larger model.
constexpr double kDoubtfulPercent = 60.0;
constexpr double kNoEscalationLevel = 0.8;
constexpr double kEscalationPerUrgency = 0.2;
/// A late answer of a larger model is worth more than one on time with less confidence (percent).
constexpr double kLateWorthPercent = 20.0;

/// A request leaves the queue after this fraction of its objective, so that it can still be served
/// within the objective if the estimate of the capacity is wrong.
constexpr double kWaitFraction = 0.5;

/// With a smaller part of its slots in use, an entry takes delays for the fault of single servers.
constexpr double kLeastUsedPart = 0.5;

/// The most urgent runs are delayed although the entry keeps to its slots, for example because
/// prefill and not the number of slots limits the servers: the entry uses fewer of them.
constexpr double kUrgentDelayedLevel = 0.15;
constexpr double kLimitDecrease = 0.05;
constexpr double kLimitIncrease = 0.02;
constexpr Duration kAdaptInterval = Milliseconds(250);

/// Margins around the entry's part of the slots by rank, in square roots of it. The most urgent
/// requests are not held.
constexpr double kSecondRankMargin = 2.0;
constexpr double kLastRankMargin = -0.5;
/// Added for accounts over their share.
constexpr double kOverShareMargin = -2.5;

/// With this part of the runs of a more urgent kind delayed, less urgent work that cannot meet its
/// own objective is refused.
constexpr double kMoreUrgentDelayedLevel = 0.6;

/// Requests of a more urgent kind were seen within this time, so that others may have to wait for
/// them.
constexpr Duration kKindMemory = Seconds(30);

/// Used for the expected wait before any run has ended: a typical answer.
constexpr double kInitialSlotSeconds = 0.5;
/// Part of the slots that is taken to serve the queue if more urgent runs hold all of them.
constexpr double kLeastDrainPart = 0.1;

/// Of the requests that still wait after a surge, one in this many slots is sent per review, so
/// that the queues of all entries do not make the next surge.
constexpr double kSlotsPerRelease = 20.0;

constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = Seconds(10);
constexpr double kRetrySpread = 0.3;
constexpr double kRetryPerUrgency = 0.5;
constexpr double kOverShareRetryFactor = 2.0;

Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

int OverloadControl::Running() const {
  int sum = 0;
  for (const int running : m_running) {
    sum += running;
  }
  return sum;
}

SurgeState OverloadControl::State(Time aNow) {
  // A part of the slots below this is in use by chance.
  const double busy = kLeastUsedPart * m_slots - std::sqrt(m_slots);
  const double level = m_signal.Level(aNow);
  if (m_slots <= 0.0 || level < kTightLevel || Running() < std::max(1.0, busy)) {
    return SurgeState::Calm;
  }
  if (level < kSurgeLevel) {
    return SurgeState::Tight;
  }
  return level < kSevereLevel ? SurgeState::Surge : SurgeState::Severe;
}

bool OverloadControl::IsMostUrgent(int aUrgency, Time aNow) const {
  const auto end = m_lastSeen.begin() + aUrgency;
  return std::none_of(m_lastSeen.begin(), end,
                      [aNow](Time aSeen) { return aSeen != Time{} && aSeen + kKindMemory > aNow; });
}

bool OverloadControl::IsUniform(Time aNow) const {
  return std::count_if(m_lastSeen.begin(), m_lastSeen.end(), [aNow](Time aSeen) {
           return aSeen != Time{} && aSeen + kKindMemory > aNow;
         }) < 2;
}

int OverloadControl::RankOf(const AdmissionQuery& aQuery, Time aNow) const {
  if (IsUniform(aNow)) {
    return aQuery.m_isRejected ? 1 : 0;
  }
  return IsMostUrgent(aQuery.m_urgency, aNow) ? 0 : aQuery.m_urgency;
}

double OverloadControl::MostRunning(int aRank, bool aIsOverShare) const {
  const bool isLast = aRank >= kUrgencyLevels - 1;
  const double margin =
    (isLast ? kLastRankMargin : kSecondRankMargin) + (aIsOverShare ? kOverShareMargin : 0.0);
  return std::max(1.0, m_slots * (isLast ? m_usedPart : 1.0) + margin * std::sqrt(m_slots));
}

bool OverloadControl::AreServersFull(Time aNow) {
  const double full = m_slots - std::sqrt(m_slots);
  return State(aNow) >= SurgeState::Surge && Running() + m_released >= full &&
         m_signal.HasWaitingRun(aNow);
}

bool OverloadControl::IsMoreUrgentDelayed(int aUrgency, Time aNow) const {
  for (int urgency = 0; urgency < aUrgency; ++urgency) {
    if (m_signal.LevelOf(urgency, aNow) >= kMoreUrgentDelayedLevel) {
      return true;
    }
  }
  return false;
}

void OverloadControl::AdaptLimit(Time aNow) {
  if (aNow < m_adaptedAt + kAdaptInterval) {
    return;
  }
  m_adaptedAt = aNow;
  int mostUrgent = 0;
  while (mostUrgent < kUrgencyLevels - 1 && IsMostUrgent(mostUrgent + 1, aNow)) {
    ++mostUrgent;
  }
  const bool isDelayed = m_signal.LevelOf(mostUrgent, aNow) > kUrgentDelayedLevel;
  m_usedPart = isDelayed ? std::max(kLeastUsedPart, m_usedPart - kLimitDecrease)
                         : std::min(1.0, m_usedPart + kLimitIncrease);
}

Duration OverloadControl::QueueWait(const WaitingRequest& aRequest, std::size_t aAhead) const {
  const double runs = m_runsEnded.Value(m_adaptedAt);
  const double slotSeconds =
    runs > 0.0 ? m_slotSeconds.Value(m_adaptedAt) / runs : kInitialSlotSeconds;
  double moreUrgent = 0.0;
  for (int urgency = 0; urgency < aRequest.m_urgency; ++urgency) {
    moreUrgent += m_running[static_cast<std::size_t>(urgency)];
  }
  const double slots =
    std::max({kLeastDrainPart * m_slots, m_slots * m_usedPart - moreUrgent, 0.1});
  return FromSeconds(static_cast<double>(aAhead + 1) * slotSeconds / slots);
}

Admission OverloadControl::DecideOnTime(const WaitingRequest& aRequest, Duration aWait, Time aNow) {
  if (!AreServersFull(aNow)) {
    return Admission::Send;
  }
  const Time first =
    aNow + aWait + m_signal.ServerWait(aRequest.m_urgency, aNow) + aRequest.m_expectedFirstEvent;
  if (aRequest.m_useRatio >= AccountUse::kOverShare && first > aRequest.m_objectiveAt) {
    return Admission::RefuseOverShare;
  }
  const bool isTooLate =
    first > aRequest.m_lastUse ||
    (aRequest.m_urgency >= kUrgencyLevels - 1 && first > aRequest.m_objectiveAt &&
     IsMoreUrgentDelayed(aRequest.m_urgency, aNow));
  return isTooLate ? Admission::RefuseLate : Admission::Send;
}

AdmissionDecision OverloadControl::Offer(const AdmissionQuery& aQuery, Time aNow) {
  AdaptLimit(aNow);
  const SurgeState state = State(aNow);
  if (!aQuery.m_isRejected) {
    m_accounts.Add(aQuery.m_account, aQuery.m_work, state != SurgeState::Calm, aNow);
  }
  m_lastSeen[static_cast<std::size_t>(aQuery.m_urgency)] = aNow;
  const int rank = RankOf(aQuery, aNow);
  const bool mustWait = state >= SurgeState::Surge || m_queue.Count() > 0;
  if (rank == 0 || !mustWait || aQuery.m_objective <= Duration(0)) {
    return {};
  }
  const Time objectiveAt = aQuery.m_arrived + aQuery.m_objective;
  WaitingRequest request{
    .m_id = ++m_lastId,
    .m_urgency = aQuery.m_urgency,
    .m_useRatio = m_accounts.RatioForNext(aQuery.m_account, aNow),
    .m_objectiveAt = objectiveAt,
    .m_leaveBy =
      aQuery.m_arrived + std::chrono::duration_cast<Duration>(aQuery.m_objective * kWaitFraction),
    // A late answer loses its value by the deadline; half of it is left midway.
    .m_lastUse = objectiveAt + std::max(Duration(0), aQuery.m_answerBy - objectiveAt) / 2,
    .m_expectedFirstEvent = m_signal.ExpectedFirstEvent(aQuery.m_model, aQuery.m_promptTokens),
    .m_bytes = aQuery.m_bytes};
  const std::size_t ahead = m_queue.CountAhead(request);
  AdmissionDecision decision{.m_id = request.m_id, .m_useRatio = request.m_useRatio};
  if (aNow >= request.m_leaveBy || (ahead == 0 && HasRoom(rank, request.m_useRatio))) {
    return decision;
  }
  decision.m_expectedWait = QueueWait(request, ahead);
  // It is sent to the servers at m_leaveBy, whatever the length of the queue.
  const Duration wait = std::min(decision.m_expectedWait, request.m_leaveBy - aNow);
  decision.m_admission = DecideOnTime(request, wait, aNow);
  if (decision.m_admission != Admission::Send) {
    return decision;
  }
  if (!m_queue.HasPlaceFor(request)) {
    decision.m_admission = AreServersFull(aNow) ? Admission::RefuseFull : Admission::Send;
    return decision;
  }
  decision.m_admission = Admission::Wait;
  m_queue.Add(request);
  return decision;
}

std::vector<AdmissionDecision> OverloadControl::Review(Time aNow) {
  AdaptLimit(aNow);
  std::vector<AdmissionDecision> decisions;
  const auto release = [&](const WaitingRequest& aRequest, Admission aAdmission) {
    decisions.push_back(
      {.m_id = aRequest.m_id, .m_admission = aAdmission, .m_useRatio = aRequest.m_useRatio});
    m_released += aAdmission == Admission::Send ? 1 : 0;
  };
  for (const WaitingRequest& request : m_queue.All()) {
    if (aNow >= request.m_leaveBy) {
      release(request, DecideOnTime(request, Duration(0), aNow));
      m_queue.Remove(request.m_id);
    }
  }
  const bool isSurge = State(aNow) >= SurgeState::Surge;
  const double mostReleased = std::max(1.0, m_slots / kSlotsPerRelease);
  while (const WaitingRequest* first = m_queue.First()) {
    const bool mayGo = isSurge ? HasRoom(std::max(1, first->m_urgency), first->m_useRatio)
                               : m_released < mostReleased;
    if (!mayGo) {
      break;
    }
    release(*first, Admission::Send);
    m_queue.Remove(first->m_id);
  }
  m_released = 0;
  return decisions;
}

bool OverloadControl::HasCapacityToEscalate(const EscalationQuery& aQuery, Time aNow) {
  if (State(aNow) == SurgeState::Calm) {
    return true;
  }
  const Duration toFirstEvent = m_signal.ServerWait(aQuery.m_urgency, aNow) +
                                m_signal.ExpectedFirstEvent(aQuery.m_model, aQuery.m_promptTokens);
  const bool isLate = aQuery.m_objectiveAt != kNever && aNow + toFirstEvent > aQuery.m_objectiveAt;
  if (isLate && aQuery.m_confidence >= kLateWorthPercent) {
    return false;
  }
  const int rank = IsUniform(aNow) || IsMostUrgent(aQuery.m_urgency, aNow) ? 0 : aQuery.m_urgency;
  const double surge = (m_signal.Level(aNow) - kTightLevel) / (kNoEscalationLevel - kTightLevel) +
                       kEscalationPerUrgency * rank;
  return aQuery.m_confidence < kDoubtfulPercent * (1.0 - surge);
}

Duration OverloadControl::RetryAfter(int aUrgency, bool aIsOverShare, double aSpread, Time aNow) {
  const Duration perRequest = QueueWait({.m_urgency = aUrgency}, 0);
  const Duration queue = perRequest * static_cast<std::int64_t>(m_queue.Count());
  m_nextReturn = std::clamp(m_nextReturn + perRequest, aNow, aNow + kMaxRetryAfter);
  double factor = 1.0 + kRetryPerUrgency * aUrgency + kRetrySpread * aSpread;
  factor *= aIsOverShare ? kOverShareRetryFactor : 1.0;
  const Duration base = std::max(queue, m_nextReturn - aNow);
  return std::clamp(std::chrono::duration_cast<Duration>(base * factor) + kMinRetryAfter,
                    kMinRetryAfter, kMaxRetryAfter);
}

CongestionSignal::RunId OverloadControl::OnSent(const CongestionSignal::Run& aRun) {
  ++m_running[static_cast<std::size_t>(aRun.m_urgency)];
  return m_signal.OnSent(aRun);
}

void OverloadControl::OnEnded(CongestionSignal::RunId aRun, int aUrgency, Duration aTime,
                              Time aNow) {
  --m_running[static_cast<std::size_t>(aUrgency)];
  m_signal.OnEnded(aRun, aNow);
  m_slotSeconds.Add(InSeconds(aTime), aNow);
  m_runsEnded.Add(1.0, aNow);
}

} // namespace fennelline
