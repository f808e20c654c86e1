#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// Estimates for one version and one kind of request, with their uncertainty.
struct VersionEstimate {
  /// Share of good answers: mean and standard error.
  double m_quality = 0.5;
  double m_qualityError = 0.5;
  /// Time to the first token without queueing, and time per further token.
  Duration m_firstToken{0};
  Duration m_perToken{0};
  /// Relative spread (standard deviation over mean) of the total time.
  double m_timeSpread = 0.5;
  double m_outputTokens = 0.0;
  std::int64_t m_samples = 0;
  std::int64_t m_ratings = 0;
};

/// Measurements of one finished answer.
struct AnswerObservation {
  Duration m_firstToken{0};
  Duration m_total{0};
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
};

/// Estimates per (kind, version). Old samples decay, so that changes become visible.
class EstimateTable {
public:
  void Observe(const std::string& aKind, const std::string& aVersion,
               const AnswerObservation& aObservation, Time aNow);
  void ObserveRating(const std::string& aKind, const std::string& aVersion, bool aGood, Time aNow);
  /// Returns the estimate; it starts from the configured prior while there are few or no samples.
  VersionEstimate Get(const std::string& aKind, const std::string& aVersion,
                      double aPriorQuality) const;

private:
  struct Row {
    double m_good = 0.0;
    double m_bad = 0.0;
    double m_firstTokenUs = 0.0;
    double m_perTokenUs = 0.0;
    double m_totalUs = 0.0;
    double m_totalSquaredUs = 0.0;
    double m_outputTokens = 0.0;
    double m_weight = 0.0;
    std::int64_t m_samples = 0;
    std::int64_t m_ratings = 0;
  };
  /// Nested maps by kind and version, so that a lookup needs no combined key and no allocation.
  std::unordered_map<std::string, std::unordered_map<std::string, Row>> m_rows;
};

} // namespace fennelline
