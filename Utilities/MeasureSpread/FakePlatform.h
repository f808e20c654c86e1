#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// A reply and the caller that it goes to.
struct PlatformReplyTo {
  int m_caller = 0;
  PlatformReply m_reply;
};

/// The platform's key-value service in memory, with its faults as switches.
class FakePlatform {
public:
  /// Handles a call. Empty for a watch that waits.
  std::optional<PlatformReply> Handle(int aCaller, const CallPlatform& aCall, Time aNow);
  /// The replies of watches that are due, and the end of leases.
  std::vector<PlatformReplyTo> Advance(Time aNow);

  /// Writes as an operator would; returns the revision.
  Revision Write(const std::string& aKey, const std::string& aValue);
  const KeyValue* Find(const std::string& aKey) const;
  /// Answers from now on with what was there at this instant, and takes no writes.
  void Freeze() { m_frozen = State{m_state}; }
  /// The same, with an older value of one key.
  void FreezeWithout(const std::string& aKey, const std::string& aValue, Revision aRevision);
  void Thaw() { m_frozen.reset(); }

  bool m_down = false;
  std::int64_t m_calls = 0;

private:
  struct Lease {
    Duration m_life{0};
    Time m_ends{};
  };
  struct State {
    std::map<std::string, KeyValue> m_keys;
    Revision m_revision = 0;
  };
  struct Watch {
    int m_caller = 0;
    CallId m_call;
    WatchKeys m_request;
    Time m_ends{};
  };

  PlatformReply Reply(const GetKey& aGet) const;
  PlatformReply Reply(const ListKeys& aList) const;
  PlatformReply Reply(const PutKey& aPut);
  PlatformReply Reply(const RemoveKey& aRemove);
  PlatformReply Reply(const GrantLease& aGrant);
  PlatformReply Reply(const RenewLease& aRenew);
  PlatformReply Reply(const EndLease& aEnd);
  PlatformReply Reply(const WatchKeys& aWatch) const;
  PlatformReply Status(PlatformStatus aStatus) const;
  const State& Seen() const { return m_frozen ? *m_frozen : m_state; }
  void EndLeaseOf(std::uint64_t aLease);
  void EndLeases();

  State m_state;
  std::optional<State> m_frozen;
  std::map<std::string, std::uint64_t> m_leaseOfKey;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_lastLease = 0;
  std::vector<Watch> m_watches;
  Time m_now{};
};

} // namespace fennelline
