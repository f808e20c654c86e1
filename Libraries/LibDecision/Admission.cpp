#include "LibDecision/Admission.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// A customer that has asked for nothing for so long counts no more among those that share.
constexpr Duration kActiveFor = Seconds(2);
constexpr Duration kSweepInterval = Milliseconds(500);

/// Recent counts fade to 1/e within this time.
constexpr Duration kRecentTime = Seconds(2);

/// Each new request moves the mean work by this part.
constexpr double kWorkSmoothing = 0.05;

constexpr double kShortestRetrySeconds = 0.1;
constexpr double kLongestRetrySeconds = 30.0;

/// Requests in flight for each slot, up to which a kind of request is taken from anyone. The rest
/// is kept for more urgent kinds, and for customers below their part.
constexpr double LimitOf(Urgency aUrgency) {
  switch (aUrgency) {
    case Urgency::Counter:
      return 1.2;
    case Urgency::Interactive:
      return 1.05;
    case Urgency::Background:
      return 0.9;
  }
  return 0.0;
}

/// With more of the pool free than this, a kind of request is taken whatever this entry's part is.
constexpr double ReserveOf(Urgency aUrgency) {
  switch (aUrgency) {
    case Urgency::Counter:
      return 0.02;
    case Urgency::Interactive:
      return 0.08;
    case Urgency::Background:
      return 0.15;
  }
  return 1.0;
}

} // namespace

AdmissionController::CustomerLoad& AdmissionController::LoadOf(Pool& aPool,
                                                               const AdmissionQuery& aQuery,
                                                               Time aNow) {
  const auto [found, isNew] = aPool.m_customers.try_emplace(aQuery.m_customer);
  CustomerLoad& load = found->second;
  aPool.m_shares += aQuery.m_share - (isNew ? 0.0 : load.m_share);
  load.m_share = aQuery.m_share;
  load.m_lastAsked = aNow;
  return load;
}

void AdmissionController::Sweep(Pool& aPool, Time aNow) {
  if (aNow - aPool.m_swept < kSweepInterval) {
    return;
  }
  aPool.m_swept = aNow;
  std::erase_if(aPool.m_customers, [aNow](const auto& aRow) {
    return aRow.second.m_inFlight == 0 && aNow - aRow.second.m_lastAsked > kActiveFor;
  });
  aPool.m_shares = 0.0;
  for (const auto& [name, load] : aPool.m_customers) {
    aPool.m_shares += load.m_share;
  }
}

void AdmissionController::Fade(Pool& aPool, Time aNow) {
  const double factor = std::exp(-InSeconds(aNow - aPool.m_faded) / InSeconds(kRecentTime));
  aPool.m_faded = aNow;
  aPool.m_recentAdmitted *= factor;
  aPool.m_recentRefused *= factor;
}

Duration AdmissionController::RetryAfter(const Pool& aPool) {
  // The more are refused for each one taken, the later they come back, so that the callers that
  // come back together do not outnumber the places that have become free.
  const double refusedForEach = aPool.m_recentRefused / std::max(1.0, aPool.m_recentAdmitted);
  const double seconds = std::clamp(aPool.m_meanWork * (1.0 + refusedForEach),
                                    kShortestRetrySeconds, kLongestRetrySeconds);
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

AdmissionVerdict AdmissionController::Judge(const Pool& aPool, const CustomerLoad& aLoad,
                                            const AdmissionQuery& aQuery) {
  const double limit = aQuery.m_poolSlots * LimitOf(aQuery.m_urgency);
  const auto inFlight = static_cast<double>(aPool.m_inFlight);
  if (inFlight < limit || aQuery.m_poolFree > ReserveOf(aQuery.m_urgency)) {
    return AdmissionVerdict::Admitted;
  }
  const double part =
    std::max(1.0, limit * aLoad.m_share / std::max(aLoad.m_share, aPool.m_shares));
  if (static_cast<double>(aLoad.m_inFlight) < part) {
    return AdmissionVerdict::Admitted;
  }
  const bool urgentWouldPass = inFlight < aQuery.m_poolSlots * LimitOf(Urgency::Counter);
  return urgentWouldPass ? AdmissionVerdict::LessUrgent : AdmissionVerdict::OverShare;
}

AdmissionDecision AdmissionController::Decide(const AdmissionQuery& aQuery, Time aNow) {
  Pool& pool = m_pools[aQuery.m_pool];
  Sweep(pool, aNow);
  Fade(pool, aNow);
  CustomerLoad& load = LoadOf(pool, aQuery, aNow);
  pool.m_meanWork += (aQuery.m_work - pool.m_meanWork) * kWorkSmoothing;
  AdmissionVerdict verdict = AdmissionVerdict::CannotFinishInTime;
  if (aQuery.m_expectedTime <= aQuery.m_timeLeft) {
    verdict = Judge(pool, load, aQuery);
  }
  if (verdict != AdmissionVerdict::Admitted) {
    pool.m_recentRefused += 1.0;
    return AdmissionDecision{.m_verdict = verdict, .m_retryAfter = RetryAfter(pool)};
  }
  pool.m_recentAdmitted += 1.0;
  ++pool.m_inFlight;
  ++load.m_inFlight;
  return AdmissionDecision{};
}

void AdmissionController::Finished(const std::string& aPool, const std::string& aCustomer,
                                   double /*aWork*/, Time /*aNow*/) {
  const auto pool = m_pools.find(aPool);
  if (pool == m_pools.end()) {
    return;
  }
  pool->second.m_inFlight = std::max<std::int64_t>(0, pool->second.m_inFlight - 1);
  const auto load = pool->second.m_customers.find(aCustomer);
  if (load != pool->second.m_customers.end()) {
    load->second.m_inFlight = std::max<std::int64_t>(0, load->second.m_inFlight - 1);
  }
}

void AdmissionController::Finished(const std::string& aCustomer, double aWork, Time aNow) {
  Finished(std::string(), aCustomer, aWork, aNow);
}

} // namespace fennelline
