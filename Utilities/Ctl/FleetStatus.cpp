#include "Utilities/Ctl/FleetStatus.h"

#include "Utilities/Ctl/Table.h"

#include <deque>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr const char* kDeadState = "dead";

BackendStatus ReadBackend(const json& aServer) {
  return {.m_name = aServer.at("name").get<std::string>(),
          .m_role = aServer.at("role").get<std::string>(),
          .m_dataCentre = aServer.at("data_centre").get<std::string>(),
          .m_leaving = aServer.at("leaving").get<bool>(),
          .m_reachable = aServer.at("reachable").get<bool>(),
          .m_running = aServer.at("running").get<std::int64_t>(),
          .m_queued = aServer.at("queued").get<std::int64_t>(),
          .m_slots = aServer.at("slots").get<std::int64_t>(),
          .m_versions = aServer.at("versions").get<std::vector<std::string>>()};
}

EntryStatus ReadEntry(const json& aStatus) {
  EntryStatus entry;
  entry.m_entry = aStatus.at("entry").get<std::string>();
  entry.m_dataCentre = aStatus.at("data_centre").get<std::string>();
  entry.m_revision = aStatus.at("revision").get<std::uint64_t>();
  entry.m_standing = aStatus.at("standing").get<std::string>();
  entry.m_stopping = aStatus.at("stopping").get<bool>();
  entry.m_isolated = aStatus.at("isolated").get<bool>();
  entry.m_openRequests = aStatus.at("requests").at("open").get<std::int64_t>();
  entry.m_lateAnswers = aStatus.at("requests").at("late").get<std::int64_t>();
  for (const json& member : aStatus.at("members")) {
    if (member.at("state").get<std::string>() != kDeadState) {
      entry.m_peerAdminAddresses.push_back(member.at("admin_address").get<std::string>());
    }
  }
  for (const json& server : aStatus.at("backend_servers")) {
    entry.m_backends.push_back(ReadBackend(server));
  }
  for (const auto& [customer, spend] : aStatus.at("spend").items()) {
    entry.m_availableMicros[customer] = spend.at("available_micros").get<std::int64_t>();
  }
  return entry;
}

std::string YesOrNo(bool aValue) {
  return aValue ? "yes" : "no";
}

std::string Join(const std::vector<std::string>& aParts) {
  std::string text;
  for (const std::string& part : aParts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

/// Merges the entries' views of the backend servers: a server is leaving if any entry reports it as
/// leaving, and reachable if any entry can reach it.
std::map<std::string, BackendStatus> CombineBackends(const FleetStatus& aFleet) {
  std::map<std::string, BackendStatus> combined;
  for (const EntryStatus& entry : aFleet.m_entries) {
    for (const BackendStatus& server : entry.m_backends) {
      BackendStatus& known = combined.emplace(server.m_name, server).first->second;
      known.m_leaving = known.m_leaving || server.m_leaving;
      known.m_reachable = known.m_reachable || server.m_reachable;
    }
  }
  return combined;
}

/// The value that an entry reports for a customer without a spend limit.
constexpr std::int64_t kNoLimit = std::numeric_limits<std::int64_t>::max();

std::map<std::string, std::int64_t> SumSpend(const FleetStatus& aFleet) {
  std::map<std::string, std::int64_t> sums;
  for (const EntryStatus& entry : aFleet.m_entries) {
    for (const auto& [customer, micros] : entry.m_availableMicros) {
      std::int64_t& sum = sums[customer];
      const bool noLimit = micros == kNoLimit || sum == kNoLimit;
      sum = noLimit ? kNoLimit : sum + micros;
    }
  }
  return sums;
}

std::string MicrosText(std::int64_t aMicros) {
  return aMicros == kNoLimit ? "no limit known yet" : std::to_string(aMicros);
}

std::string RenderEntries(const FleetStatus& aFleet) {
  Table table({"ENTRY", "DATA CENTRE", "ADMIN", "REVISION", "STANDING", "OPEN", "LATE", "STOPPING",
               "ISOLATED"});
  for (const EntryStatus& entry : aFleet.m_entries) {
    table.AddRow({entry.m_entry, entry.m_dataCentre, entry.m_adminAddress,
                  std::to_string(entry.m_revision), entry.m_standing,
                  std::to_string(entry.m_openRequests), std::to_string(entry.m_lateAnswers),
                  YesOrNo(entry.m_stopping), YesOrNo(entry.m_isolated)});
  }
  return table.Render();
}

std::string RenderBackends(const FleetStatus& aFleet) {
  Table table({"BACKEND SERVER", "ROLE", "DATA CENTRE", "REACHABLE", "LEAVING", "RUNNING", "QUEUED",
               "SLOTS", "VERSIONS"});
  for (const auto& [name, server] : CombineBackends(aFleet)) {
    table.AddRow({name, server.m_role, server.m_dataCentre, YesOrNo(server.m_reachable),
                  YesOrNo(server.m_leaving), std::to_string(server.m_running),
                  std::to_string(server.m_queued), std::to_string(server.m_slots),
                  Join(server.m_versions)});
  }
  return table.Render();
}

std::string RenderSpend(const FleetStatus& aFleet) {
  Table table({"CUSTOMER", "LEFT IN THE ENTRIES' SLICES (MICROS)"});
  for (const auto& [customer, micros] : SumSpend(aFleet)) {
    table.AddRow({customer, MicrosText(micros)});
  }
  return table.Render();
}

} // namespace

Result<EntryStatus> ParseEntryStatus(const std::string& aText) {
  try {
    return ReadEntry(json::parse(aText));
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorCode::InvalidJson, std::string("invalid entry status: ") + error.what());
  }
}

FleetStatus ReadFleet(AdminClient& aClient, const std::vector<std::string>& aAddresses) {
  FleetStatus fleet;
  std::deque<std::string> pending(aAddresses.begin(), aAddresses.end());
  std::set<std::string> visited;
  while (!pending.empty()) {
    const std::string address = pending.front();
    pending.pop_front();
    if (address.empty() || !visited.insert(address).second) {
      continue;
    }
    Result<std::string> text = aClient.Get(address, "/admin/status");
    if (text.IsError()) {
      fleet.m_errors.push_back(text.TakeError());
      continue;
    }
    Result<EntryStatus> status = ParseEntryStatus(text.Get());
    if (status.IsError()) {
      fleet.m_errors.push_back(status.TakeError());
      continue;
    }
    EntryStatus entry = status.Take();
    entry.m_adminAddress = address;
    pending.insert(pending.end(), entry.m_peerAdminAddresses.begin(),
                   entry.m_peerAdminAddresses.end());
    fleet.m_entries.push_back(std::move(entry));
  }
  return fleet;
}

std::string RenderFleet(const FleetStatus& aFleet) {
  return RenderEntries(aFleet) + "\n" + RenderBackends(aFleet) + "\n" + RenderSpend(aFleet);
}

std::string WriteFleet(const FleetStatus& aFleet) {
  json entries = json::array();
  for (const EntryStatus& entry : aFleet.m_entries) {
    entries.push_back({{"entry", entry.m_entry},
                       {"data_centre", entry.m_dataCentre},
                       {"admin_address", entry.m_adminAddress},
                       {"revision", entry.m_revision},
                       {"standing", entry.m_standing},
                       {"open_requests", entry.m_openRequests},
                       {"late_answers", entry.m_lateAnswers},
                       {"stopping", entry.m_stopping},
                       {"isolated", entry.m_isolated}});
  }
  json servers = json::array();
  for (const auto& [name, server] : CombineBackends(aFleet)) {
    servers.push_back({{"name", name},
                       {"role", server.m_role},
                       {"data_centre", server.m_dataCentre},
                       {"reachable", server.m_reachable},
                       {"leaving", server.m_leaving},
                       {"running", server.m_running},
                       {"queued", server.m_queued},
                       {"slots", server.m_slots},
                       {"versions", server.m_versions}});
  }
  json errors = json::array();
  for (const Error& error : aFleet.m_errors) {
    errors.push_back(error.m_detail);
  }
  const json document = {{"entries", entries},
                         {"backend_servers", servers},
                         {"available_micros", SumSpend(aFleet)},
                         {"errors", errors}};
  return document.dump() + "\n";
}

std::vector<std::string> EntriesBehind(const FleetStatus& aFleet, std::uint64_t aRevision) {
  std::vector<std::string> behind;
  for (const EntryStatus& entry : aFleet.m_entries) {
    if (entry.m_revision < aRevision) {
      behind.push_back(entry.m_entry);
    }
  }
  return behind;
}

} // namespace fennelline
