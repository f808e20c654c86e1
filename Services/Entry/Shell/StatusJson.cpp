#include "Services/Entry/Shell/StatusJson.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

json MembersOf(const EntryParts& aParts) {
  json members = json::array();
  for (const MemberDigest& member : aParts.m_membership.Members()) {
    members.push_back({{"entry", member.m_entry},
                       {"state", NameOf(kMemberStateNames, member.m_state)},
                       {"data_centre", member.m_dataCentre},
                       {"caller_address", member.m_callerAddress},
                       {"admin_address", member.m_adminAddress}});
  }
  return members;
}

json BackendsOf(const EntryParts& aParts, Time aNow) {
  json servers = json::array();
  for (const auto& [id, server] : aParts.m_backends.Servers()) {
    servers.push_back(
      {{"name", id},
       {"address", server.m_address},
       {"data_centre", server.m_dataCentre},
       {"role", server.m_role},
       {"versions", server.m_versions},
       {"leaving", server.m_leaving},
       {"reachable", server.m_reachable},
       {"running", server.m_runningRequests},
       {"queued", server.m_queued},
       {"slots", server.m_slots},
       {"outstanding", server.m_outstanding},
       {"failure_rate", server.m_failureRate},
       {"report_age_ms", server.m_reported ? InMilliseconds(aNow - server.m_reportTime) : -1}});
  }
  return servers;
}

json SpendOf(const EntryParts& aParts, Time aNow) {
  json spend = json::object();
  const std::shared_ptr<const Configuration> configuration = aParts.m_configuration.Current();
  if (!configuration) {
    return spend;
  }
  for (const Contract& contract : configuration->m_contracts) {
    spend[contract.m_customer] = {
      {"available_micros", aParts.m_spend.Available(contract.m_customer, aNow)},
      {"exhausted", aParts.m_spend.IsExhausted(contract.m_customer)}};
  }
  return spend;
}

json ClaimsOf(const EntryParts& aParts) {
  const ClaimTable::Counts counts = aParts.m_claims.Count();
  return {{"views", counts.m_views},
          {"shards_held", counts.m_shardsHeld},
          {"shards_served", counts.m_shardsServed},
          {"slots", counts.m_slots},
          {"open_claims", counts.m_openClaims},
          {"owned_attempts", counts.m_ownedAttempts}};
}

} // namespace

std::string WriteStatus(const EntryReducer& aReducer, Time aNow) {
  const EntryParts& parts = aReducer.Parts();
  const RequestPipeline::Counts& counts = aReducer.Requests().GetCounts();
  const std::shared_ptr<const Configuration> configuration = parts.m_configuration.Current();
  json phases = json::object();
  for (const auto& [caller, request] : aReducer.Requests().Open()) {
    const std::string phase(NameOf(kRequestPhaseNames, request.m_phase));
    phases[phase] = phases.value(phase, 0) + 1;
  }
  const json status = {
    {"entry", parts.m_self},
    {"data_centre", parts.m_settings.m_dataCentre},
    {"stopping", parts.m_stopping},
    {"revision", configuration ? configuration->m_revision : 0},
    {"standing", NameOf(kConfigurationStatusNames, parts.m_configuration.Status(aNow))},
    {"watcher", parts.m_configuration.IsWatcher()},
    {"isolated", parts.m_membership.IsIsolated()},
    {"members", MembersOf(parts)},
    {"backend_servers", BackendsOf(parts, aNow)},
    {"leaving_backend_servers", parts.m_membership.LeavingServers()},
    {"spend", SpendOf(parts, aNow)},
    {"claims", ClaimsOf(parts)},
    {"usage",
     {{"unsettled", parts.m_usage.CountUnsettled()}, {"copies", parts.m_usage.CountCopiesHeld()}}},
    {"requests",
     {{"open", aReducer.Requests().OpenCount()},
      {"phases", phases},
      {"outcomes", counts.m_outcomes},
      {"late", counts.m_late}}}};
  return status.dump();
}

std::string WriteEvidence(const EntryReducer& aReducer) {
  json rows = json::array();
  for (const VersionEvidence& row : aReducer.Parts().m_evidence.Evidence()) {
    rows.push_back({{"version", row.m_version},
                    {"kind", row.m_kind},
                    {"requests", row.m_requests},
                    {"errors", row.m_errors},
                    {"crashes", row.m_crashes},
                    {"late", row.m_late},
                    {"rated", row.m_rated},
                    {"rated_bad", row.m_ratedBad},
                    {"sessions", row.m_sessions},
                    {"bad_sessions", row.m_badSessions},
                    {"cost_micros", row.m_costMicros},
                    {"milliseconds", row.m_milliseconds}});
  }
  const json evidence = {{"entry", aReducer.Parts().m_self}, {"evidence", rows}};
  return evidence.dump();
}

} // namespace fennelline
