#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace fennelline {

struct EngineFakeSettings {
  /// Requests that run at once; further ones queue.
  std::size_t m_slots = 8;
  /// Tokens a second of one request that runs alone.
  double m_aloneTokensPerSecond = 120.0;
  /// Each further running request lengthens the time for a token by this part.
  double m_slowdownPerRequest = 0.12;
  /// Prompt tokens read a second. Prompts are read one after the other.
  double m_promptTokensPerSecond = 9000.0;
  /// Prompt tokens that the prefix cache holds.
  std::int64_t m_cacheTokens = 40'000;

  /// Tokens generated a second with all slots busy.
  double FullTokensPerSecond() const;
};

/// One attempt at an engine.
struct EngineRequest {
  std::uint64_t m_attempt = 0;
  /// The smaller goes first; equal ones in the order of arrival.
  int m_priority = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// Names the shared prefix of the prompt, and its length; zero for none.
  std::uint64_t m_prefix = 0;
  std::int64_t m_prefixTokens = 0;
};

struct EngineOutput {
  enum class Kind : std::uint8_t { FirstToken, Finished } m_kind = Kind::Finished;
  std::uint64_t m_attempt = 0;
  Time m_at{};
};

/// What entered or left the prefix cache.
struct CacheChange {
  std::uint64_t m_prefix = 0;
  std::int64_t m_tokens = 0;
  bool m_added = false;
};

struct EngineLoad {
  std::int64_t m_running = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedTokens = 0;
};

/// One model engine: continuous batching, a token pace that falls with the number of running
/// requests, a prefix cache that forgets the least recently used, and priorities in the queue.
/// It has no clock: the experiment calls Advance() at NextEvent() or before.
class EngineFake {
public:
  explicit EngineFake(EngineFakeSettings aSettings)
    : m_settings(aSettings) {}

  void Submit(const EngineRequest& aRequest, Time aNow);
  /// Removes the attempt; false where it is not there.
  bool Cancel(std::uint64_t aAttempt, Time aNow);
  /// Loses everything, as a crash does, and returns the attempts lost.
  std::vector<std::uint64_t> Crash(Time aNow);
  /// The next instant at which something happens by itself, if any.
  std::optional<Time> NextEvent() const;
  /// Goes on to aNow and returns what happened up to then.
  std::vector<EngineOutput> Advance(Time aNow);
  EngineLoad Load() const;
  std::vector<CacheChange> TakeCacheChanges();

private:
  enum class Phase : std::uint8_t { WaitsForPrompt, ReadsPrompt, Generates };
  struct Running {
    EngineRequest m_request;
    Phase m_phase = Phase::WaitsForPrompt;
    /// Prompt tokens not read, or answer tokens not generated, depending on the phase.
    double m_left = 0.0;
  };
  struct CachedPrefix {
    std::uint64_t m_prefix = 0;
    std::int64_t m_tokens = 0;
  };

  double TokensPerSecond() const;
  double SpeedOf(const Running& aRunning) const;
  void Progress(Time aNow);
  void FillSlots();
  void StartPrompt();
  bool CompletePhases(std::vector<EngineOutput>& aOutputs);
  std::int64_t CachedTokens(const EngineRequest& aRequest);
  void AddToCache(const EngineRequest& aRequest);

  EngineFakeSettings m_settings;
  Time m_now{};
  std::vector<Running> m_running;
  std::vector<EngineRequest> m_queue;
  /// Most recently used first.
  std::list<CachedPrefix> m_cache;
  std::int64_t m_cachedTokens = 0;
  std::vector<CacheChange> m_cacheChanges;
};

} // namespace fennelline
