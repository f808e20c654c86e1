#include "LibRouting/RolloutEvidence.h"

#include "LibRouting/MessagePack.h"

namespace fennelline {

using nlohmann::json;

std::string EncodeRolloutReport(const RolloutReport& aReport) {
  json routes = json::array();
  for (const auto& [name, row] : aReport.m_routes) {
    routes.push_back({name, row.m_newGood, row.m_newBad, row.m_oldGood, row.m_oldBad,
                      row.m_newNotCompared, row.m_newSlow});
  }
  json broken = json::array();
  for (const auto& [server, isNew] : aReport.m_failedServers) {
    broken.push_back({server, isNew});
  }
  json slow = json::array();
  for (const auto& [place, isNew] : aReport.m_slowServers) {
    slow.push_back({place.first, place.second, isNew});
  }
  json paces = json::array();
  for (const auto& [server, evidence] : aReport.m_paces) {
    paces.push_back({server, evidence.m_streams, evidence.m_delayed});
  }
  const json document = {{"entry", aReport.m_entry},
                         {"service", aReport.m_service},
                         {"order", aReport.m_orderRevision},
                         {"ageMs", InMilliseconds(aReport.m_orderAge)},
                         {"routes", std::move(routes)},
                         {"broken", std::move(broken)},
                         {"slow", std::move(slow)},
                         {"runningOld", aReport.m_oldVersionRunning},
                         {"record", aReport.m_recordRevision},
                         {"paces", std::move(paces)}};
  return EncodeMessagePack(document);
}

Result<RolloutReport> DecodeRolloutReport(const std::string& aBytes) {
  return DecodeMessagePack<RolloutReport>(aBytes, [](const json& aDocument) {
    RolloutReport report;
    report.m_entry = aDocument.at("entry").get<std::string>();
    report.m_service = aDocument.at("service").get<std::string>();
    report.m_orderRevision = aDocument.at("order").get<std::uint64_t>();
    report.m_orderAge = Milliseconds(aDocument.at("ageMs").get<std::int64_t>());
    report.m_oldVersionRunning = aDocument.at("runningOld").get<std::int64_t>();
    report.m_recordRevision = aDocument.at("record").get<std::uint64_t>();
    constexpr std::size_t kNewSlowField = 6;
    for (const json& row : aDocument.at("routes")) {
      report.m_routes[row.at(0).get<std::string>()] = {
        .m_newGood = row.at(1).get<std::int64_t>(),
        .m_newNotCompared = row.at(5).get<std::int64_t>(),
        .m_newBad = row.at(2).get<std::int64_t>(),
        // Entries of earlier releases do not send it.
        .m_newSlow = row.size() > kNewSlowField ? row.at(kNewSlowField).get<std::int64_t>() : 0,
        .m_oldGood = row.at(3).get<std::int64_t>(),
        .m_oldBad = row.at(4).get<std::int64_t>(),
      };
    }
    for (const json& row : aDocument.at("broken")) {
      report.m_failedServers[row.at(0).get<std::uint64_t>()] = row.at(1).get<bool>();
    }
    for (const json& row : aDocument.at("slow")) {
      report.m_slowServers[{row.at(0).get<std::uint64_t>(), row.at(1).get<std::int64_t>()}] =
        row.at(2).get<bool>();
    }
    // Entries of earlier releases do not send it.
    for (const json& row : aDocument.value("paces", json::array())) {
      report.m_paces[row.at(0).get<std::uint64_t>()] = {.m_streams = row.at(1).get<std::int64_t>(),
                                                        .m_delayed = row.at(2).get<std::int64_t>()};
    }
    return report;
  });
}

} // namespace fennelline
