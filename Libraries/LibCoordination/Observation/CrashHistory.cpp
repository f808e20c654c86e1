#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>

namespace fennelline {

namespace {

CrashReport ReportOf(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt,
                     Time aNow) {
  return CrashReport{.m_fingerprint = aFingerprint,
                     .m_backendServer = aServer,
                     .m_ageMilliseconds = InMilliseconds(aNow - aAt)};
}

} // namespace

bool CrashHistory::Record(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt,
                          Time aNow) {
  if (aNow - aAt > m_settings.m_retention) {
    return false;
  }
  const auto [found, isNew] = m_requests.try_emplace(aFingerprint);
  Request& request = found->second;
  if (isNew) {
    request.m_firstSeen = aNow;
    m_order.push_back(aFingerprint);
  }
  const bool isKnown =
    std::any_of(request.m_crashes.begin(), request.m_crashes.end(),
                [&aServer](const Crash& aCrash) { return aCrash.m_server == aServer; });
  const bool isEnough = request.m_crashes.size() >= m_settings.m_crashesToRefuse;
  if (isKnown || isEnough || (!isNew && aAt <= request.m_clearedAt)) {
    return false;
  }
  request.m_crashes.push_back({.m_server = aServer, .m_at = aAt});
  ForgetOldest();
  return true;
}

void CrashHistory::ForgetOldest() {
  while (m_order.size() > m_settings.m_maxRequests) {
    m_requests.erase(m_order.front());
    m_order.pop_front();
  }
}

void CrashHistory::Expire(Time aNow) {
  while (!m_order.empty()) {
    const auto found = m_requests.find(m_order.front());
    // A crash is only recorded and passed on within the retention time, so no crash of a request is
    // later than its first report by more than that.
    if (aNow - found->second.m_firstSeen <= 2 * m_settings.m_retention) {
      return;
    }
    m_requests.erase(found);
    m_order.pop_front();
  }
}

std::size_t CrashHistory::CountCrashes(const std::string& aFingerprint, Time aNow) const {
  const auto found = m_requests.find(aFingerprint);
  if (found == m_requests.end()) {
    return 0;
  }
  const std::vector<Crash>& crashes = found->second.m_crashes;
  return static_cast<std::size_t>(
    std::count_if(crashes.begin(), crashes.end(), [this, aNow](const Crash& aCrash) {
      return aNow - aCrash.m_at <= m_settings.m_retention;
    }));
}

bool CrashHistory::IsPoison(const std::string& aFingerprint, Time aNow) const {
  return CountCrashes(aFingerprint, aNow) >= m_settings.m_crashesToRefuse;
}

bool CrashHistory::IsSuspect(const std::string& aFingerprint, Time aNow) const {
  const std::size_t crashes = CountCrashes(aFingerprint, aNow);
  return crashes > 0 && crashes < m_settings.m_crashesToRefuse;
}

bool CrashHistory::HasCrashed(const std::string& aFingerprint, const BackendServerId& aServer,
                              Time aNow) const {
  const auto found = m_requests.find(aFingerprint);
  if (found == m_requests.end()) {
    return false;
  }
  const std::vector<Crash>& crashes = found->second.m_crashes;
  return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
    return aCrash.m_server == aServer && aNow - aCrash.m_at <= m_settings.m_retention;
  });
}

void CrashHistory::AddPendingReport(const std::string& aFingerprint, const BackendServerId& aServer,
                                    Time aAt) {
  m_pendingReports.push_back({.m_report = ReportOf(aFingerprint, aServer, aAt, aAt),
                              .m_at = aAt,
                              .m_roundsLeft = m_settings.m_rounds});
}

Step<PoisonFound> CrashHistory::OnCrash(const std::string& aFingerprint,
                                        const BackendServerId& aServer, Time aNow) {
  Step<PoisonFound> step;
  const bool wasPoison = IsPoison(aFingerprint, aNow);
  if (!Record(aFingerprint, aServer, aNow, aNow)) {
    return step;
  }
  AddPendingReport(aFingerprint, aServer, aNow);
  if (!wasPoison && IsPoison(aFingerprint, aNow)) {
    step.m_outcomes.push_back({aFingerprint});
  }
  step.Append(SendPendingReports(aNow));
  return step;
}

void CrashHistory::OnFinished(const std::string& aFingerprint, Time aNow) {
  const auto found = m_requests.find(aFingerprint);
  if (found == m_requests.end()) {
    return;
  }
  found->second.m_crashes.clear();
  found->second.m_clearedAt = aNow;
  std::erase_if(m_pendingReports, [&aFingerprint](const PendingReport& aPending) {
    return aPending.m_report.m_fingerprint == aFingerprint;
  });
}

Step<PoisonFound> CrashHistory::OnMessage(const EntryId& /*aFrom*/, const Message& aMessage,
                                          Time aNow) {
  Step<PoisonFound> step;
  const CrashReports* reports = std::get_if<CrashReports>(&aMessage);
  if (reports == nullptr) {
    return step;
  }
  for (const CrashReport& report : reports->m_reports) {
    const Time at = aNow - Milliseconds(std::max<std::int64_t>(0, report.m_ageMilliseconds));
    const bool wasPoison = IsPoison(report.m_fingerprint, aNow);
    if (!Record(report.m_fingerprint, report.m_backendServer, at, aNow)) {
      continue;
    }
    AddPendingReport(report.m_fingerprint, report.m_backendServer, at);
    if (!wasPoison && IsPoison(report.m_fingerprint, aNow)) {
      step.m_outcomes.push_back({report.m_fingerprint});
    }
  }
  return step;
}

Step<PoisonFound> CrashHistory::OnMembers(const std::vector<EntryId>& aMembers, Time aNow) {
  const bool wasAlone = m_members.empty();
  m_members = aMembers;
  return wasAlone ? SendPendingReports(aNow) : Step<PoisonFound>();
}

Step<PoisonFound> CrashHistory::Tick(Time aNow) {
  Expire(aNow);
  Step<PoisonFound> step;
  if (aNow >= m_nextRound) {
    step.Append(SendPendingReports(aNow));
  }
  if (aNow >= m_nextAntiEntropy) {
    step.Append(SendAntiEntropy(aNow));
  }
  return step;
}

Step<PoisonFound> CrashHistory::SendPendingReports(Time aNow) {
  Step<PoisonFound> step;
  m_nextRound = aNow + m_settings.m_roundInterval;
  if (m_pendingReports.empty() || m_members.empty()) {
    return step;
  }
  CrashReports reports;
  for (PendingReport& pending : m_pendingReports) {
    if (reports.m_reports.size() == m_settings.m_maxReportsPerMessage) {
      break;
    }
    pending.m_report.m_ageMilliseconds = InMilliseconds(aNow - pending.m_at);
    reports.m_reports.push_back(pending.m_report);
    --pending.m_roundsLeft;
  }
  std::erase_if(m_pendingReports,
                [](const PendingReport& aPending) { return aPending.m_roundsLeft == 0; });
  // A partial shuffle moves the members of this round to the front.
  const std::size_t count = std::min(m_settings.m_fanOut, m_members.size());
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t drawn = index + m_random.Below(m_members.size() - index);
    std::swap(m_members[index], m_members[drawn]);
    step.m_effects.emplace_back(SendMessage{.m_to = m_members[index], .m_message = reports});
  }
  return step;
}

Step<PoisonFound> CrashHistory::SendAntiEntropy(Time aNow) {
  Step<PoisonFound> step;
  m_nextAntiEntropy = aNow + m_settings.m_antiEntropyInterval;
  if (m_members.empty()) {
    return step;
  }
  CrashReports reports;
  // The newest come first: they are the most likely not to have reached everyone.
  for (auto name = m_order.rbegin(); name != m_order.rend(); ++name) {
    for (const Crash& crash : m_requests.at(*name).m_crashes) {
      const bool isFull = reports.m_reports.size() == m_settings.m_maxReportsPerMessage;
      if (!isFull && aNow - crash.m_at <= m_settings.m_retention) {
        reports.m_reports.push_back(ReportOf(*name, crash.m_server, crash.m_at, aNow));
      }
    }
  }
  if (!reports.m_reports.empty()) {
    const EntryId& member = m_members[m_random.Below(m_members.size())];
    step.m_effects.emplace_back(SendMessage{.m_to = member, .m_message = std::move(reports)});
  }
  return step;
}

} // namespace fennelline
