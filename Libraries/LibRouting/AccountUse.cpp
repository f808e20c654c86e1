#include "LibRouting/AccountUse.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Requests of mean size added to both sides of the ratio, so that a few requests of an account do
/// not look like a flood.
constexpr double kPriorRequests = 3.0;

/// Equal parts count like this many seconds of the present use in the usual part, which says little
/// in the first seconds of an entry.
constexpr double kPriorSeconds = 5.0;

constexpr std::uint64_t kRequestsPerExemption = 3;

} // namespace

void AccountUse::Add(const std::string& aAccount, double aWork, bool aIsSurge, Time aNow) {
  if (m_accounts.size() >= kMaxAccounts && !m_accounts.contains(aAccount)) {
    DropIdlest(aNow);
  }
  Account& account = m_accounts[aAccount];
  account.m_recent.Add(aWork, aNow);
  m_recent.Add(aWork, aNow);
  m_requests.Add(1.0, aNow);
  if (!aIsSurge) {
    account.m_usual.Add(aWork, aNow);
    m_usual.Add(aWork, aNow);
  }
}

double AccountUse::Ratio(const std::string& aAccount, Time aNow) const {
  const auto found = m_accounts.find(aAccount);
  const double requests = m_requests.Value(aNow);
  if (found == m_accounts.end() || requests <= 0.0) {
    return 1.0;
  }
  const double all = m_recent.Value(aNow);
  const double equalPart = 1.0 / static_cast<double>(m_accounts.size());
  const double prior = m_recent.PerSecond(aNow) * kPriorSeconds;
  const double usualPart = (found->second.m_usual.Value(aNow) + prior * equalPart) /
                           std::max(1.0, m_usual.Value(aNow) + prior);
  const double slack = kPriorRequests * all / requests;
  return (found->second.m_recent.Value(aNow) + slack) /
         std::max(1.0, std::max(equalPart, usualPart) * all + slack);
}

double AccountUse::RatioForNext(const std::string& aAccount, Time aNow) {
  const auto found = m_accounts.find(aAccount);
  const double ratio = Ratio(aAccount, aNow);
  const bool isExempt =
    found != m_accounts.end() && ++found->second.m_requests % kRequestsPerExemption == 0;
  return isExempt ? std::min(1.0, ratio) : ratio;
}

void AccountUse::DropIdlest(Time aNow) {
  const auto idlest = std::min_element(
    m_accounts.begin(), m_accounts.end(), [aNow](const auto& aFirst, const auto& aSecond) {
      return aFirst.second.m_recent.Value(aNow) < aSecond.second.m_recent.Value(aNow);
    });
  m_recent.Add(-idlest->second.m_recent.Value(aNow), aNow);
  m_usual.Add(-idlest->second.m_usual.Value(aNow), aNow);
  m_accounts.erase(idlest);
}

} // namespace fennelline
