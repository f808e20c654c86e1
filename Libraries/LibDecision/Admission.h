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

/// Decides at once whether a request is taken. It counts the requests in flight by urgency: more
/// urgent kinds are taken while less urgent ones are refused. While there is room, everyone is
/// taken. Without room, each customer is taken as far as its credit reaches, which grows at the
/// customer's part of the pool: so a large account cannot starve a small one, however much it
/// sends, and a small one may send its few requests at any moment.
class AdmissionController {
public:
  AdmissionDecision Decide(const AdmissionQuery& aQuery, Time aNow);
  /// An admitted request has ended; aWork is that of its query. To be called once for each.
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
    Time m_credited{};
    Time m_lastAsked{};
    std::vector<InFlight> m_inFlight;
  };
  struct Pool {
    std::unordered_map<std::string, CustomerLoad> m_customers;
    /// Sum of the shares of the customers that have lately asked for something.
    double m_shares = 0.0;
    /// Admitted requests that have not ended, by urgency.
    std::array<std::int64_t, kUrgencyNames.size()> m_inFlight{};
    /// Fading counts of recent requests, for the time to come back.
    double m_recentAdmitted = 0.0;
    double m_recentRefused = 0.0;
    double m_meanWork = 0.0;
    Time m_faded{};
    Time m_swept{};
  };

  static CustomerLoad& LoadOf(Pool& aPool, const AdmissionQuery& aQuery, Time aNow);
  /// The customer's part of the slots that are handed out as credit.
  static double PartOf(const Pool& aPool, const CustomerLoad& aLoad, const AdmissionQuery& aQuery);
  static void AddCredit(const Pool& aPool, CustomerLoad& aLoad, const AdmissionQuery& aQuery,
                        bool aIsNew, Time aNow);
  static void Sweep(Pool& aPool, Time aNow);
  static void Fade(Pool& aPool, Time aNow);
  static Duration RetryAfter(const Pool& aPool);
  static AdmissionVerdict Judge(const Pool& aPool, const CustomerLoad& aLoad,
                                const AdmissionQuery& aQuery);

  std::unordered_map<std::string, Pool> m_pools;
};

} // namespace fennelline
