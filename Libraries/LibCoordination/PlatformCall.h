#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// The component of the entry that made a call. The reply is dispatched to it.
enum class Component { Configuration, Claims, Usage, Spend, Membership, Lease, Observation };

/// Identifies one call to the platform. Numbers are unique within a component.
struct CallId {
  Component m_component = Component::Configuration;
  std::uint64_t m_number = 0;

  friend bool operator==(const CallId&, const CallId&) = default;
};

/// The revision of the key-value service. It grows by one with every accepted write to any key.
using Revision = std::uint64_t;

/// Rises each time that the service comes back from an older copy of itself. Revisions are given
/// out again then, so those of different eras cannot be compared.
using StoreEra = std::uint64_t;

/// The expected revision of a key that must not exist yet.
constexpr Revision kAbsent = 0;

struct KeyValue {
  std::string m_key;
  std::string m_value;
  /// The revision of the write that set this value.
  Revision m_revision = 0;
  /// In a watch: the key was removed at this revision.
  bool m_removed = false;
};

struct GetKey {
  std::string m_key;
};
struct ListKeys {
  std::string m_prefix;
  /// The page starts after this key; empty for the first page.
  std::string m_after = {};
};
/// Writes a key by compare-and-swap. m_lease attaches the key to a lease: the key is removed when
/// the lease ends.
struct PutKey {
  std::string m_key;
  std::string m_value;
  Revision m_expected = kAbsent;
  std::optional<std::uint64_t> m_lease;
};
struct RemoveKey {
  std::string m_key;
  Revision m_expected = kAbsent;
};
struct GrantLease {
  std::int64_t m_milliseconds = 0;
};
struct RenewLease {
  std::uint64_t m_lease = 0;
};
struct EndLease {
  std::uint64_t m_lease = 0;
};
/// Long-polls for a write below a prefix after a revision. Counts as one call.
struct WatchKeys {
  std::string m_prefix;
  Revision m_after = 0;
  std::int64_t m_waitMilliseconds = 0;
};

using PlatformRequest =
  std::variant<GetKey, ListKeys, PutKey, RemoveKey, GrantLease, RenewLease, EndLease, WatchKeys>;

enum class PlatformStatus {
  Ok,
  /// The compare-and-swap found another revision. The reply carries the current value, if any.
  Conflict,
  NotFound,
  /// The service refused the call or could not be reached; nothing was written.
  Unavailable,
  /// The reply was lost: the call may have taken effect.
  Unknown,
  /// The service no longer keeps the changes that the watch asked for.
  HistoryGone,
};

struct PlatformReply {
  CallId m_call;
  PlatformStatus m_status = PlatformStatus::Unavailable;
  /// The revision of the service at the time of the reply.
  Revision m_revision = 0;
  /// The era of the revisions; none if the service does not name it.
  std::optional<StoreEra> m_era;
  /// The keys read, the conflicting key, or the changes of a watch. In a watch, a removed key has
  /// an empty value and the revision of its removal.
  std::vector<KeyValue> m_keys;
  std::uint64_t m_lease = 0;
  /// The listing has further pages.
  bool m_hasMore = false;
};

} // namespace fennelline
