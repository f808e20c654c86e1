#pragma once

#include "LibDecision/PrefixHashes.h"
#include "Utilities/Policy/EntryBook.h"
#include "Utilities/Policy/ReplicaPolicies.h"
#include "Utilities/Policy/RoutingSettings.h"

#include <queue>
#include <vector>

namespace fennelline {

/// A seeded run: callers send, entries decide with what they know late, engines work. Time is that
/// of the run's own event queue.
template<ReplicaPolicy Policy>
class RoutingRun {
public:
  RoutingRun(RoutingSettings aSettings, std::uint64_t aSeed)
    : m_settings(std::move(aSettings))
    , m_random(aSeed) {}

  RoutingResult Run();

private:
  enum class EventKind : std::uint8_t {
    Try,
    Submit,
    Wake,
    FirstToken,
    Done,
    MakeReport,
    SeeReport,
    Deadline,
    Hedge,
    Crash
  };
  struct Event {
    Time m_at{};
    std::uint64_t m_order = 0;
    EventKind m_kind = EventKind::Try;
    std::size_t m_subject = 0;
    std::uint64_t m_generation = 0;
    bool operator>(const Event& aOther) const {
      return m_at != aOther.m_at ? m_at > aOther.m_at : m_order > aOther.m_order;
    }
  };
  struct Attempt {
    std::size_t m_request = 0;
    std::size_t m_entry = 0;
    std::size_t m_engine = 0;
    std::int64_t m_expectedTokens = 0;
    /// Prompt tokens that the entry still counts as waiting at the engine.
    std::int64_t m_promptTokens = 0;
    Duration m_expectedWait{0};
    Time m_sentAt{};
    bool m_open = true;
    bool m_extra = false;
  };
  /// The state of a request while an entry handles it.
  struct Handling {
    std::vector<std::size_t> m_attempts;
    std::size_t m_entry = 0;
    double m_work = 0.0;
    bool m_admitted = false;
    bool m_started = false;
  };
  struct PendingReport {
    std::size_t m_engine = 0;
    EngineReport m_report;
    std::vector<CacheChange> m_changes;
    bool m_gap = false;
  };

  void Push(Time aAt, EventKind aKind, std::size_t aSubject, std::uint64_t aGeneration = 0);
  void Handle(const Event& aEvent);
  void OnTry(std::size_t aRequest);
  void OnSubmit(std::size_t aAttempt);
  void OnDone(std::size_t aAttempt);
  void OnFirstToken(std::size_t aAttempt);
  void OnMakeReport(std::size_t aEngine);
  void OnSeeReport(std::size_t aReport);
  void OnDeadline(std::size_t aRequest);
  void OnHedge(std::size_t aRequest);
  void OnCrash(std::size_t aEngine);
  void OnLost(std::size_t aAttempt);
  void Send(std::size_t aRequest, const ReplicaChoice& aChoice, bool aExtra);
  bool Admit(std::size_t aRequest, const ReplicaChoice& aChoice, Duration* aRetryAfter);
  void End(std::size_t aRequest, RequestEnd aEnd);
  void CloseAttempts(std::size_t aRequest);
  void CloseAttempt(std::size_t aAttempt, bool aFailed);
  void CountPromptRead(Attempt& aAttempt);
  void Refuse(std::size_t aRequest, Duration aRetryAfter);
  std::optional<ReplicaChoice> Choose(std::size_t aRequest);
  void Observe(std::size_t aEngine);
  Duration Distance(std::size_t aEntry, std::size_t aEngine) const;
  Time DeadlineOf(std::size_t aRequest) const;
  const KindProfile& KindOf(std::size_t aRequest) const {
    return m_settings.m_mix.m_kinds[m_result.m_requests[aRequest].m_arrival.m_kind];
  }
  const CustomerProfile& CustomerOf(std::size_t aRequest) const {
    return m_settings.m_mix.m_customers[m_result.m_requests[aRequest].m_arrival.m_customer];
  }
  VersionEstimate EstimateOf(std::size_t aEntry, std::size_t aRequest) const;

  RoutingSettings m_settings;
  Random m_random;
  Time m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<EngineFake> m_engines;
  std::vector<std::uint64_t> m_wakeGenerations;
  std::vector<EntryBook> m_entries;
  std::vector<Policy> m_policies;
  std::vector<Attempt> m_attempts;
  std::vector<Handling> m_handling;
  std::vector<PendingReport> m_reports;
  RoutingResult m_result;
};

} // namespace fennelline

#include "Utilities/Policy/RoutingRunFaults.h"
#include "Utilities/Policy/RoutingRunImpl.h"
