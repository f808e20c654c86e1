#include "LibDecision/Admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fennelline {

namespace {

/// A customer without requests for this long no longer counts among those that share the pool.
constexpr Duration kActiveFor = Seconds(10);

/// How long inactive customers are kept; much longer than their credit takes to reach its maximum.
constexpr Duration kRememberedFor = Seconds(60);
constexpr Duration kSweepInterval = Milliseconds(500);

/// Fraction of the pool that is handed out as credit. The rest is room for urgent requests beyond
/// their customers' credit, and lets queues shrink.
constexpr double kCreditFraction = 0.95;

/// Maximum credit: the customer's share of the pool for kCreditSeconds, plus kCreditFloor slot
/// seconds, because a small customer's few requests come in bursts.
constexpr double kCreditSeconds = 4.0;
constexpr double kCreditFloor = 16.0;

/// Fraction of the maximum credit that a new customer starts with. Full credit for every customer
/// after a process start would build up queues that take long to shrink.
constexpr double kInitialCreditFraction = 0.25;

/// Recent counts decay to 1/e within this time.
constexpr Duration kRecentDecayTime = Seconds(2);

/// Weight of one request in the moving average of the work.
constexpr double kWorkSmoothing = 0.05;

constexpr double kMinRetrySeconds = 0.1;
constexpr double kMaxRetrySeconds = 30.0;

/// Admission limits for a kind of request, in requests in flight per slot of this entry's share of
/// the pool.
struct Limits {
  /// Limit for requests of any customer.
  double m_anyone = 0.0;
  /// Limit for customers with credit.
  double m_withCredit = 0.0;
  /// If more than this share of the whole pool is free, requests are admitted regardless of this
  /// entry's own count.
  double m_poolFree = 0.0;
};

constexpr Limits LimitsOf(Urgency aUrgency) {
  switch (aUrgency) {
    case Urgency::Counter:
      return {.m_anyone = 0.9, .m_withCredit = 4.0, .m_poolFree = 0.02};
    case Urgency::Interactive:
      return {.m_anyone = 0.85, .m_withCredit = 3.0, .m_poolFree = 0.08};
    case Urgency::Background:
      return {.m_anyone = 0.7, .m_withCredit = 2.0, .m_poolFree = 0.15};
  }
  return {};
}

std::size_t IndexOf(Urgency aUrgency) {
  return static_cast<std::size_t>(aUrgency);
}

} // namespace

AdmissionController::CustomerLoad& AdmissionController::LoadOf(Pool& aPool,
                                                               const AdmissionQuery& aQuery,
                                                               Time aNow) {
  const auto [found, isNew] = aPool.m_customers.try_emplace(aQuery.m_customer);
  CustomerLoad& load = found->second;
  const bool wasActive = !isNew && aNow - load.m_lastRequestAt <= kActiveFor;
  aPool.m_shares += aQuery.m_share - (wasActive ? load.m_share : 0.0);
  load.m_share = aQuery.m_share;
  load.m_lastRequestAt = aNow;
  AddCredit(aPool, load, aQuery, isNew, aNow);
  return load;
}

double AdmissionController::PartOf(const Pool& aPool, const CustomerLoad& aLoad,
                                   const AdmissionQuery& aQuery) {
  const double shares = std::max(aLoad.m_share, aPool.m_shares);
  return kCreditFraction * aQuery.m_poolSlots * aLoad.m_share / shares;
}

void AdmissionController::AddCredit(const Pool& aPool, CustomerLoad& aLoad,
                                    const AdmissionQuery& aQuery, bool aIsNew, Time aNow) {
  const double part = PartOf(aPool, aLoad, aQuery);
  const double most = kCreditFloor + kCreditSeconds * part;
  const double grown = aLoad.m_credit + part * InSeconds(aNow - aLoad.m_creditedAt);
  aLoad.m_credit = aIsNew ? kInitialCreditFraction * most : std::min(most, grown);
  aLoad.m_creditedAt = aNow;
}

void AdmissionController::Sweep(Pool& aPool, Time aNow) {
  if (aNow - aPool.m_sweptAt < kSweepInterval) {
    return;
  }
  aPool.m_sweptAt = aNow;
  std::erase_if(aPool.m_customers, [aNow](const auto& aRow) {
    return aRow.second.m_inFlight.empty() && aNow - aRow.second.m_lastRequestAt > kRememberedFor;
  });
  aPool.m_shares = 0.0;
  for (const auto& [name, load] : aPool.m_customers) {
    aPool.m_shares += aNow - load.m_lastRequestAt <= kActiveFor ? load.m_share : 0.0;
  }
}

void AdmissionController::Decay(Pool& aPool, Time aNow) {
  const double factor =
    std::exp(-InSeconds(aNow - aPool.m_decayedAt) / InSeconds(kRecentDecayTime));
  aPool.m_decayedAt = aNow;
  aPool.m_recentAdmitted *= factor;
  aPool.m_recentRefused *= factor;
}

Duration AdmissionController::RetryAfter(const Pool& aPool) {
  // The delay grows with the number of refusals per admission, so that the callers that retry at
  // the same time do not outnumber the slots that have become free.
  const double refusedForEach = aPool.m_recentRefused / std::max(1.0, aPool.m_recentAdmitted);
  const double seconds =
    std::clamp(aPool.m_meanWork * (1.0 + refusedForEach), kMinRetrySeconds, kMaxRetrySeconds);
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

AdmissionVerdict AdmissionController::Judge(const Pool& aPool, const CustomerLoad& aLoad,
                                            const AdmissionQuery& aQuery) {
  const Limits limits = LimitsOf(aQuery.m_urgency);
  const std::size_t urgency = IndexOf(aQuery.m_urgency);
  const auto& counts = aPool.m_inFlight;
  const auto total = static_cast<double>(std::accumulate(counts.begin(), counts.end(), 0L));
  // Counter requests go ahead of all others in the queue, so only other counter requests count.
  const double ahead =
    aQuery.m_urgency == Urgency::Counter ? static_cast<double>(counts[urgency]) : total;
  const bool hasRoom = ahead < limits.m_anyone * aQuery.m_poolSlots;
  if (hasRoom || aQuery.m_poolFree > limits.m_poolFree) {
    return AdmissionVerdict::Admitted;
  }
  if (aLoad.m_credit < aQuery.m_work) {
    return AdmissionVerdict::OverShare;
  }
  // A customer with credit may always have one request in flight, however full the pool is.
  const bool mayQueue = total < limits.m_withCredit * aQuery.m_poolSlots;
  return mayQueue || aLoad.m_inFlight.empty() ? AdmissionVerdict::Admitted
                                              : AdmissionVerdict::LessUrgent;
}

AdmissionDecision AdmissionController::Decide(const AdmissionQuery& aQuery, Time aNow) {
  Pool& pool = m_pools[aQuery.m_pool];
  Sweep(pool, aNow);
  Decay(pool, aNow);
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
  ++pool.m_inFlight[IndexOf(aQuery.m_urgency)];
  load.m_inFlight.push_back({.m_work = aQuery.m_work, .m_urgency = aQuery.m_urgency});
  load.m_credit = std::max(0.0, load.m_credit - aQuery.m_work);
  return AdmissionDecision{};
}

void AdmissionController::Finished(const std::string& aPool, const std::string& aCustomer,
                                   double aWork, Time /*aNow*/) {
  const auto pool = m_pools.find(aPool);
  if (pool == m_pools.end()) {
    return;
  }
  const auto load = pool->second.m_customers.find(aCustomer);
  if (load == pool->second.m_customers.end()) {
    return;
  }
  std::vector<InFlight>& inFlight = load->second.m_inFlight;
  const auto ended =
    std::find_if(inFlight.begin(), inFlight.end(),
                 [aWork](const InFlight& aRequest) { return aRequest.m_work == aWork; });
  if (ended == inFlight.end()) {
    return;
  }
  --pool->second.m_inFlight[IndexOf(ended->m_urgency)];
  *ended = inFlight.back();
  inFlight.pop_back();
}

} // namespace fennelline
