#include "LibRouting/AnswerLength.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Number of answers that the means remember.
constexpr double kMemory = 50.0;

double ToEvents(std::int64_t aTokens, std::int64_t aTokensPerEvent) {
  return std::ceil(static_cast<double>(aTokens) /
                   static_cast<double>(std::max<std::int64_t>(1, aTokensPerEvent)));
}

void Average(double& aMean, int& aCount, double aSample) {
  aCount += 1;
  aMean += (aSample - aMean) / std::min(kMemory, static_cast<double>(aCount));
}

} // namespace

void AnswerLength::Learn(const std::string& aRoute, const RequestMetadata& aRequest, double aEvents,
                         std::int64_t aTokensPerEvent) {
  Shown& shown = m_routes[aRoute];
  Average(shown.m_meanEvents, shown.m_count, aEvents);
  if (aRequest.m_mostOutputTokens > 0) {
    const double most = ToEvents(aRequest.m_mostOutputTokens, aTokensPerEvent);
    Average(shown.m_partOfMost, shown.m_mostCount, std::min(1.0, aEvents / most));
  }
}

double AnswerLength::ExpectedEvents(const std::string& aRoute, const RequestMetadata& aRequest,
                                    std::int64_t aTokensPerEvent) const {
  const auto found = m_routes.find(aRoute);
  const Shown shown = found == m_routes.end() ? Shown{} : found->second;
  if (aRequest.m_mostOutputTokens > 0) {
    // Until answers have shown which part of it is used, all of it is expected.
    return ToEvents(aRequest.m_mostOutputTokens, aTokensPerEvent) *
           (shown.m_mostCount > 0 ? shown.m_partOfMost : 1.0);
  }
  if (aRequest.m_lengthHintTokens > 0) {
    // The hint is right at the median and often far off, so it is averaged with what the route has
    // shown, as logarithms.
    const double hint = ToEvents(aRequest.m_lengthHintTokens, aTokensPerEvent);
    return shown.m_count > 0 ? std::sqrt(hint * std::max(1.0, shown.m_meanEvents)) : hint;
  }
  return shown.m_meanEvents;
}

} // namespace fennelline
