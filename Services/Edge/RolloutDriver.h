#pragma once

#include "LibRouting/RolloutJudge.h"
#include "LibRouting/UsualTimes.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/StoreClient.h"
#include "Services/Edge/StoreView.h"

#include <functional>
#include <map>
#include <string>

namespace fennelline {

/// Drives roll-outs: counts this entry's evidence and reports it to the entries that may decide,
/// and, on those, writes the decisions to the store. Every write is under the condition that the
/// record is as it was read, so it does not matter how many entries try.
class RolloutDriver {
public:
  RolloutDriver(EdgeContext& aContext, StoreView& aStoreView, Members& aMembers,
                StoreClient& aStore);

  using SendReport = std::function<void(const std::string&, const RolloutReport&)>;
  /// How reports go to an entry's address for datagrams.
  void SetSend(SendReport aSend) { m_send = std::move(aSend); }
  void Start();
  void OnAnswer(const VersionEvidenceEvent& aEvent);
  void OnReport(const RolloutReport& aReport);

private:
  struct Own {
    /// What was seen so far; what changes by itself is filled in when it is told.
    RolloutReport m_report;
    Time m_orderSeen{};
  };

  void Tick();
  bool IsUnderWay(const RolloutOrder& aOrder) const;
  void Report(const RolloutOrder& aOrder);
  void Drive(const RolloutOrder& aOrder);
  void Write(const RolloutRecord& aRecord, Revision aExpected);
  void WriteStatus(const RolloutRecord& aRecord);
  /// This entry's place among those that may decide, from 0; the first decides at once.
  std::size_t Rank() const;
  RolloutRecord RecordOf(const RolloutOrder& aOrder) const;

  EdgeContext& m_context;
  StoreView& m_storeView;
  Members& m_members;
  StoreClient& m_store;
  std::map<std::string, Own> m_own;
  std::map<std::string, RolloutJudge> m_judges;
  SendReport m_send;
  UsualTimes m_usual;
  /// A write is under way.
  bool m_writing = false;
  /// When a phase other than the recorded one was first called for, by service.
  std::map<std::string, Time> m_dueSince;
};

} // namespace fennelline
