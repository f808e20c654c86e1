#pragma once

#include "LibCoordination/PlatformCall.h"
#include "LibRouting/RolloutRecord.h"
#include "LibRouting/StoreMirror.h"
#include "Services/Edge/EdgeContext.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Applies store changes to this entry's routing state: the active configuration, the backend
/// servers and the rollout orders. A value that cannot be parsed is ignored, except for a backend
/// server's entry: that server is removed.
///
/// When the store comes back from a copy, what the copy lacks or has in an older form is written
/// again within seconds. Until then, this entry goes on with what it knew.
class StoreView {
public:
  explicit StoreView(EdgeContext& aContext)
    : m_context(aContext) {}

  void OnStoreChanges(const std::vector<KeyValue>& aChanges, const ChangeOrigin& aOrigin,
                      const StoreMirror& aMirror);

  /// Applies the orders to evacuate data centres that the earlier settings did not know.
  void OnSettingsChanged(const StoreMirror& aMirror);

  /// Whether the store has just come back from a copy that may lack what is to be written again.
  bool IsSettling() const;
  Time SettlesAt() const { return m_settlesAt; }
  /// Identities of the backend servers that only the copy lists, and of those in data centres whose
  /// evacuation it lacks, until the store is believed.
  std::vector<std::uint64_t> WithheldServers() const;
  /// Other entries withhold the server until then.
  void OnWithheldByOthers(std::uint64_t aServer, Time aUntil);

  const std::map<std::string, RolloutOrder>& Orders() const { return m_orders; }
  /// Rollout progress by service.
  const std::map<std::string, RolloutRecord>& Records() const { return m_records; }

private:
  void Apply(const KeyValue& aKey, Revision aLapsedUpTo);
  /// Compares what the store's copy has with what this entry knows.
  void OnReturn(const std::vector<KeyValue>& aChanges, Revision aLapsedUpTo,
                const StoreMirror& aMirror);
  void CompareOrders(const StoreMirror& aMirror);
  void CompareEvacuations(const StoreMirror& aMirror);
  void CompareRecords(const StoreMirror& aMirror);
  /// Applies what the store has of the keys that were not written again.
  void Settle(const StoreMirror& aMirror);
  /// Whether a server's record in the store's copy may be older than what this entry knows.
  bool IsOutdated(const ReplicaRecord& aCopied) const;
  void Renumber(RolloutOrder& aOrder, Revision aRevision);
  void ApplyConfiguration(const KeyValue& aKey);
  void ApplyReplica(const std::string& aId, const KeyValue& aKey, Revision aLapsedUpTo);
  void ApplyOrder(const std::string& aService, const KeyValue& aKey);
  void ApplyEvacuation(const std::string& aZone, const KeyValue& aKey);
  void OnEvacuationChanged(const std::string& aZone, const KeyValue& aKey);
  void ApplyRecord(const std::string& aService, const KeyValue& aKey);
  void ApplyCrashRecord(const std::string& aFingerprint, const KeyValue& aKey);
  /// Whether the store has a record of a service that is older than the decision which this entry
  /// knows of.
  bool IsDecisionLost(const std::string& aService, const RolloutRecord& aStored) const;
  /// Writes a record of a cause of crashes again that the store has lost.
  void RestoreCrashRecord(const KeyValue& aKey) const;
  void UpdateRule(const std::string& aService);
  void LogUnreadable(const KeyValue& aKey, const Error& aError) const;

  EdgeContext& m_context;
  std::map<std::string, RolloutOrder> m_orders;
  std::map<std::string, RolloutRecord> m_records;
  std::uint64_t m_lastOrderSerial = 0;
  /// Keys that the store has, or lacks, only because it came back from a copy, with the identity of
  /// a backend server.
  std::map<std::string, std::optional<std::uint64_t>> m_withheld;
  /// Servers that others withhold, and until when.
  std::map<std::uint64_t, Time> m_withheldByOthers;
  /// The highest revision that this entry knew of before the last changes.
  Revision m_lastChange = 0;
  /// Until when what the copy has is not believed.
  Time m_settlesAt{};
};

} // namespace fennelline
