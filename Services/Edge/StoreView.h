#pragma once

#include "LibCoordination/PlatformCall.h"
#include "LibRouting/RolloutRecord.h"
#include "Services/Edge/EdgeContext.h"

#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// Applies store changes to this entry's routing state: the active configuration, the backend
/// servers and the rollout orders. A value that cannot be parsed is ignored, except for a backend
/// server's entry: that server is removed.
class StoreView {
public:
  explicit StoreView(EdgeContext& aContext)
    : m_context(aContext) {}

  void OnStoreChanges(const std::vector<KeyValue>& aChanges, Revision aLapsedUpTo);

  const std::map<std::string, RolloutOrder>& Orders() const { return m_orders; }
  /// Rollout progress by service.
  const std::map<std::string, RolloutRecord>& Records() const { return m_records; }

private:
  void ApplyConfiguration(const KeyValue& aKey);
  void ApplyReplica(const std::string& aId, const KeyValue& aKey, Revision aLapsedUpTo);
  void ApplyOrder(const std::string& aService, const KeyValue& aKey);
  void ApplyRecord(const std::string& aService, const KeyValue& aKey);
  void ApplyCrashRecord(const std::string& aFingerprint, const KeyValue& aKey);
  void UpdateRule(const std::string& aService);
  void LogUnreadable(const KeyValue& aKey, const Error& aError) const;

  EdgeContext& m_context;
  std::map<std::string, RolloutOrder> m_orders;
  std::map<std::string, RolloutRecord> m_records;
};

} // namespace fennelline
