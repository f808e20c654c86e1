#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>

namespace fennelline {

enum class ReplicaState : std::uint8_t { Ready, Draining };

constexpr NameTable<ReplicaState, 2> kReplicaStateNames = {{
  {ReplicaState::Ready, "ready"},
  {ReplicaState::Draining, "draining"},
}};

/// A backend server's registration in the platform's store.
struct ReplicaRecord {
  std::string m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_version;
  int m_slots = 1;
  ReplicaState m_state = ReplicaState::Ready;
  /// Remaining warm-up time after its start, during which it is slow.
  Duration m_warmUpLeft{0};
  /// Start time in Unix milliseconds. A server that restarts under the same id has lost its earlier
  /// state.
  std::int64_t m_startedAtMs = 0;

  friend bool operator==(const ReplicaRecord&, const ReplicaRecord&) = default;
};

} // namespace fennelline
