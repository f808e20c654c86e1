#include "Utilities/Policy/EntryBook.h"

#include "LibDecision/PrefixHashes.h"

#include <algorithm>
#include <numeric>

namespace fennelline {

namespace {

/// Each ended attempt moves the failure rate of its engine by this part.
constexpr double kFailureSmoothing = 0.05;

} // namespace

std::vector<std::uint64_t> HashesOf(std::uint64_t aPrefix, std::int64_t aTokens) {
  std::vector<std::uint64_t> hashes;
  Random random(aPrefix);
  for (std::int64_t token = 0; token + kTokensPerPrefixBlock <= aTokens;
       token += kTokensPerPrefixBlock) {
    hashes.push_back(random.Next());
  }
  return hashes;
}

std::string EngineName(std::size_t aEngine) {
  return "engine-" + std::to_string(aEngine);
}

EntryBook::EntryBook(std::size_t aEngines, EngineFakeSettings aEngine,
                     std::vector<Duration> aDistances)
  : m_settings(aEngine)
  , m_engines(aEngines) {
  for (std::size_t index = 0; index < aEngines; ++index) {
    m_engines[index].m_distance = aDistances[index];
  }
}

void EntryBook::OnReport(std::size_t aEngine, const EngineReport& aReport) {
  Engine& engine = m_engines[aEngine];
  engine.m_report = aReport;
  while (!engine.m_sent.empty() && engine.m_sent.front().m_at <= aReport.m_madeAt) {
    engine.m_sent.pop_front();
  }
  while (!engine.m_ended.empty() && engine.m_ended.front().m_at <= aReport.m_madeAt) {
    engine.m_ended.pop_front();
  }
}

void EntryBook::OnCacheChanges(std::size_t aEngine, std::span<const CacheChange> aChanges,
                               bool aGap) {
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
  for (const CacheChange& change : aChanges) {
    const std::vector<std::uint64_t> hashes = HashesOf(change.m_prefix, change.m_tokens);
    std::vector<std::uint64_t>& target = change.m_added ? added : removed;
    target.insert(target.end(), hashes.begin(), hashes.end());
  }
  m_prefixes.OnCacheEvents(EngineName(aEngine), added, removed, aGap);
}

std::int64_t EntryBook::OnSent(std::size_t aEngine, const EngineRequest& aRequest,
                               std::int64_t aExpectedTokens, Time aNow) {
  Engine& engine = m_engines[aEngine];
  ++engine.m_outstanding;
  engine.m_outstandingTokens += aExpectedTokens;
  engine.m_sent.push_back({.m_at = aNow, .m_tokens = aExpectedTokens});
  std::int64_t promptTokens = aRequest.m_inputTokens;
  if (aRequest.m_prefix != 0) {
    const std::vector<std::uint64_t> hashes = HashesOf(aRequest.m_prefix, aRequest.m_prefixTokens);
    promptTokens -= m_prefixes.CachedTokens(EngineName(aEngine), hashes);
    m_prefixes.OnSent(EngineName(aEngine), hashes);
  }
  engine.m_promptTokens += promptTokens;
  return promptTokens;
}

void EntryBook::OnPromptRead(std::size_t aEngine, std::int64_t aPromptTokens) {
  m_engines[aEngine].m_promptTokens -= aPromptTokens;
}

void EntryBook::OnEnded(std::size_t aEngine, std::int64_t aTokens, Time aSentAt, bool aFailed,
                        Time aNow) {
  Engine& engine = m_engines[aEngine];
  --engine.m_outstanding;
  engine.m_ended.push_back({.m_sentAt = aSentAt, .m_at = aNow});
  std::erase_if(engine.m_sent, [aSentAt](const Sent& aSent) { return aSent.m_at == aSentAt; });
  engine.m_outstandingTokens -= aTokens;
  engine.m_failureRate += ((aFailed ? 1.0 : 0.0) - engine.m_failureRate) * kFailureSmoothing;
}

std::span<const ReplicaView> EntryBook::Views(std::uint64_t aPrefix, std::int64_t aPrefixTokens,
                                              Time aNow) {
  const std::vector<std::uint64_t> hashes =
    aPrefix == 0 ? std::vector<std::uint64_t>() : HashesOf(aPrefix, aPrefixTokens);
  m_views.clear();
  for (std::size_t index = 0; index < m_engines.size(); ++index) {
    const Engine& engine = m_engines[index];
    ReplicaView view;
    view.m_reportedRunning = engine.m_report.m_load.m_running;
    view.m_reportedQueued = engine.m_report.m_load.m_queued;
    view.m_reportedQueuedTokens = engine.m_report.m_load.m_queuedTokens;
    view.m_tokensPerSecond = m_settings.FullTokensPerSecond();
    view.m_reportAge = aNow - engine.m_report.m_madeAt;
    view.m_ownOutstanding = engine.m_outstanding;
    view.m_ownOutstandingTokens = engine.m_outstandingTokens;
    view.m_ownSinceReport = static_cast<std::int64_t>(engine.m_sent.size());
    for (const Sent& sent : engine.m_sent) {
      view.m_ownTokensSinceReport += sent.m_tokens;
    }
    view.m_ownEndedSinceReport =
      std::count_if(engine.m_ended.begin(), engine.m_ended.end(), [&engine](const Ended& aEnded) {
        return aEnded.m_sentAt <= engine.m_report.m_madeAt;
      });
    view.m_ownPromptTokens = engine.m_promptTokens;
    view.m_cachedPrefixTokens =
      hashes.empty() ? 0 : m_prefixes.CachedTokens(EngineName(index), hashes);
    view.m_distance = engine.m_distance;
    view.m_slots = static_cast<std::int64_t>(m_settings.m_slots);
    view.m_failureRate = engine.m_failureRate;
    m_views.push_back(view);
  }
  return m_views;
}

double EntryBook::PoolFree(Time /*aNow*/) const {
  double busy = 0.0;
  for (const Engine& engine : m_engines) {
    const EngineLoad& load = engine.m_report.m_load;
    busy += static_cast<double>(load.m_running + load.m_queued) +
            static_cast<double>(engine.m_sent.size());
  }
  const double slots = static_cast<double>(m_engines.size() * m_settings.m_slots);
  return std::clamp(1.0 - busy / slots, 0.0, 1.0);
}

} // namespace fennelline
