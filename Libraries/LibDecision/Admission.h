#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

struct AdmissionQuery {
  /// The pool of backend servers that the request would use: those of a version or of a plain
  /// service.
  std::string m_pool;
  std::string m_customer;
  double m_share = 1.0;
  Urgency m_urgency = Urgency::Interactive;
  /// Time left until the deadline, and the predicted time of the request including its wait.
  Duration m_timeLeft{0};
  Duration m_expectedTime{0};
  /// Expected work of the request in seconds of one backend server slot.
  double m_work = 0.0;
  /// The pool's predicted free share, from 0 (full, requests queue) to 1 (idle).
  double m_poolFree = 1.0;
  /// Number of the pool's slots that this entry may count as its share.
  double m_poolSlots = 1.0;
};

enum class AdmissionVerdict { Admitted, CannotFinishInTime, OverShare, LessUrgent };

constexpr NameTable<AdmissionVerdict, 4> kAdmissionVerdictNames = {{
  {AdmissionVerdict::Admitted, "admitted"},
  {AdmissionVerdict::CannotFinishInTime, "cannot-finish-in-time"},
  {AdmissionVerdict::OverShare, "over-share"},
  {AdmissionVerdict::LessUrgent, "less-urgent"},
}};

struct AdmissionDecision {
  AdmissionVerdict m_verdict = AdmissionVerdict::Admitted;
  /// When to retry; zero if a retry would not help.
  Duration m_retryAfter{0};
};

/// Decides immediately whether to admit a request. Requests in flight are counted by urgency, so
/// that more urgent kinds are admitted while less urgent ones are refused. While there is room,
/// every request is admitted. Otherwise each customer is admitted as far as its credit reaches,
/// which grows in proportion to the customer's share of the pool. A large account therefore cannot
/// starve a small one, however much it sends, and a small one may send its few requests at any
/// time.
class AdmissionController {
public:
  AdmissionDecision Decide(const AdmissionQuery& aQuery, Time aNow);
  /// Reports the end of an admitted request; aWork is that of its query. Must be called exactly
  /// once per admitted request.
  void Finished(const std::string& aPool, const std::string& aCustomer, double aWork, Time aNow);

private:
  struct InFlight {
    double m_work = 0.0;
    Urgency m_urgency = Urgency::Interactive;
  };
  struct CustomerLoad {
    double m_share = 1.0;
    /// Work in slot seconds that the customer may still use while there is no room.
    double m_credit = 0.0;
    Time m_creditedAt{};
    Time m_lastRequestAt{};
    std::vector<InFlight> m_inFlight;
  };
  struct Pool {
    std::unordered_map<std::string, CustomerLoad> m_customers;
    /// Sum of the shares of the recently active customers.
    double m_shares = 0.0;
    /// Admitted requests that have not ended, by urgency.
    std::array<std::int64_t, kUrgencyNames.size()> m_inFlight{};
    /// Exponentially decaying counts of recent requests, used to compute the retry delay.
    double m_recentAdmitted = 0.0;
    double m_recentRefused = 0.0;
    double m_meanWork = 0.0;
    Time m_decayedAt{};
    Time m_sweptAt{};
  };

  static CustomerLoad& LoadOf(Pool& aPool, const AdmissionQuery& aQuery, Time aNow);
  /// The customer's share of the slots that are handed out as credit.
  static double PartOf(const Pool& aPool, const CustomerLoad& aLoad, const AdmissionQuery& aQuery);
  static void AddCredit(const Pool& aPool, CustomerLoad& aLoad, const AdmissionQuery& aQuery,
                        bool aIsNew, Time aNow);
  static void Sweep(Pool& aPool, Time aNow);
  static void Decay(Pool& aPool, Time aNow);
  static Duration RetryAfter(const Pool& aPool);
  static AdmissionVerdict Judge(const Pool& aPool, const CustomerLoad& aLoad,
                                const AdmissionQuery& aQuery);

  std::unordered_map<std::string, Pool> m_pools;
};

} // namespace fennelline
