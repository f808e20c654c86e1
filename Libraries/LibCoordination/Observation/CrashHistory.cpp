#include "LibCoordination/Observation/CrashHistory.h"

#include "LibCoordination/Observation/TrialTurn.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace fennelline {

namespace {

/// Refusals of a request whose runs on the crashed servers overlapped.
constexpr std::size_t kOverlapRefusal = 1;

/// The fingerprint of a prompt part in any account; others as they are.
std::string WithoutAccount(const std::string& aFingerprint) {
  return aFingerprint.substr(0, aFingerprint.find(kAccountMark));
}

Time TimeOfAge(std::int64_t aAgeMilliseconds, Time aNow) {
  return aNow - Milliseconds(std::max<std::int64_t>(0, aAgeMilliseconds));
}

} // namespace

Time CrashHistory::EndOfRefusal(const Request& aRequest) const {
  if (aRequest.m_refusals <= kOverlapRefusal) {
    return aRequest.m_refusedAt + m_settings.m_overlapRefusalTime;
  }
  const std::size_t index =
    std::min(aRequest.m_refusals - kOverlapRefusal, m_settings.m_refusalTimes.size()) - 1;
  return aRequest.m_refusedAt + m_settings.m_refusalTimes[index];
}

Time CrashHistory::LastChange(const Request& aRequest) {
  Time last = aRequest.m_clearedAt.value_or(Time::min());
  if (!aRequest.m_crashes.empty()) {
    last = std::max(last, aRequest.m_crashes.back().m_at);
  }
  return aRequest.m_refusals > 0 ? std::max(last, aRequest.m_refusedAt) : last;
}

Time CrashHistory::ForgottenAt(const Request& aRequest) const {
  const Time last = aRequest.m_refusals > 0 ? EndOfRefusal(aRequest) : LastChange(aRequest);
  return last + m_settings.m_retention;
}

const CrashHistory::Request* CrashHistory::Find(const std::string& aFingerprint, Time aNow) const {
  const auto found = m_requests.find(aFingerprint);
  return found != m_requests.end() && aNow <= ForgottenAt(found->second) ? &found->second : nullptr;
}

CrashHistory::Request& CrashHistory::Insert(const std::string& aFingerprint) {
  const auto found = m_requests.find(aFingerprint);
  if (found != m_requests.end()) {
    return found->second;
  }
  if (m_requests.size() >= m_settings.m_maxRequests) {
    DropOne();
  }
  Request& request = m_requests[aFingerprint];
  request.m_number = m_nextNumber++;
  return request;
}

void CrashHistory::DropOne() {
  const auto dropped =
    std::min_element(m_requests.begin(), m_requests.end(),
                     [](const std::pair<const std::string, Request>& aFirst,
                        const std::pair<const std::string, Request>& aSecond) {
                       const bool isFirstRefused = aFirst.second.m_refusals > 0;
                       const bool isSecondRefused = aSecond.second.m_refusals > 0;
                       return isFirstRefused != isSecondRefused
                                ? isSecondRefused
                                : aFirst.second.m_number < aSecond.second.m_number;
                     });
  m_requests.erase(dropped);
}

void CrashHistory::RememberCompletion(const std::string& aFingerprint, Time aNow) {
  if (m_settings.m_completionMemory == Duration(0)) {
    return;
  }
  const auto found = m_completed.find(aFingerprint);
  if (found != m_completed.end()) {
    found->second->m_at = aNow;
    m_completions.splice(m_completions.end(), m_completions, found->second);
    return;
  }
  m_completions.push_back({.m_fingerprint = aFingerprint, .m_at = aNow});
  m_completed.emplace(aFingerprint, std::prev(m_completions.end()));
  if (m_completed.size() > m_settings.m_maxCompletions) {
    ForgetOldestCompletion();
  }
}

void CrashHistory::ForgetOldestCompletion() {
  m_completed.erase(m_completions.front().m_fingerprint);
  m_completions.pop_front();
}

std::optional<Time> CrashHistory::CompletedAt(const std::string& aFingerprint, Time aNow) const {
  const auto found = m_completed.find(WithoutAccount(aFingerprint));
  const bool isRecent =
    found != m_completed.end() && aNow - found->second->m_at <= m_settings.m_completionMemory;
  return isRecent ? std::optional<Time>(found->second->m_at) : std::nullopt;
}

bool CrashHistory::Contradict(const std::string& aFingerprint, Time aNow,
                              Step<VerdictChanged>& aStep) {
  const std::optional<Time> completedAt = CompletedAt(aFingerprint, aNow);
  if (!completedAt) {
    return false;
  }
  const std::optional<Time> clearedAt = ClearedAt(aFingerprint);
  const bool isNews = !clearedAt || *completedAt - *clearedAt > m_settings.m_completionMemory / 2;
  const Request* known = Find(aFingerprint, aNow);
  const bool clears = known != nullptr && !known->IsClear() && *completedAt >= LastChange(*known);
  const std::string cleared = WithoutAccount(aFingerprint);
  const std::size_t outcomes = aStep.m_outcomes.size();
  if ((!isNews && !clears) || !AdoptClearance(cleared, *completedAt, aStep)) {
    return false;
  }
  Queue(cleared, ChangeOrigin::Own, aNow, aStep.m_outcomes.size() > outcomes);
  return true;
}

bool CrashHistory::Clear(const std::string& aFingerprint, Time aNow, Step<VerdictChanged>& aStep) {
  RememberCompletion(aFingerprint, aNow);
  const auto isCharged = [this](const std::string& aName) {
    const auto found = m_requests.find(aName);
    return found != m_requests.end() && !found->second.IsClear();
  };
  const std::vector<std::string> inAccounts = InAccounts(aFingerprint);
  if (!isCharged(aFingerprint) && std::none_of(inAccounts.begin(), inAccounts.end(), isCharged)) {
    return false;
  }
  const std::size_t outcomes = aStep.m_outcomes.size();
  AdoptClearance(aFingerprint, aNow, aStep);
  Queue(aFingerprint, ChangeOrigin::Own, aNow, aStep.m_outcomes.size() > outcomes);
  return true;
}

std::vector<std::string> CrashHistory::InAccounts(const std::string& aPart) const {
  std::vector<std::string> found;
  const std::string prefix = aPart + kAccountMark;
  for (auto item = m_requests.lower_bound(prefix);
       item != m_requests.end() && item->first.starts_with(prefix); ++item) {
    found.push_back(item->first);
  }
  return found;
}

void CrashHistory::Expire(Time aNow) {
  while (!m_completions.empty() &&
         aNow - m_completions.front().m_at > m_settings.m_completionMemory) {
    ForgetOldestCompletion();
  }
  std::erase_if(m_requests, [this, aNow](const std::pair<const std::string, Request>& aItem) {
    return aNow > ForgottenAt(aItem.second);
  });
}

void CrashHistory::RefuseLonger(const std::string& aFingerprint, Request& aRequest,
                                std::size_t aRefusals, Time aAt, Step<VerdictChanged>& aStep) {
  aRequest.m_refusals = aRefusals;
  aRequest.m_refusedAt = aAt;
  aRequest.m_trialUntil = Time{};
  aStep.m_outcomes.push_back({.m_fingerprint = aFingerprint, .m_refusals = aRefusals});
}

std::optional<Time> CrashHistory::ClearedAt(const std::string& aFingerprint) const {
  std::optional<Time> clearedAt;
  for (const std::string& fingerprint : {aFingerprint, WithoutAccount(aFingerprint)}) {
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end()) {
      clearedAt = std::max(clearedAt, found->second.m_clearedAt);
    }
  }
  return clearedAt;
}

std::size_t CrashHistory::CrashesToRefuse(const std::string& aFingerprint, Time aNow) const {
  const std::optional<Time> clearedAt = ClearedAt(aFingerprint);
  const bool isSoundElsewhere = clearedAt && aNow - *clearedAt <= m_settings.m_completionMemory;
  return isSoundElsewhere || CompletedAt(aFingerprint, aNow) ? m_settings.m_crashesToRefuseSound
                                                             : m_settings.m_crashesToRefuse;
}

bool CrashHistory::Record(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt,
                          Time aNow, Step<VerdictChanged>& aStep) {
  if (aNow - aAt > m_settings.m_retention) {
    return false;
  }
  Request& request = Insert(aFingerprint);
  std::erase_if(request.m_crashes, [this, aNow](const Crash& aCrash) {
    return aNow - aCrash.m_at > m_settings.m_retention;
  });
  const bool isKnown =
    std::any_of(request.m_crashes.begin(), request.m_crashes.end(),
                [&aServer](const Crash& aCrash) { return aCrash.m_server == aServer; });
  const std::optional<Time> clearedAt = ClearedAt(aFingerprint);
  const bool isCleared = clearedAt && aAt <= *clearedAt;
  if (isKnown || isCleared || request.m_refusals > 0) {
    return false;
  }
  request.m_crashes.push_back({.m_server = aServer, .m_at = aAt});
  if (request.m_crashes.size() >= CrashesToRefuse(aFingerprint, aNow)) {
    RefuseLonger(aFingerprint, request, kOverlapRefusal, aAt, aStep);
  }
  return true;
}

bool CrashHistory::IsConfirmation(const Request& aRequest, std::optional<Time> aSentAt) {
  // Later runs are trials, whose refusal has begun already.
  const bool isOpen = aRequest.m_refusals <= kOverlapRefusal && !aRequest.m_crashes.empty();
  return isOpen && aSentAt && *aSentAt >= aRequest.m_crashes.front().m_at;
}

bool CrashHistory::IsExplained(const CrashedRun& aRun, Time aNow) const {
  const auto isKnown = [&](const std::string& aFingerprint) {
    const Request* request = Find(aFingerprint, aNow);
    return request != nullptr && request->m_refusals > kOverlapRefusal;
  };
  return isKnown(aRun.m_causes.m_content) ||
         std::any_of(aRun.m_causes.m_parts.begin(), aRun.m_causes.m_parts.end(),
                     [&](const SharedPart& aPart) {
                       return isKnown(aPart.m_inAccount) || isKnown(aPart.m_anywhere);
                     });
}

CrashHistory::Counted CrashHistory::Charge(const std::string& aFingerprint,
                                           const BackendServerId& aServer,
                                           std::optional<Time> aSentAt, Time aNow,
                                           Step<VerdictChanged>& aStep) {
  const Request* known = Find(aFingerprint, aNow);
  Counted counted{.m_isFirst = known == nullptr || known->IsClear(),
                  .m_isConfirmed = known != nullptr && IsConfirmation(*known, aSentAt)};
  const bool isNew = Record(aFingerprint, aServer, aNow, aNow, aStep);
  Contradict(aFingerprint, aNow, aStep);
  counted.m_isConfirmed = counted.m_isConfirmed && m_requests.at(aFingerprint).m_refusals > 0;
  if (isNew) {
    Queue(aFingerprint, ChangeOrigin::Own, aNow);
  }
  return counted;
}

void CrashHistory::Confirm(const std::string& aFingerprint, Time aNow,
                           Step<VerdictChanged>& aStep) {
  RefuseLonger(aFingerprint, m_requests.at(aFingerprint), kOverlapRefusal + 1, aNow, aStep);
  Queue(aFingerprint, ChangeOrigin::Own, aNow);
}

void CrashHistory::ChargeParts(const CrashedRun& aRun, const BackendServerId& aServer, Time aNow,
                               Step<VerdictChanged>& aStep) {
  std::vector<std::string> confirmed;
  const auto charge = [&](const std::string& aFingerprint) {
    const Counted counted = Charge(aFingerprint, aServer, aRun.m_sentAt, aNow, aStep);
    if (counted.m_isConfirmed) {
      confirmed.push_back(aFingerprint);
    }
    return counted.m_isFirst;
  };
  for (const SharedPart& part : aRun.m_causes.m_parts) {
    if (charge(part.m_inAccount)) {
      charge(part.m_anywhere);
    }
  }
  std::size_t refusedParts = 0;
  RefusedCauses(aRun.m_causes, aNow, refusedParts);
  if (refusedParts != 1) {
    // One of them is the cause at most. A request with another one alone may be tried at once.
    return;
  }
  for (const std::string& fingerprint : confirmed) {
    Confirm(fingerprint, aNow, aStep);
  }
}

Step<VerdictChanged> CrashHistory::OnCrashes(const std::vector<CrashedRun>& aRuns,
                                             const BackendServerId& aServer, Time aNow) {
  Step<VerdictChanged> step;
  const bool isExplained = std::any_of(
    aRuns.begin(), aRuns.end(), [&](const CrashedRun& aRun) { return IsExplained(aRun, aNow); });
  if (isExplained) {
    return step;
  }
  for (const CrashedRun& run : aRuns) {
    const Counted counted = Charge(run.m_causes.m_content, aServer, run.m_sentAt, aNow, step);
    if (counted.m_isConfirmed) {
      Confirm(run.m_causes.m_content, aNow, step);
    }
    if (counted.m_isFirst) {
      ChargeParts(run, aServer, aNow, step);
    }
  }
  step.Append(SendPendingChanges(aNow));
  return step;
}

Step<VerdictChanged> CrashHistory::OnFinished(const CrashCauses& aCauses, Time aNow) {
  Step<VerdictChanged> step;
  if (Clear(aCauses.m_content, aNow, step)) {
    step.Append(SendPendingChanges(aNow));
  }
  step.Append(OnBegun(aCauses, aNow));
  return step;
}

Step<VerdictChanged> CrashHistory::OnBegun(const CrashCauses& aCauses, Time aNow) {
  Step<VerdictChanged> step;
  RememberCompletion(aCauses.m_content, aNow);
  bool isAnyCleared = false;
  for (const SharedPart& part : aCauses.m_parts) {
    isAnyCleared = Clear(part.m_anywhere, aNow, step) || isAnyCleared;
  }
  if (isAnyCleared) {
    step.Append(SendPendingChanges(aNow));
  }
  return step;
}

bool CrashHistory::AdoptClearance(const std::string& aFingerprint, Time aAt,
                                  Step<VerdictChanged>& aStep) {
  Request& request = Insert(aFingerprint);
  if (request.m_clearedAt && aAt <= *request.m_clearedAt) {
    return false;
  }
  std::vector<std::string> cleared = InAccounts(aFingerprint);
  cleared.push_back(aFingerprint);
  for (const std::string& fingerprint : cleared) {
    Request& current = m_requests.at(fingerprint);
    current.m_clearedAt = std::max(current.m_clearedAt, std::optional<Time>(aAt));
    std::erase_if(current.m_crashes, [aAt](const Crash& aCrash) { return aCrash.m_at <= aAt; });
    if (current.m_refusals > 0 && aAt >= current.m_refusedAt) {
      current.m_refusals = 0;
      aStep.m_outcomes.push_back({.m_fingerprint = fingerprint, .m_refusals = 0});
    }
  }
  return true;
}

void CrashHistory::Adopt(const CrashVerdict& aVerdict, Time aNow, Step<VerdictChanged>& aStep) {
  const Time at = TimeOfAge(aVerdict.m_ageMilliseconds, aNow);
  if (aVerdict.m_refusals <= 0) {
    const std::size_t known = aStep.m_outcomes.size();
    AdoptClearance(aVerdict.m_fingerprint, at, aStep);
    const bool endsRefusal = aStep.m_outcomes.size() > known;
    if (endsRefusal && !ReachesEveryMember()) {
      Queue(aVerdict.m_fingerprint, ChangeOrigin::Relayed, aNow, true);
    }
    return;
  }
  Request& request = Insert(aVerdict.m_fingerprint);
  const std::optional<Time> clearedAt = ClearedAt(aVerdict.m_fingerprint);
  if (clearedAt && at <= *clearedAt) {
    return;
  }
  const std::size_t refusals = static_cast<std::size_t>(aVerdict.m_refusals);
  if (refusals > request.m_refusals) {
    RefuseLonger(aVerdict.m_fingerprint, request, refusals, at, aStep);
    if (!ReachesEveryMember()) {
      Queue(aVerdict.m_fingerprint, ChangeOrigin::Relayed, aNow);
    }
  }
  const Duration trialLeft = Milliseconds(std::clamp<std::int64_t>(
    aVerdict.m_trialMilliseconds, 0, InMilliseconds(m_settings.m_trialSetupTime)));
  if (refusals == request.m_refusals) {
    request.m_trialUntil = std::max(request.m_trialUntil, aNow + trialLeft);
  }
}

Step<VerdictChanged> CrashHistory::OnMessage(const EntryId& /*aFrom*/, const Message& aMessage,
                                             Time aNow) {
  Step<VerdictChanged> step;
  bool contradicts = false;
  if (const CrashReports* reports = std::get_if<CrashReports>(&aMessage)) {
    for (const CrashReport& report : reports->m_reports) {
      contradicts = Contradict(report.m_fingerprint, aNow, step) || contradicts;
      const Time at = TimeOfAge(report.m_ageMilliseconds, aNow);
      const std::size_t known = step.m_outcomes.size();
      const bool isNew = Record(report.m_fingerprint, report.m_backendServer, at, aNow, step);
      // The sender may not know of the crashes that, with this one, lead to a refusal.
      const bool leadsToRefusal = step.m_outcomes.size() > known;
      if (isNew && (leadsToRefusal || !ReachesEveryMember())) {
        Queue(report.m_fingerprint, ChangeOrigin::Relayed, aNow);
      }
    }
  }
  if (const CrashVerdicts* verdicts = std::get_if<CrashVerdicts>(&aMessage)) {
    for (const CrashVerdict& verdict : verdicts->m_verdicts) {
      Adopt(verdict, aNow, step);
      contradicts =
        (verdict.m_refusals > 0 && Contradict(verdict.m_fingerprint, aNow, step)) || contradicts;
    }
  }
  if (contradicts) {
    // The others may refuse requests until they hear of it.
    step.Append(SendPendingChanges(aNow));
  }
  return step;
}

Step<VerdictChanged> CrashHistory::OnRecord(const std::string& aFingerprint, std::size_t aRefusals,
                                            Time aNow) {
  Step<VerdictChanged> step;
  const Request* known = Find(aFingerprint, aNow);
  if (known == nullptr) {
    Adopt({.m_fingerprint = aFingerprint, .m_refusals = static_cast<std::int64_t>(aRefusals)}, aNow,
          step);
  }
  return step;
}

Step<VerdictChanged> CrashHistory::OnMembers(const std::vector<EntryId>& aMembers, Time aNow) {
  std::vector<EntryId> added;
  std::copy_if(aMembers.begin(), aMembers.end(), std::back_inserter(added),
               [this](const EntryId& aMember) {
                 return std::find(m_members.begin(), m_members.end(), aMember) == m_members.end();
               });
  m_members = aMembers;
  return SendEverythingTo(added, aNow);
}

Step<VerdictChanged> CrashHistory::Tick(Time aNow) {
  Step<VerdictChanged> step;
  if (aNow >= m_nextRound) {
    step.Append(SendPendingChanges(aNow));
  }
  if (aNow >= m_nextAntiEntropy) {
    Expire(aNow);
    step.Append(SendAntiEntropy(aNow));
  }
  return step;
}

std::vector<std::string> CrashHistory::RefusedCauses(const CrashCauses& aCauses, Time aNow,
                                                     std::size_t& aParts) const {
  std::vector<std::string> refused;
  const auto add = [&](const std::string& aFingerprint) {
    const Request* request = Find(aFingerprint, aNow);
    const bool isRefused = request != nullptr && request->m_refusals > 0;
    if (isRefused) {
      refused.push_back(aFingerprint);
    }
    return isRefused;
  };
  add(aCauses.m_content);
  aParts = 0;
  for (const SharedPart& part : aCauses.m_parts) {
    const bool isRefusedInAccount = add(part.m_inAccount);
    const bool isRefusedAnywhere = add(part.m_anywhere);
    aParts += isRefusedInAccount || isRefusedAnywhere ? 1 : 0;
  }
  return refused;
}

Duration CrashHistory::TrialStep(const Request& aRequest) const {
  if (aRequest.m_refusals > kOverlapRefusal) {
    return m_settings.m_trialStep;
  }
  // A cause that only ran beside crashes is to be cleared soon. In a small fleet an announcement
  // takes one message.
  return ReachesEveryMember() ? Duration(0) : m_settings.m_trialStep / 2;
}

bool CrashHistory::MayRun(const CrashCauses& aCauses, CrashTrial& aTrial, Time aNow,
                          Step<VerdictChanged>& aStep) {
  std::size_t parts = 0;
  const std::vector<std::string> refused = RefusedCauses(aCauses, aNow, parts);
  const Duration delay = parts > 1 ? m_settings.m_ambiguousTrialDelay : Duration(0);
  std::vector<std::string> asked;
  for (const std::string& fingerprint : refused) {
    const Request& request = m_requests.at(fingerprint);
    const auto given = aTrial.m_refusals.find(fingerprint);
    if (given != aTrial.m_refusals.end() && given->second == request.m_refusals) {
      continue;
    }
    const Duration turn = TrialDelay(fingerprint, m_settings.m_self, m_members, TrialStep(request));
    if (IsPoison(fingerprint, aNow) || aNow < EndOfRefusal(request) + delay + turn) {
      return false;
    }
    asked.push_back(fingerprint);
  }
  for (const std::string& fingerprint : asked) {
    Request& request = m_requests.at(fingerprint);
    request.m_trialUntil = aNow + m_settings.m_trialSetupTime;
    aTrial.m_refusals[fingerprint] = request.m_refusals;
    Queue(fingerprint, ChangeOrigin::Own, aNow);
  }
  if (!asked.empty()) {
    aStep.Append(SendPendingChanges(aNow));
  }
  return true;
}

Step<VerdictChanged> CrashHistory::OnTrialSent(const CrashTrial& aTrial, Time aNow) {
  Step<VerdictChanged> step;
  for (const auto& [fingerprint, refusals] : aTrial.m_refusals) {
    const Request* known = Find(fingerprint, aNow);
    if (known != nullptr && known->m_refusals > 0 && known->m_refusals == refusals) {
      RefuseLonger(fingerprint, m_requests.at(fingerprint), refusals + 1, aNow, step);
      Queue(fingerprint, ChangeOrigin::Own, aNow);
    }
  }
  if (!step.m_outcomes.empty()) {
    step.Append(SendPendingChanges(aNow));
  }
  return step;
}

std::string CrashHistory::RefusedCause(const CrashCauses& aCauses, Time aNow) const {
  std::size_t parts = 0;
  const std::vector<std::string> refused = RefusedCauses(aCauses, aNow, parts);
  const auto longest = std::max_element(
    refused.begin(), refused.end(), [&](const std::string& aFirst, const std::string& aSecond) {
      return EndOfRefusal(aFirst, aNow) < EndOfRefusal(aSecond, aNow);
    });
  return longest == refused.end() ? std::string() : *longest;
}

bool CrashHistory::IsPoison(const std::string& aFingerprint, Time aNow) const {
  const Request* request = Find(aFingerprint, aNow);
  return request != nullptr && request->m_refusals > 0 &&
         aNow < std::max(EndOfRefusal(*request), request->m_trialUntil);
}

Time CrashHistory::EndOfRefusal(const std::string& aFingerprint, Time aNow) const {
  const Request* request = Find(aFingerprint, aNow);
  return request == nullptr || request->m_refusals == 0 ? aNow
                                                        : std::max(aNow, EndOfRefusal(*request));
}

bool CrashHistory::IsSuspect(const std::string& aFingerprint, Time aNow) const {
  const Request* request = Find(aFingerprint, aNow);
  const bool isCharged = request != nullptr && !request->IsClear();
  if (!isCharged || IsPoison(aFingerprint, aNow)) {
    return false;
  }
  return request->m_refusals > 0 || !CompletedAt(aFingerprint, aNow);
}

bool CrashHistory::HasCrashed(const std::string& aFingerprint, const BackendServerId& aServer,
                              Time aNow) const {
  const Request* request = Find(aFingerprint, aNow);
  return request != nullptr &&
         std::any_of(request->m_crashes.begin(), request->m_crashes.end(),
                     [&aServer](const Crash& aCrash) { return aCrash.m_server == aServer; });
}

std::size_t CrashHistory::CountRefused() const {
  return static_cast<std::size_t>(std::count_if(
    m_requests.begin(), m_requests.end(), [](const std::pair<const std::string, Request>& aItem) {
      return aItem.second.m_refusals > 0;
    }));
}

} // namespace fennelline
