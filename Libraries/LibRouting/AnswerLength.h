#pragma once

#include "LibRouting/RequestMetadata.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// Expects how many events an answer will have, from what the caller says and what earlier answers
/// of the route have shown.
class AnswerLength {
public:
  /// A complete answer of the route had this many events.
  void Learn(const std::string& aRoute, const RequestMetadata& aRequest, double aEvents,
             std::int64_t aTokensPerEvent);
  /// Zero if nothing is known.
  double ExpectedEvents(const std::string& aRoute, const RequestMetadata& aRequest,
                        std::int64_t aTokensPerEvent) const;

private:
  struct Shown {
    double m_meanEvents = 0.0;
    int m_count = 0;
    /// Mean part of the most output that the callers allowed.
    double m_partOfMost = 0.0;
    int m_mostCount = 0;
  };

  std::unordered_map<std::string, Shown> m_routes;
};

} // namespace fennelline
