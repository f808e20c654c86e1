// Tells the other entries what is known of causes of crashes.

#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// Refusals of a cause whose runs on the crashed servers overlapped. They say little: if many
/// servers crash at once, most of what was running there is refused so, and soon cleared.
constexpr std::size_t kWeakRefusals = 1;

} // namespace

void CrashHistory::Queue(const std::string& aFingerprint, ChangeOrigin aOrigin, Time aNow,
                         bool aEndsRefusal) {
  std::erase_if(m_pending, [&aFingerprint](const PendingChange& aPending) {
    return aPending.m_fingerprint == aFingerprint;
  });
  m_pending.push_back({.m_fingerprint = aFingerprint,
                       .m_roundsLeft = m_settings.m_rounds,
                       .m_queuedAt = aNow,
                       .m_origin = aOrigin,
                       .m_endsRefusal = aEndsRefusal});
  if (m_pending.size() > m_settings.m_maxRequests) {
    m_pending.erase(m_pending.begin());
  }
}

CrashHistory::Urgency CrashHistory::UrgencyOf(const PendingChange& aPending) const {
  const auto found = m_requests.find(aPending.m_fingerprint);
  if (found == m_requests.end()) {
    return Urgency::Relayed;
  }
  if (found->second.m_refusals > kWeakRefusals || aPending.m_endsRefusal) {
    return Urgency::Verdict;
  }
  if (found->second.m_refusals > 0 || found->second.m_crashes.size() > 1) {
    return Urgency::Repeated;
  }
  return aPending.m_origin == ChangeOrigin::Own ? Urgency::Own : Urgency::Relayed;
}

void CrashHistory::SortPendingChanges(Time aNow) {
  std::erase_if(m_pending, [this, aNow](const PendingChange& aPending) {
    return aNow - aPending.m_queuedAt > m_settings.m_reportLifetime &&
           UrgencyOf(aPending) != Urgency::Verdict;
  });
  std::stable_sort(m_pending.begin(), m_pending.end(),
                   [this](const PendingChange& aOne, const PendingChange& aOther) {
                     return UrgencyOf(aOne) > UrgencyOf(aOther);
                   });
}

std::size_t CrashHistory::MaxChangesNow(Time aNow) {
  if (ReachesEveryMember()) {
    return m_settings.m_maxRequestsPerRound;
  }
  // What others have found out once may use only a part, so that there is room for what is urgent.
  constexpr double kReservedPart = 0.5;
  const double earned = m_relayCreditAt
                          ? m_settings.m_maxRelayedPerSecond * InSeconds(aNow - *m_relayCreditAt)
                          : m_settings.m_maxRelayedAtOnce;
  m_relayCredit = std::min(m_settings.m_maxRelayedAtOnce, m_relayCredit + earned);
  m_relayCreditAt = aNow;
  const double forRelayed =
    std::max(0.0, m_relayCredit - kReservedPart * m_settings.m_maxRelayedAtOnce);
  const std::size_t urgent = static_cast<std::size_t>(
    std::count_if(m_pending.begin(), m_pending.end(), [this](const PendingChange& aPending) {
      return UrgencyOf(aPending) != Urgency::Relayed;
    }));
  const std::size_t most = static_cast<std::size_t>(m_relayCredit);
  return std::min(most, urgent + static_cast<std::size_t>(forRelayed));
}

void CrashHistory::Describe(const std::string& aFingerprint, const Request& aRequest, Time aNow,
                            CrashReports& aReports, CrashVerdicts& aVerdicts) const {
  for (const Crash& crash : aRequest.m_crashes) {
    aReports.m_reports.push_back({.m_fingerprint = aFingerprint,
                                  .m_backendServer = crash.m_server,
                                  .m_ageMilliseconds = InMilliseconds(aNow - crash.m_at)});
  }
  if (aRequest.m_refusals > 0 || aRequest.m_clearedAt) {
    const Time at = aRequest.m_refusals > 0 ? aRequest.m_refusedAt : *aRequest.m_clearedAt;
    const Duration trialLeft = std::max(Duration(0), aRequest.m_trialUntil - aNow);
    aVerdicts.m_verdicts.push_back({.m_fingerprint = aFingerprint,
                                    .m_refusals = static_cast<std::int64_t>(aRequest.m_refusals),
                                    .m_ageMilliseconds = InMilliseconds(aNow - at),
                                    .m_trialMilliseconds = InMilliseconds(trialLeft)});
  }
}

std::vector<Message> CrashHistory::Describe(const std::vector<std::string>& aFingerprints,
                                            Time aNow) const {
  std::vector<Message> messages;
  CrashReports reports;
  CrashVerdicts verdicts;
  std::size_t count = 0;
  const auto finish = [&] {
    // Of what ran well, more crashes lead to a refusal, so that is told first.
    if (!verdicts.m_verdicts.empty()) {
      messages.emplace_back(std::exchange(verdicts, {}));
    }
    if (!reports.m_reports.empty()) {
      messages.emplace_back(std::exchange(reports, {}));
    }
    count = 0;
  };
  for (const std::string& fingerprint : aFingerprints) {
    const Request* request = Find(fingerprint, aNow);
    if (request == nullptr) {
      continue;
    }
    Describe(fingerprint, *request, aNow, reports, verdicts);
    if (++count == m_settings.m_maxRequestsPerMessage) {
      finish();
    }
  }
  finish();
  return messages;
}

Step<VerdictChanged> CrashHistory::SendPendingChanges(Time aNow) {
  Step<VerdictChanged> step;
  m_nextRound = aNow + m_settings.m_roundInterval;
  if (m_pending.empty() || m_members.empty()) {
    return step;
  }
  if (!ReachesEveryMember()) {
    SortPendingChanges(aNow);
  }
  const std::size_t most = MaxChangesNow(aNow);
  std::vector<std::string> fingerprints;
  for (PendingChange& pending : m_pending) {
    if (fingerprints.size() == most) {
      break;
    }
    fingerprints.push_back(pending.m_fingerprint);
    --pending.m_roundsLeft;
  }
  m_relayCredit = std::max(0.0, m_relayCredit - static_cast<double>(fingerprints.size()));
  std::erase_if(m_pending,
                [](const PendingChange& aPending) { return aPending.m_roundsLeft == 0; });
  const std::vector<Message> messages = Describe(fingerprints, aNow);
  // A partial shuffle moves the members of this round to the front.
  const std::size_t count = std::min(m_settings.m_fanOut, m_members.size());
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t drawn = index + m_random.Below(m_members.size() - index);
    std::swap(m_members[index], m_members[drawn]);
    for (const Message& message : messages) {
      step.m_effects.emplace_back(SendMessage{.m_to = m_members[index], .m_message = message});
    }
  }
  return step;
}

Step<VerdictChanged> CrashHistory::SendAntiEntropy(Time aNow) {
  Step<VerdictChanged> step;
  m_nextAntiEntropy = aNow + m_settings.m_antiEntropyInterval;
  std::vector<std::string> refused;
  for (const auto& [fingerprint, request] : m_requests) {
    if (request.m_refusals > 0) {
      refused.push_back(fingerprint);
    }
  }
  if (m_members.empty() || refused.empty()) {
    return step;
  }
  // One message, from a random position, so that each of them is sent in turn.
  const std::size_t start = m_random.Below(refused.size());
  std::rotate(refused.begin(), refused.begin() + static_cast<std::ptrdiff_t>(start), refused.end());
  refused.resize(std::min(refused.size(), m_settings.m_maxRequestsPerMessage));
  const EntryId& member = m_members[m_random.Below(m_members.size())];
  for (const Message& message : Describe(refused, aNow)) {
    step.m_effects.emplace_back(SendMessage{.m_to = member, .m_message = message});
  }
  return step;
}

Step<VerdictChanged> CrashHistory::SendEverythingTo(const std::vector<EntryId>& aMembers,
                                                    Time aNow) const {
  Step<VerdictChanged> step;
  std::vector<std::string> fingerprints;
  for (const bool wantsRefused : {true, false}) {
    for (const auto& [fingerprint, request] : m_requests) {
      const bool isWanted = !request.IsClear() && (request.m_refusals > 0) == wantsRefused;
      if (isWanted && fingerprints.size() < m_settings.m_maxRequestsPerRound) {
        fingerprints.push_back(fingerprint);
      }
    }
  }
  const std::vector<Message> messages =
    aMembers.empty() ? std::vector<Message>() : Describe(fingerprints, aNow);
  for (const EntryId& member : aMembers) {
    for (const Message& message : messages) {
      step.m_effects.emplace_back(SendMessage{.m_to = member, .m_message = message});
    }
  }
  return step;
}

} // namespace fennelline
