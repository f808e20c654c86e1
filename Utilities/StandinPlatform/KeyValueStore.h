#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// The current value of a key, or a tombstone after its removal.
struct StoredValue {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_revision = 0;
  bool m_removed = false;
  std::optional<std::uint64_t> m_lease;
};

enum class WriteStatus { Done, Conflict, TooLarge, UnknownLease };

struct WriteOutcome {
  WriteStatus m_status = WriteStatus::Done;
  /// The store's revision after the call.
  std::uint64_t m_revision = 0;
  /// After a conflict, the current value.
  std::optional<StoredValue> m_current;
};

/// The data of the key-value service: compare-and-swap by revision, leases, and changes since a
/// revision. Not thread-safe.
class KeyValueStore {
public:
  static constexpr std::size_t kMaxValueBytes = 1024UL * 1024;

  std::uint64_t Revision() const { return m_revision; }
  std::optional<StoredValue> Get(const std::string& aKey) const;
  std::vector<StoredValue> List(const std::string& aPrefix) const;
  /// Returns values and removals with a revision greater than aAfter.
  std::vector<StoredValue> ChangesAfter(const std::string& aPrefix, std::uint64_t aAfter) const;

  WriteOutcome Put(const std::string& aKey, std::string aValue, std::uint64_t aExpected,
                   std::optional<std::uint64_t> aLease);
  WriteOutcome Remove(const std::string& aKey, std::uint64_t aExpected);

  std::uint64_t Grant(Duration aTimeToLive, Time aNow);
  bool Renew(std::uint64_t aLease, Time aNow);
  bool End(std::uint64_t aLease);
  /// Ends expired leases. Returns whether any keys were removed with them.
  bool Expire(Time aNow);

private:
  struct Lease {
    Duration m_timeToLive{0};
    Time m_end;
  };

  std::optional<WriteOutcome> ConflictWith(const std::string& aKey, std::uint64_t aExpected) const;
  void MarkRemoved(StoredValue& aValue);

  std::uint64_t m_revision = 0;
  std::uint64_t m_lastLease = 0;
  std::map<std::string, StoredValue> m_values;
  std::map<std::uint64_t, Lease> m_leases;
};

} // namespace fennelline
