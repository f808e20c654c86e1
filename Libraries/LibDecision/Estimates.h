#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// What is known of one version for one kind of request, with its uncertainty.
struct VersionEstimate {
  /// Share of good answers: mean and standard error.
  double m_quality = 0.5;
  double m_qualityError = 0.5;
  /// Time to the first token beyond the queue, and time for each further token.
  Duration m_firstToken{0};
  Duration m_perToken{0};
  /// Relative spread (standard deviation over mean) of the whole time.
  double m_timeSpread = 0.5;
  double m_outputTokens = 0.0;
  std::int64_t m_samples = 0;
  std::int64_t m_ratings = 0;
};

/// How one finished answer went.
struct AnswerObservation {
  Duration m_firstToken{0};
  Duration m_total{0};
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
};

/// Estimates per (kind, version). Old evidence fades, so that a change shows.
class EstimateTable {
public:
  void Observe(const std::string& aKind, const std::string& aVersion,
               const AnswerObservation& aObservation, Time aNow);
  void ObserveRating(const std::string& aKind, const std::string& aVersion, bool aGood, Time aNow);
  /// The estimate, starting from the configured prior where little or nothing was seen.
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
  /// By kind, then by version: a look-up makes no joined key and so allocates nothing.
  std::unordered_map<std::string, std::unordered_map<std::string, Row>> m_rows;
};

} // namespace fennelline
