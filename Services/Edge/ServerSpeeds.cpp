#include "Services/Edge/ServerSpeeds.h"

#include <algorithm>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kSpeedType = 'G';

/// Bytes that an entry sends per second, on average: a small part of the 11 KB/s for control.
constexpr double kBytesPerSecond = 200.0;
/// Type of the message and tag of the datagram.
constexpr std::size_t kHeaderBytes = 2;
/// Entries that are told of each sample at least, if there are so many. With 59 entries and 8
/// samples a second at each, an entry hears of 24 a second in addition to its own.
constexpr std::size_t kMinReceivers = 3;

} // namespace

void ServerSpeeds::OnSecond() {
  m_speeds.Sweep(m_context.m_loop.Now());
  // What was not used is not saved up, so that the datagrams of a second stay small.
  m_creditBytes = std::min(m_creditBytes, 0.0) + kBytesPerSecond;
  const std::size_t others = m_context.m_entries - 1;
  if (others == 0) {
    return;
  }
  const std::size_t least = std::min(others, kMinReceivers);
  const std::size_t maxBytes = static_cast<std::size_t>(m_creditBytes) / least;
  const std::size_t maxReports = (maxBytes - std::min(maxBytes, kHeaderBytes)) / kSpeedReportBytes;
  const std::vector<SpeedReport> reports = m_speeds.TakeReports(maxReports);
  if (reports.empty()) {
    return;
  }
  const std::size_t bytes = kHeaderBytes + reports.size() * kSpeedReportBytes;
  const std::size_t receivers = std::min(others, static_cast<std::size_t>(m_creditBytes) / bytes);
  m_creditBytes -= static_cast<double>(receivers * bytes);
  m_members.SendToSome(receivers, kSpeedType + EncodeSpeedReports(reports));
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
