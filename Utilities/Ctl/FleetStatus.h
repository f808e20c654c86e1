#pragma once

#include "LibBase/Error.h"
#include "Utilities/Ctl/AdminClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// The state of a backend server as reported by one entry.
struct BackendStatus {
  std::string m_name;
  std::string m_role;
  std::string m_dataCentre;
  bool m_leaving = false;
  bool m_reachable = false;
  std::int64_t m_running = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_slots = 0;
  std::vector<std::string> m_versions;
};

/// The status that one entry reports about itself, its peers and the backend servers.
struct EntryStatus {
  std::string m_entry;
  std::string m_dataCentre;
  std::string m_adminAddress;
  std::uint64_t m_revision = 0;
  std::string m_standing;
  bool m_stopping = false;
  bool m_isolated = false;
  std::int64_t m_openRequests = 0;
  std::int64_t m_lateAnswers = 0;
  std::vector<BackendStatus> m_backends;
  /// Admin addresses of the members that this entry does not consider dead.
  std::vector<std::string> m_peerAdminAddresses;
  /// The unspent part of this entry's budget slices by customer, in millionths of the currency.
  std::map<std::string, std::int64_t> m_availableMicros;
};

/// Parses the response of GET /admin/status.
Result<EntryStatus> ParseEntryStatus(const std::string& aText);

/// The status of all reachable entries, and the errors for the others.
struct FleetStatus {
  std::vector<EntryStatus> m_entries;
  std::vector<Error> m_errors;
};

/// Queries the entries at these admin addresses and, transitively, all entries they know.
FleetStatus ReadFleet(AdminClient& aClient, const std::vector<std::string>& aAddresses);

/// Formats text tables of entries, backend servers and spend.
std::string RenderFleet(const FleetStatus& aFleet);
/// Formats one JSON document with the same content.
std::string WriteFleet(const FleetStatus& aFleet);

/// Returns the entries that apply a revision older than aRevision.
std::vector<std::string> EntriesBehind(const FleetStatus& aFleet, std::uint64_t aRevision);

} // namespace fennelline
