#pragma once

#include "LibDecision/Admission.h"
#include "LibDecision/Estimates.h"
#include "LibDecision/PrefixIndex.h"
#include "LibDecision/ReplicaChoice.h"
#include "LibDecision/RetryBudget.h"
#include "Utilities/Policy/EngineFake.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// The block hashes of a shared prefix.
std::vector<std::uint64_t> HashesOf(std::uint64_t aPrefix, std::int64_t aTokens);

/// The name of an engine of an experiment.
std::string EngineName(std::size_t aEngine);

/// A report of an engine's load, made at an instant.
struct EngineReport {
  EngineLoad m_load;
  Time m_madeAt{};
};

/// What one entry of an experiment knows: late reports, late cache events, and its own requests.
class EntryBook {
public:
  EntryBook(std::size_t aEngines, EngineFakeSettings aEngine, std::vector<Duration> aDistances);

  void OnReport(std::size_t aEngine, const EngineReport& aReport);
  void OnCacheChanges(std::size_t aEngine, std::span<const CacheChange> aChanges, bool aGap);
  /// Returns the prompt tokens that are expected not to be cached, for OnPromptRead().
  std::int64_t OnSent(std::size_t aEngine, const EngineRequest& aRequest,
                      std::int64_t aExpectedTokens, Time aNow);
  /// The request showed its first token, or ended without one.
  void OnPromptRead(std::size_t aEngine, std::int64_t aPromptTokens);
  void OnEnded(std::size_t aEngine, std::int64_t aTokens, Time aSentAt, bool aFailed, Time aNow);
  /// Views for a choice; valid until the next call.
  std::span<const ReplicaView> Views(std::uint64_t aPrefix, std::int64_t aPrefixTokens, Time aNow);
  /// The free share of all slots, as far as this entry knows.
  double PoolFree(Time aNow) const;

  AdmissionController m_admission;
  RetryBudget m_retries{0.1, 20.0};
  EstimateTable m_estimates;

private:
  struct Sent {
    Time m_at{};
    std::int64_t m_tokens = 0;
  };
  struct Ended {
    Time m_sentAt{};
    Time m_at{};
  };
  struct Engine {
    EngineReport m_report;
    std::int64_t m_outstanding = 0;
    std::int64_t m_outstandingTokens = 0;
    std::int64_t m_promptTokens = 0;
    /// Requests sent since the report was made.
    std::deque<Sent> m_sent;
    /// Of the requests that ended since the report was made: when they were sent and ended.
    std::deque<Ended> m_ended;
    double m_failureRate = 0.0;
    Duration m_distance{0};
  };

  EngineFakeSettings m_settings;
  std::vector<Engine> m_engines;
  PrefixIndex m_prefixes;
  std::vector<ReplicaView> m_views;
};

} // namespace fennelline
