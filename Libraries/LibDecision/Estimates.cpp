#include "LibDecision/Estimates.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Weight of the configured prior, in ratings.
constexpr double kPriorRatings = 8.0;

/// Number of ratings after which an old one has decayed to 1/e.
constexpr double kRatingMemory = 4000.0;

/// Number of answers after which an old time measurement has decayed to 1/e.
constexpr double kTimeMemory = 200.0;

/// Times assumed for a version that has not answered yet.
constexpr Duration kUnknownFirstToken = Milliseconds(50);
constexpr Duration kUnknownPerToken = Milliseconds(10);
constexpr double kUnknownSpread = 0.5;

/// Weight of the prior spread of the total time, in answers.
constexpr double kPriorSpreadSamples = 4.0;

constexpr double kMinQuality = 0.001;

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
  const double decay = 1.0 - 1.0 / kTimeMemory;
  const double first = InMicroseconds(aObservation.m_firstToken);
  const double total = InMicroseconds(aObservation.m_total);
  const auto tokens = static_cast<double>(std::max<std::int64_t>(1, aObservation.m_outputTokens));
  row.m_firstTokenUs = row.m_firstTokenUs * decay + first;
  row.m_perTokenUs = row.m_perTokenUs * decay + std::max(0.0, total - first) / tokens;
  row.m_totalUs = row.m_totalUs * decay + total;
  row.m_totalSquaredUs = row.m_totalSquaredUs * decay + total * total;
  row.m_outputTokens = row.m_outputTokens * decay + tokens;
  row.m_weight = row.m_weight * decay + 1.0;
  ++row.m_samples;
}

void EstimateTable::ObserveRating(const std::string& aKind, const std::string& aVersion, bool aGood,
                                  Time /*aNow*/) {
  Row& row = m_rows[aKind][aVersion];
  const double decay = 1.0 - 1.0 / kRatingMemory;
  row.m_good = row.m_good * decay + (aGood ? 1.0 : 0.0);
  row.m_bad = row.m_bad * decay + (aGood ? 0.0 : 1.0);
  ++row.m_ratings;
}

VersionEstimate EstimateTable::Get(const std::string& aKind, const std::string& aVersion,
                                   double aPriorQuality) const {
  static const Row kEmptyRow;
  const auto kind = m_rows.find(aKind);
  const Row* row = &kEmptyRow;
  if (kind != m_rows.end()) {
    const auto found = kind->second.find(aVersion);
    row = found == kind->second.end() ? &kEmptyRow : &found->second;
  }

  VersionEstimate estimate;
  // Mean and standard deviation of a beta posterior.
  const double prior = std::clamp(aPriorQuality, kMinQuality, 1.0 - kMinQuality);
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
