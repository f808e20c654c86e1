#pragma once

#include "LibBase/Error.h"
#include "Utilities/Ctl/AdminClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// A backend server as one entry sees it.
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

/// What one entry says of itself and of what it sees.
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
  /// Admin addresses of the entries that are not dead, as this one knows them.
  std::vector<std::string> m_peerAdminAddresses;
  /// What is left to spend for each customer in this entry's slices, in millionths.
  std::map<std::string, std::int64_t> m_availableMicros;
};

/// Reads what GET /admin/status answers.
Result<EntryStatus> ParseEntryStatus(const std::string& aText);

/// All entries that could be asked, and why others could not.
struct FleetStatus {
  std::vector<EntryStatus> m_entries;
  std::vector<Error> m_errors;
};

/// Asks the named entries and all entries they know of.
FleetStatus ReadFleet(AdminClient& aClient, const std::vector<std::string>& aAddresses);

/// Tables for people: entries, backend servers, spend.
std::string RenderFleet(const FleetStatus& aFleet);
/// One JSON document with the same content.
std::string WriteFleet(const FleetStatus& aFleet);

/// The entries that have an older revision in force.
std::vector<std::string> EntriesBehind(const FleetStatus& aFleet, std::uint64_t aRevision);

} // namespace fennelline
