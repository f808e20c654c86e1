#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>

namespace fennelline {

/// An operator's order to move a service's traffic to a version.
struct RolloutOrder {
  std::string m_service;
  std::string m_version;
  Duration m_within{0};
  /// The store's revision of the order; a later order for the same service has a higher one.
  std::uint64_t m_revision = 0;
};

enum class RolloutPhase : std::uint8_t {
  /// A small share of the requests goes to the new version.
  Canary,
  /// All requests go to the new version; the old one finishes its running requests.
  Moving,
  /// The old version has no running requests and may stop.
  Succeeded,
  /// The new version is bad and gets no requests.
  RolledBack,
};

constexpr NameTable<RolloutPhase, 4> kRolloutPhaseNames = {{
  {RolloutPhase::Canary, "canary"},
  {RolloutPhase::Moving, "moving"},
  {RolloutPhase::Succeeded, "succeeded"},
  {RolloutPhase::RolledBack, "rolled-back"},
}};

/// Progress of an order. Stored, so that another entry can continue it.
struct RolloutRecord {
  std::string m_service;
  std::string m_version;
  std::uint64_t m_orderRevision = 0;
  RolloutPhase m_phase = RolloutPhase::Canary;
  /// The store's revision of this record.
  std::uint64_t m_revision = 0;
};

std::string WriteRolloutRecord(const RolloutRecord& aRecord);
Result<RolloutRecord> ParseRolloutRecord(const std::string& aText);

} // namespace fennelline
