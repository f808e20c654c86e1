#pragma once

#include "LibCoordination/PlatformCall.h"
#include "LibRouting/RolloutRecord.h"
#include "Services/Edge/EdgeContext.h"

#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// Turns news of the store into what the entry believes: the configuration in force, the backend
/// servers, and the orders to roll out versions. What cannot be read changes nothing but for a
/// backend server's entry, which then names no server to use.
class StoreView {
public:
  explicit StoreView(EdgeContext& aContext)
    : m_context(aContext) {}

  void OnStoreChanges(const std::vector<KeyValue>& aNews, bool aAfterOutage);

  const std::map<std::string, RolloutOrder>& Orders() const { return m_orders; }
  /// How far the orders have come, by service.
  const std::map<std::string, RolloutRecord>& Records() const { return m_records; }

private:
  void TakeConfiguration(const KeyValue& aKey);
  void TakeReplica(const std::string& aId, const KeyValue& aKey, bool aAfterOutage);
  void TakeOrder(const std::string& aService, const KeyValue& aKey);
  void TakeRecord(const std::string& aService, const KeyValue& aKey);
  void UpdateRule(const std::string& aService);
  void LogUnreadable(const KeyValue& aKey, const Error& aError) const;

  EdgeContext& m_context;
  std::map<std::string, RolloutOrder> m_orders;
  std::map<std::string, RolloutRecord> m_records;
};

} // namespace fennelline
