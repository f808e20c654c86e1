#pragma once

#include "LibRouting/LatencyBaseline.h"
#include "LibRouting/RolloutEvaluator.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/StoreClient.h"
#include "Services/Edge/StoreView.h"

#include <functional>
#include <map>
#include <string>

namespace fennelline {

/// Drives rollouts: collects this entry's evidence, reports it to the entries that decide and, on
/// those, writes the decisions to the store. Writes are conditional on the record's revision, so
/// concurrent attempts by several entries are safe.
class RolloutDriver {
public:
  RolloutDriver(EdgeContext& aContext, StoreView& aStoreView, Members& aMembers,
                StoreClient& aStore);

  using SendReport = std::function<void(const std::string&, const RolloutReport&)>;
  /// Sets the function that sends a report to an entry's datagram address.
  void SetSend(SendReport aSend) { m_send = std::move(aSend); }
  void Start();
  void OnEvidence(const VersionEvidenceEvent& aEvent);
  void OnReport(const RolloutReport& aReport);
  bool IsSlow(const std::string& aKind, Duration aLatency) const {
    return m_baseline.IsSlow(aKind, aLatency);
  }
  bool IsDelayed(const std::string& aKind, Duration aGap) const {
    return m_paces.IsAboveMean(aKind, aGap);
  }

private:
  struct LocalEvidence {
    /// Evidence so far. Fields that change over time are filled in when the report is sent.
    RolloutReport m_report;
    std::uint64_t m_orderSerial = 0;
    Time m_orderSeen{};
    Time m_nextReport{};
  };

  void OnPace(const VersionEvidenceEvent& aEvent);
  void Tick();
  bool IsInProgress(const RolloutOrder& aOrder) const;
  void Report(const RolloutOrder& aOrder);
  void Advance(const RolloutOrder& aOrder);
  void Write(const RolloutRecord& aRecord, Revision aExpected);
  void WriteStatus(const RolloutRecord& aRecord);
  RolloutRecord RecordOf(const RolloutOrder& aOrder) const;

  EdgeContext& m_context;
  StoreView& m_storeView;
  Members& m_members;
  StoreClient& m_store;
  std::map<std::string, LocalEvidence> m_localEvidence;
  std::map<std::string, RolloutEvaluator> m_evaluators;
  SendReport m_send;
  LatencyBaseline m_baseline;
  /// Paces of streams that have just begun; those of finished ones are in m_baseline.
  LatencyBaseline m_paces;
  /// A write to the store is in progress.
  bool m_isWritingRollout = false;
  /// When a change to another phase first became due, by service.
  std::map<std::string, Time> m_dueSince;
};

} // namespace fennelline
