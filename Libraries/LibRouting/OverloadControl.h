#pragma once

#include "LibBase/NameTable.h"
#include "LibRouting/AccountUse.h"
#include "LibRouting/AdmissionQueue.h"
#include "LibRouting/CongestionSignal.h"
#include "LibRouting/DecayingSum.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// How congested the engines of a service are.
enum class SurgeState : std::uint8_t {
  Calm,
  /// Only answers with little confidence are escalated to a larger model.
  Tight,
  /// Less urgent requests wait for capacity, too.
  Surge,
  /// Most of the recent runs are delayed.
  Severe,
};

constexpr NameTable<SurgeState, 4> kSurgeStateNames = {{
  {SurgeState::Calm, "calm"},
  {SurgeState::Tight, "tight"},
  {SurgeState::Surge, "surge"},
  {SurgeState::Severe, "severe"},
}};

enum class Admission : std::uint8_t {
  Send,
  Wait,
  /// It cannot be served in time.
  RefuseLate,
  /// It cannot be served in time, and its account is over its share.
  RefuseOverShare,
  /// The queue of this entry is full.
  RefuseFull,
};

constexpr NameTable<Admission, 5> kAdmissionNames = {{
  {Admission::Send, "send"},
  {Admission::Wait, "wait"},
  {Admission::RefuseLate, "too-late"},
  {Admission::RefuseOverShare, "over-share"},
  {Admission::RefuseFull, "queue-full"},
}};

/// A request for which capacity is needed.
struct AdmissionQuery {
  /// 0 is the most urgent.
  int m_urgency = 0;
  std::string m_account;
  /// See WorkOf().
  double m_work = 0.0;
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::size_t m_bytes = 0;
  Time m_arrived{};
  Duration m_objective{0};
  Time m_answerBy = kNever;
  /// A server has rejected it because it was full.
  bool m_isRejected = false;
};

/// A request whose answer at hand could be replaced by one of a larger model.
struct EscalationQuery {
  /// Confidence of the answer at hand, in percent.
  int m_confidence = 0;
  int m_urgency = 0;
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  /// When the latency objective is missed; kNever without one.
  Time m_objectiveAt = kNever;
};

struct AdmissionDecision {
  std::uint64_t m_id = 0;
  Admission m_admission = Admission::Send;
  Duration m_expectedWait{0};
  double m_useRatio = 1.0;
};

/// Decides at one entry, for the engines of one service, which requests may be sent now, wait at
/// the entry, or are refused. Nothing waits and nothing is refused unless the answers of the
/// servers show congestion and this entry's part of the slots is in use.
///
/// Load that it is made for: callers send two to three times what the servers can do for ten
/// seconds, or a few accounts send many times their usual load. Entries do not exchange messages;
/// each keeps to its part of the slots, with a margin of the order of the square root, since an
/// entry of 86 has about 19 slots and its share of the load varies by chance.
class OverloadControl {
public:
  /// aSlots: this entry's part of the slots of the servers that take requests.
  void SetSlots(double aSlots) { m_slots = aSlots; }

  /// A request has arrived. If it has to wait, the decision holds its number in the queue.
  AdmissionDecision Offer(const AdmissionQuery& aQuery, Time aNow);
  /// Decides on waiting requests that may leave the queue now; they are no longer in it. Called
  /// when a run ends and every few milliseconds.
  std::vector<AdmissionDecision> Review(Time aNow);
  /// A waiting request has ended.
  void Leave(std::uint64_t aId) { m_queue.Remove(aId); }

  /// Whether a request may be escalated to a larger model, which is new work for the servers.
  bool HasCapacityToEscalate(const EscalationQuery& aQuery, Time aNow);
  /// When the caller of a refused request should come back. Each refused caller is given a later
  /// time, as fast as the servers take requests from the queue. aSpread: uniform in [0, 1).
  Duration RetryAfter(int aUrgency, bool aIsOverShare, double aSpread, Time aNow);

  CongestionSignal::RunId OnSent(const CongestionSignal::Run& aRun);
  void OnFirstEvent(CongestionSignal::RunId aRun, Time aNow) { m_signal.OnFirstEvent(aRun, aNow); }
  void OnRejected(CongestionSignal::RunId aRun, Time aNow) { m_signal.OnRejected(aRun, aNow); }
  void OnEnded(CongestionSignal::RunId aRun, int aUrgency, Duration aTime, Time aNow);

  SurgeState State(Time aNow);
  double Level(Time aNow) { return m_signal.Level(aNow); }
  const AdmissionQueue& Queue() const { return m_queue; }
  double Slots() const { return m_slots; }
  int Running() const;

private:
  /// 0 if it never waits.
  int RankOf(const AdmissionQuery& aQuery, Time aNow) const;
  bool IsUniform(Time aNow) const;
  bool IsMostUrgent(int aUrgency, Time aNow) const;
  /// How many requests the entry may have at the servers when one of this rank is sent.
  double MostRunning(int aRank, bool aIsOverShare) const;
  bool HasRoom(int aRank, double aUseRatio) const {
    return Running() + m_released < MostRunning(aRank, aUseRatio >= AccountUse::kOverShare);
  }
  /// Whether a more urgent kind misses its objectives.
  bool IsMoreUrgentDelayed(int aUrgency, Time aNow) const;
  bool AreServersFull(Time aNow);
  Duration QueueWait(const WaitingRequest& aRequest, std::size_t aAhead) const;
  Admission DecideOnTime(const WaitingRequest& aRequest, Duration aWait, Time aNow);
  void AdaptLimit(Time aNow);

  CongestionSignal m_signal;
  AccountUse m_accounts;
  AdmissionQueue m_queue;
  std::uint64_t m_lastId = 0;
  double m_slots = 0.0;
  /// Part of the slots that this entry uses during a surge.
  double m_usedPart = 1.0;
  Time m_adaptedAt{};
  std::array<int, kUrgencyLevels> m_running{};
  /// Requests that the current review has released and that are not sent yet.
  int m_released = 0;
  std::array<Time, kUrgencyLevels> m_lastSeen{};
  DecayingSum m_slotSeconds{Seconds(20)};
  DecayingSum m_runsEnded{Seconds(20)};
  Time m_nextReturn{};
};

} // namespace fennelline
