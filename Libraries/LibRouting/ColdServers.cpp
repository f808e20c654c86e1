#include "LibRouting/ColdServers.h"

#include <algorithm>

namespace fennelline {

namespace {

/// A request may arrive this much later than its permit was issued: the permit is used up to 60 ms
/// after the question.
constexpr double kLatenessSeconds = 0.06;
/// The part of the slack that is used for unused permits. The rest covers requests that were sent
/// without a permit by entries that do not know yet that the server is cold.
constexpr double kUnusedPart = 0.5;
/// A bucket that holds less than one permit issues none.
constexpr double kMinUnused = 1.0;

/// A record is rewritten at heartbeats, 1.2 s apart, and takes some 100 ms to all entries: a record
/// that does not say that the server is cold may be older than an answer that came before it.
constexpr Duration kRecordDelay = Seconds(2);

} // namespace

PermitTerms ColdRules::Terms() const {
  const double rate = m_perSecond * m_overage;
  // One more, because a permit may be issued at each end of the second.
  const double left = m_slack - 1.0 - rate * kLatenessSeconds;
  return {.m_perSecond = rate, .m_mostUnused = std::max(kMinUnused, left * kUnusedPart)};
}

std::size_t ColdRules::CrowdedFrom() const {
  constexpr double kMost = 1e6;
  return static_cast<std::size_t>(std::clamp(m_perSecond * m_overage, 1.0, kMost));
}

std::size_t ColdRules::CrowdedFromOne() const {
  return (CrowdedFrom() + 1) / 2;
}

std::optional<PermitTerms> Stricter(std::optional<PermitTerms> aOne,
                                    std::optional<PermitTerms> aOther) {
  if (!aOne || !aOther) {
    return aOne ? aOne : aOther;
  }
  return PermitTerms{.m_perSecond = std::min(aOne->m_perSecond, aOther->m_perSecond),
                     .m_mostUnused = std::min(aOne->m_mostUnused, aOther->m_mostUnused)};
}

void ColdState::Begin(Time aNow, ColdCause aCause) {
  if (aNow > m_begunAt) {
    m_begunAt = aNow;
    m_begunBy = aCause;
    m_hasColdRecord = false;
  }
}

void ColdState::Say(Time aUntil, Time aAsOf, ColdCause aCause) {
  m_saidUntil = aUntil;
  m_saidAt = aAsOf;
  m_saidBy = aCause;
}

void ColdState::OnRecord(Duration aLeft, Time aNow) {
  if (aLeft > Duration(0)) {
    m_hasColdRecord = true;
    Say(aNow + std::min(aLeft, Duration(kNever - aNow)), aNow, ColdCause::Record);
    return;
  }
  const bool mayBeOlder = m_saidBy != ColdCause::Record && aNow - m_saidAt < kRecordDelay;
  if (m_hasColdRecord && !mayBeOlder) {
    Say(aNow, aNow, ColdCause::Record);
  }
}

void ColdState::OnAnswer(Duration aLeft, Time aSentAt, Time aNow) {
  if (aLeft > Duration(0)) {
    Say(aNow + std::min(aLeft, Duration(kNever - aNow)), aNow, ColdCause::Answer);
  } else if (aSentAt > AsOf()) {
    // The answer may have been written as early as its request was sent.
    Say(aSentAt, aSentAt, ColdCause::Answer);
  }
}

bool ColdState::OnNotice(Time aUntil, Time aAsOf) {
  if (aAsOf <= AsOf()) {
    return false;
  }
  Say(aUntil, aAsOf, ColdCause::Notice);
  return true;
}

Time ColdState::Until(const ColdRules& aRules) const {
  if (m_saidAt > m_begunAt || m_begunAt == Time{}) {
    return m_saidUntil;
  }
  return std::max(m_saidUntil, m_begunAt + aRules.m_coldTime);
}

} // namespace fennelline
