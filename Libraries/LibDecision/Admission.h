#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

struct AdmissionQuery {
  /// The backend servers that the request would use: a version's or a plain service's.
  std::string m_pool;
  std::string m_customer;
  double m_share = 1.0;
  Urgency m_urgency = Urgency::Interactive;
  /// What is left until the deadline, and what the request is foreseen to need with its wait.
  Duration m_timeLeft{0};
  Duration m_expectedTime{0};
  /// Work of the request in expected seconds of one backend server slot.
  double m_work = 0.0;
  /// The pool's free share, from 0 (full, work queues) to 1 (idle), as now foreseen.
  double m_poolFree = 1.0;
  /// Slots of the pool that this entry may count as its part.
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
  /// When to come back; zero where that would not help.
  Duration m_retryAfter{0};
};

/// Decides at once whether a request is taken. Fair between customers by their shares, so that a
/// large account cannot starve a small one; urgent kinds go first. It counts the requests in
/// flight, which are slot seconds a second: no rate has to be foreseen.
class AdmissionController {
public:
  AdmissionDecision Decide(const AdmissionQuery& aQuery, Time aNow);
  /// An admitted request has ended. To be called once for each.
  void Finished(const std::string& aPool, const std::string& aCustomer, double aWork, Time aNow);
  /// The same for requests that were admitted with no pool named.
  void Finished(const std::string& aCustomer, double aWork, Time aNow);

private:
  struct CustomerLoad {
    double m_share = 1.0;
    std::int64_t m_inFlight = 0;
    Time m_lastAsked{};
  };
  struct Pool {
    std::unordered_map<std::string, CustomerLoad> m_customers;
    /// Sum of the shares of m_customers.
    double m_shares = 0.0;
    std::int64_t m_inFlight = 0;
    /// Fading counts and work of recent requests, for the time to come back.
    double m_recentAdmitted = 0.0;
    double m_recentRefused = 0.0;
    double m_meanWork = 0.0;
    Time m_faded{};
    Time m_swept{};
  };

  static CustomerLoad& LoadOf(Pool& aPool, const AdmissionQuery& aQuery, Time aNow);
  static void Sweep(Pool& aPool, Time aNow);
  static void Fade(Pool& aPool, Time aNow);
  static Duration RetryAfter(const Pool& aPool);
  static AdmissionVerdict Judge(const Pool& aPool, const CustomerLoad& aLoad,
                                const AdmissionQuery& aQuery);

  std::unordered_map<std::string, Pool> m_pools;
};

} // namespace fennelline
