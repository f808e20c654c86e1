#include "LibDecision/Estimates.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// The configured prior counts as this many ratings.
constexpr double kPriorRatings = 8.0;

/// Ratings after which an old one has faded to 1/e.
constexpr double kRatingMemory = 4000.0;

/// Answers after which an old time measurement has faded to 1/e.
constexpr double kTimeMemory = 200.0;

/// Until a version has answered, its times are taken for these.
constexpr Duration kUnknownFirstToken = Milliseconds(50);
constexpr Duration kUnknownPerToken = Milliseconds(10);
constexpr double kUnknownSpread = 0.5;

/// The prior spread of the whole time counts as this many answers.
constexpr double kPriorSpreadSamples = 4.0;

constexpr double kLeastQuality = 0.001;

double InMicroseconds(Duration aDuration) {
  return static_cast<double>(aDuration.count());
}

Duration FromMicroseconds(double aCount) {
  return Duration(static_cast<std::int64_t>(aCount));
}

double RelativeSpread(double aMean, double aMeanOfSquares, double aWeight) {
  if (aWeight <= 0.0 || aMean <= 0.0) {
    return kUnknownSpread;
  }
  const double variance = std::max(0.0, aMeanOfSquares - aMean * aMean);
  const double measured = std::sqrt(variance) / aMean;
  return (measured * aWeight + kUnknownSpread * kPriorSpreadSamples) /
         (aWeight + kPriorSpreadSamples);
}

} // namespace

void EstimateTable::Observe(const std::string& aKind, const std::string& aVersion,
                            const AnswerObservation& aObservation, Time /*aNow*/) {
  Row& row = m_rows[aKind][aVersion];
  const double fade = 1.0 - 1.0 / kTimeMemory;
  const double first = InMicroseconds(aObservation.m_firstToken);
  const double total = InMicroseconds(aObservation.m_total);
  const auto tokens = static_cast<double>(std::max<std::int64_t>(1, aObservation.m_outputTokens));
  row.m_firstTokenUs = row.m_firstTokenUs * fade + first;
  row.m_perTokenUs = row.m_perTokenUs * fade + std::max(0.0, total - first) / tokens;
  row.m_totalUs = row.m_totalUs * fade + total;
  row.m_totalSquaredUs = row.m_totalSquaredUs * fade + total * total;
  row.m_outputTokens = row.m_outputTokens * fade + tokens;
  row.m_weight = row.m_weight * fade + 1.0;
  ++row.m_samples;
}

void EstimateTable::ObserveRating(const std::string& aKind, const std::string& aVersion, bool aGood,
                                  Time /*aNow*/) {
  Row& row = m_rows[aKind][aVersion];
  const double fade = 1.0 - 1.0 / kRatingMemory;
  row.m_good = row.m_good * fade + (aGood ? 1.0 : 0.0);
  row.m_bad = row.m_bad * fade + (aGood ? 0.0 : 1.0);
  ++row.m_ratings;
}

VersionEstimate EstimateTable::Get(const std::string& aKind, const std::string& aVersion,
                                   double aPriorQuality) const {
  static const Row kNothing;
  const auto kind = m_rows.find(aKind);
  const Row* row = &kNothing;
  if (kind != m_rows.end()) {
    const auto found = kind->second.find(aVersion);
    row = found == kind->second.end() ? &kNothing : &found->second;
  }

  VersionEstimate estimate;
  // The mean and the standard deviation of a beta posterior.
  const double prior = std::clamp(aPriorQuality, kLeastQuality, 1.0 - kLeastQuality);
  const double good = row->m_good + prior * kPriorRatings;
  const double bad = row->m_bad + (1.0 - prior) * kPriorRatings;
  const double sum = good + bad;
  estimate.m_quality = good / sum;
  estimate.m_qualityError = std::sqrt(good * bad / (sum * sum * (sum + 1.0)));
  estimate.m_samples = row->m_samples;
  estimate.m_ratings = row->m_ratings;
  if (row->m_weight <= 0.0) {
    estimate.m_firstToken = kUnknownFirstToken;
    estimate.m_perToken = kUnknownPerToken;
    return estimate;
  }
  estimate.m_firstToken = FromMicroseconds(row->m_firstTokenUs / row->m_weight);
  estimate.m_perToken = FromMicroseconds(row->m_perTokenUs / row->m_weight);
  estimate.m_outputTokens = row->m_outputTokens / row->m_weight;
  estimate.m_timeSpread = RelativeSpread(row->m_totalUs / row->m_weight,
                                         row->m_totalSquaredUs / row->m_weight, row->m_weight);
  return estimate;
}

} // namespace fennelline
