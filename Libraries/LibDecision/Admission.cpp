#include "LibDecision/Admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fennelline {

namespace {

/// A customer that has asked for nothing for so long counts no more among those that share.
constexpr Duration kActiveFor = Seconds(10);

/// Customers are remembered this much longer than their credit takes to grow to its most.
constexpr Duration kRememberedFor = Seconds(60);
constexpr Duration kSweepInterval = Milliseconds(500);

/// The part of the pool that is handed out as credit. The rest is room for urgent kinds beyond
/// their customers' credit, and lets queues shrink.
constexpr double kCreditPart = 0.95;

/// The most credit: the customer's part of the pool for this time, and this many slot seconds on
/// top, because a small customer's few requests come in bursts.
constexpr double kCreditSeconds = 4.0;
constexpr double kLeastCredit = 16.0;

/// The part of the most credit that a new customer starts with. All of it at once for everyone,
/// after a start of the process, would make queues that take long to shrink.
constexpr double kFirstCreditPart = 0.25;

/// Recent counts fade to 1/e within this time.
constexpr Duration kRecentTime = Seconds(2);

/// Each new request moves the mean work by this part.
constexpr double kWorkSmoothing = 0.05;

constexpr double kShortestRetrySeconds = 0.1;
constexpr double kLongestRetrySeconds = 30.0;

/// Up to where a kind of request is taken, in requests in flight for each slot of this entry's
/// part of the pool.
struct Limits {
  /// From anyone.
  double m_anyone = 0.0;
  /// From customers with credit.
  double m_withCredit = 0.0;
  /// With more of the whole pool free than this, from anyone whatever this entry's part is.
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
  const bool wasActive = !isNew && aNow - load.m_lastAsked <= kActiveFor;
  aPool.m_shares += aQuery.m_share - (wasActive ? load.m_share : 0.0);
  load.m_share = aQuery.m_share;
  load.m_lastAsked = aNow;
  AddCredit(aPool, load, aQuery, isNew, aNow);
  return load;
}

double AdmissionController::PartOf(const Pool& aPool, const CustomerLoad& aLoad,
                                   const AdmissionQuery& aQuery) {
  const double shares = std::max(aLoad.m_share, aPool.m_shares);
  return kCreditPart * aQuery.m_poolSlots * aLoad.m_share / shares;
}

void AdmissionController::AddCredit(const Pool& aPool, CustomerLoad& aLoad,
                                    const AdmissionQuery& aQuery, bool aIsNew, Time aNow) {
  const double part = PartOf(aPool, aLoad, aQuery);
  const double most = kLeastCredit + kCreditSeconds * part;
  const double grown = aLoad.m_credit + part * InSeconds(aNow - aLoad.m_credited);
  aLoad.m_credit = aIsNew ? kFirstCreditPart * most : std::min(most, grown);
  aLoad.m_credited = aNow;
}

void AdmissionController::Sweep(Pool& aPool, Time aNow) {
  if (aNow - aPool.m_swept < kSweepInterval) {
    return;
  }
  aPool.m_swept = aNow;
  std::erase_if(aPool.m_customers, [aNow](const auto& aRow) {
    return aRow.second.m_inFlight.empty() && aNow - aRow.second.m_lastAsked > kRememberedFor;
  });
  aPool.m_shares = 0.0;
  for (const auto& [name, load] : aPool.m_customers) {
    aPool.m_shares += aNow - load.m_lastAsked <= kActiveFor ? load.m_share : 0.0;
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
  const Limits limits = LimitsOf(aQuery.m_urgency);
  const std::size_t urgency = IndexOf(aQuery.m_urgency);
  const auto& counts = aPool.m_inFlight;
  const auto total = static_cast<double>(std::accumulate(counts.begin(), counts.end(), 0L));
  // Requests at the counter go ahead of all others in the queue, so only their like count.
  const double ahead =
    aQuery.m_urgency == Urgency::Counter ? static_cast<double>(counts[urgency]) : total;
  const bool hasRoom = ahead < limits.m_anyone * aQuery.m_poolSlots;
  if (hasRoom || aQuery.m_poolFree > limits.m_poolFree) {
    return AdmissionVerdict::Admitted;
  }
  if (aLoad.m_credit < aQuery.m_work) {
    return AdmissionVerdict::OverShare;
  }
  // A customer with credit has at least one request in flight, however full the others make it.
  const bool mayQueue = total < limits.m_withCredit * aQuery.m_poolSlots;
  return mayQueue || aLoad.m_inFlight.empty() ? AdmissionVerdict::Admitted
                                              : AdmissionVerdict::LessUrgent;
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
