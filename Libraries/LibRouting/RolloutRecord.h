#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// An operator's order to move a service's traffic to a version.
struct RolloutOrder {
  std::string m_service;
  std::string m_version;
  Duration m_within{0};
  /// The store's revision of the order; a later order for the same service has a higher one, within
  /// an era of the store.
  std::uint64_t m_revision = 0;
  /// Tells orders apart in this process. Unlike the revision, it stays when the store comes back
  /// from a copy.
  std::uint64_t m_serial = 0;

  /// Whether both ask for the same. An order that the store has lost is written again like this.
  bool IsSameAs(const RolloutOrder& aOther) const {
    return m_service == aOther.m_service && m_version == aOther.m_version &&
           m_within == aOther.m_within;
  }
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
  /// Versions that failed in roll-outs before this one, the latest last.
  std::vector<std::string> m_failedVersions;
  /// The store's revision of this record, or of the older one that it has in its place.
  std::uint64_t m_revision = 0;
  /// Whether the store has this record. It may have lost it by coming back from a copy.
  bool m_isStored = true;

  /// Whether this record continues the same order further than the other one.
  bool IsAheadOf(const RolloutRecord& aOther) const;
};

/// The versions that have failed by the time of an order for aTarget. aLast: the record of the
/// order before. Its version counts if it was rolled back, and if it has not succeeded: nothing
/// shows that it is good. An order gives its own version another chance.
std::vector<std::string> FailedVersions(const RolloutRecord& aLast, const std::string& aTarget);

std::string WriteRolloutRecord(const RolloutRecord& aRecord);
Result<RolloutRecord> ParseRolloutRecord(const std::string& aText);

} // namespace fennelline
