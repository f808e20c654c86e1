#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"

#include <string>
#include <unordered_map>

namespace fennelline {

struct AdmissionQuery {
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
/// large account cannot starve a small one; urgent kinds go first.
class AdmissionController {
public:
  AdmissionDecision Decide(const AdmissionQuery& aQuery, Time aNow);
  /// An admitted request has ended.
  void Finished(const std::string& aCustomer, double aWork, Time aNow);

private:
  struct CustomerLoad {
    double m_share = 1.0;
    double m_workInFlight = 0.0;
    double m_recentWork = 0.0;
    Time m_updated{};
  };
  std::unordered_map<std::string, CustomerLoad> m_customers;
};

} // namespace fennelline
