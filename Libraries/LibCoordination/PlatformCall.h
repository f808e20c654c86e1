#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// The part of the entry that made a call, so that the reply finds it.
enum class Component { Configuration, Claims, Usage, Spend, Membership, Lease, Observation };

/// Names one call to the platform. Numbers are unique within a part.
struct CallId {
  Component m_component = Component::Configuration;
  std::uint64_t m_number = 0;

  friend bool operator==(const CallId&, const CallId&) = default;
};

/// The service's revision: it grows by one with every accepted write to any key.
using Revision = std::uint64_t;

/// Expected revision of a key that must not exist yet.
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
  /// The page begins after this key; empty for the first.
  std::string m_after = {};
};
/// Compare-and-swap. m_lease ties the key to a lease: it goes when the lease ends.
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
/// Waits for a write after a revision below a prefix, at most this long. Counts as one call.
struct WatchKeys {
  std::string m_prefix;
  Revision m_after = 0;
  std::int64_t m_waitMilliseconds = 0;
};

using PlatformRequest =
  std::variant<GetKey, ListKeys, PutKey, RemoveKey, GrantLease, RenewLease, EndLease, WatchKeys>;

enum class PlatformStatus {
  Ok,
  /// The compare-and-swap found another revision. The reply carries the present value, if any.
  Conflict,
  NotFound,
  /// Nothing was done: the service refused or could not be reached.
  Unavailable,
  /// The reply was lost: the call may have taken effect.
  Unknown,
  /// The changes that a watch asked for are no longer kept.
  HistoryGone,
};

struct PlatformReply {
  CallId m_call;
  PlatformStatus m_status = PlatformStatus::Unavailable;
  /// The service's revision as of the reply.
  Revision m_revision = 0;
  /// The keys read, the key that conflicts, or the changes of a watch. A removed key in a watch
  /// has an empty value and its removal's revision.
  std::vector<KeyValue> m_keys;
  std::uint64_t m_lease = 0;
  /// A listing has further pages.
  bool m_hasMore = false;
};

} // namespace fennelline
