#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace fennelline {

/// Answers of one route, by whether the new version made them and whether they were bad.
struct RouteEvidence {
  std::int64_t m_newGood = 0;
  std::int64_t m_newBad = 0;
  std::int64_t m_oldGood = 0;
  std::int64_t m_oldBad = 0;
};

/// What one entry has seen of a roll-out since its order. Counts only grow, so that a report that
/// is lost is made good by the next.
struct RolloutReport {
  std::string m_entry;
  std::string m_service;
  std::uint64_t m_orderRevision = 0;
  /// How long ago the entry learned of the order.
  Duration m_orderAge{0};
  std::map<std::string, RouteEvidence> m_routes;
  /// Backend servers whose connections broke under requests, by the hash of their identity, and
  /// whether they are of the new version.
  std::map<std::uint64_t, bool> m_failedServers;
  /// The entry's requests that still run on the old version.
  std::int64_t m_oldVersionRunning = 0;
  /// The record's revision that the entry acts on.
  std::uint64_t m_recordRevision = 0;
};

std::string EncodeRolloutReport(const RolloutReport& aReport);
Result<RolloutReport> DecodeRolloutReport(const std::string& aBytes);

} // namespace fennelline
