#include "Services/Edge/ServerSpeeds.h"

#include "LibRouting/SpeedReportPlan.h"

#include <vector>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kSpeedType = 'G';

} // namespace

void ServerSpeeds::OnSecond() {
  m_speeds.Sweep(m_context.m_loop.Now());
  const SpeedReportPlan plan{.m_others = m_context.m_entries - 1};
  if (plan.m_others == 0) {
    return;
  }
  const std::vector<SpeedReport> reports = m_speeds.TakeReports(plan.MaxReports());
  if (!reports.empty()) {
    m_members.SendToSome(plan.Receivers(reports.size()), kSpeedType + EncodeSpeedReports(reports));
  }
}

bool ServerSpeeds::OnPeerMessage(const std::string& aMessage) {
  if (!aMessage.starts_with(kSpeedType)) {
    return false;
  }
  const Result<std::vector<SpeedReport>> reports = DecodeSpeedReports(aMessage.substr(1));
  if (reports.IsError()) {
    LogLine line("note-refused");
    line.Text("mark", "server-speed").Count("bytes", aMessage.size());
    m_context.Log(LogPriority::Notable, line);
    return true;
  }
  const Time now = m_context.m_loop.Now();
  for (const SpeedReport& report : reports.Get()) {
    m_speeds.OnReport(report, now);
  }
  return true;
}

} // namespace fennelline
