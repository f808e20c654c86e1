#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace fennelline {

/// Number of good and bad answers of one route, from the new and from the old version.
struct RouteEvidence {
  std::int64_t m_newGood = 0;
  /// Those of m_newGood whose time could not be compared with that of the old version.
  std::int64_t m_newNotCompared = 0;
  std::int64_t m_newBad = 0;
  /// Those of m_newBad that were slow. They are judged against the answers that could be compared.
  std::int64_t m_newSlow = 0;
  std::int64_t m_oldGood = 0;
  std::int64_t m_oldBad = 0;
};

/// Streams of one backend server that runs the new version, compared with those of the old one.
struct PaceEvidence {
  std::int64_t m_streams = 0;
  /// Those whose events came at longer intervals than is usual.
  std::int64_t m_delayed = 0;
};

/// What one entry has observed of a roll-out since it was ordered. Counters only grow, so the next
/// report makes up for a lost one.
struct RolloutReport {
  std::string m_entry;
  std::string m_service;
  std::uint64_t m_orderRevision = 0;
  /// Time since the entry learned of the order.
  Duration m_orderAge{0};
  std::map<std::string, RouteEvidence> m_routes;
  /// Backend servers whose connections broke while requests were in flight, by the hash of their
  /// identity, and whether they run the new version.
  std::map<std::uint64_t, bool> m_failedServers;
  /// Backend servers with slow streams, by the hash of their identity and the second after the
  /// order was given, and whether they run the new version.
  std::map<std::pair<std::uint64_t, std::int64_t>, bool> m_slowServers;
  /// Streams of servers of the new version, by the hash of the server's identity. They are compared
  /// while both versions run requests, since the load is not the same later.
  std::map<std::uint64_t, PaceEvidence> m_paces;
  /// Number of the entry's requests still running on the old version.
  std::int64_t m_oldVersionRunning = 0;
  /// Revision of the roll-out record that the entry acts on.
  std::uint64_t m_recordRevision = 0;
};

std::string EncodeRolloutReport(const RolloutReport& aReport);
Result<RolloutReport> DecodeRolloutReport(const std::string& aBytes);

} // namespace fennelline
