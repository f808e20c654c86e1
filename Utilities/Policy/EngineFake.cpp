#include "Utilities/Policy/EngineFake.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Less than this of a token counts as none.
constexpr double kDone = 1e-6;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

double EngineFakeSettings::FullTokensPerSecond() const {
  const auto slots = static_cast<double>(m_slots);
  return slots * m_aloneTokensPerSecond / (1.0 + m_slowdownPerRequest * (slots - 1.0));
}

double EngineFake::TokensPerSecond() const {
  const double others = std::max(0.0, static_cast<double>(m_running.size()) - 1.0);
  return m_settings.m_aloneTokensPerSecond / (1.0 + m_settings.m_slowdownPerRequest * others);
}

double EngineFake::SpeedOf(const Running& aRunning) const {
  switch (aRunning.m_phase) {
    case Phase::WaitsForPrompt:
      return 0.0;
    case Phase::ReadsPrompt:
      return m_settings.m_promptTokensPerSecond;
    case Phase::Generates:
      return TokensPerSecond();
  }
  return 0.0;
}

std::optional<Time> EngineFake::NextEvent() const {
  std::optional<double> soonest;
  for (const Running& running : m_running) {
    const double speed = SpeedOf(running);
    if (speed > 0.0) {
      const double seconds = running.m_left / speed;
      soonest = std::min(soonest.value_or(seconds), seconds);
    }
  }
  if (!soonest) {
    return std::nullopt;
  }
  return m_now + Duration(static_cast<std::int64_t>(std::ceil(*soonest * kMicrosecondsPerSecond)));
}

void EngineFake::Progress(Time aNow) {
  const double seconds = InSeconds(aNow - m_now);
  for (Running& running : m_running) {
    running.m_left = std::max(0.0, running.m_left - seconds * SpeedOf(running));
  }
  m_now = std::max(m_now, aNow);
}

void EngineFake::FillSlots() {
  while (m_running.size() < m_settings.m_slots && !m_queue.empty()) {
    const auto first = std::min_element(
      m_queue.begin(), m_queue.end(), [](const EngineRequest& aLeft, const EngineRequest& aRight) {
        return aLeft.m_priority < aRight.m_priority;
      });
    m_running.push_back({.m_request = *first});
    m_queue.erase(first);
  }
}

void EngineFake::StartPrompt() {
  Running* next = nullptr;
  for (Running& running : m_running) {
    if (running.m_phase == Phase::ReadsPrompt) {
      return;
    }
    const bool goesFirst =
      next == nullptr || running.m_request.m_priority < next->m_request.m_priority;
    if (running.m_phase == Phase::WaitsForPrompt && goesFirst) {
      next = &running;
    }
  }
  if (next != nullptr) {
    next->m_phase = Phase::ReadsPrompt;
    const std::int64_t uncached = next->m_request.m_inputTokens - CachedTokens(next->m_request);
    next->m_left = static_cast<double>(std::max<std::int64_t>(1, uncached));
  }
}

bool EngineFake::CompletePhases(std::vector<EngineOutput>& aOutputs) {
  bool changed = false;
  for (Running& running : m_running) {
    if (running.m_left > kDone || running.m_phase == Phase::WaitsForPrompt) {
      continue;
    }
    changed = true;
    const bool wasPrompt = running.m_phase == Phase::ReadsPrompt;
    aOutputs.push_back(
      {.m_kind = wasPrompt ? EngineOutput::Kind::FirstToken : EngineOutput::Kind::Finished,
       .m_attempt = running.m_request.m_attempt,
       .m_at = m_now});
    if (wasPrompt) {
      AddToCache(running.m_request);
      running.m_phase = Phase::Generates;
      running.m_left =
        static_cast<double>(std::max<std::int64_t>(1, running.m_request.m_outputTokens));
    } else {
      running.m_left = -1.0;
    }
  }
  std::erase_if(m_running, [](const Running& aRunning) { return aRunning.m_left < 0.0; });
  return changed;
}

std::vector<EngineOutput> EngineFake::Advance(Time aNow) {
  std::vector<EngineOutput> outputs;
  std::optional<Time> next = NextEvent();
  while (next && *next <= aNow) {
    Progress(*next);
    CompletePhases(outputs);
    FillSlots();
    StartPrompt();
    next = NextEvent();
  }
  Progress(aNow);
  return outputs;
}

void EngineFake::Submit(const EngineRequest& aRequest, Time aNow) {
  Progress(aNow);
  m_queue.push_back(aRequest);
  FillSlots();
  StartPrompt();
}

bool EngineFake::Cancel(std::uint64_t aAttempt, Time aNow) {
  Progress(aNow);
  const std::size_t removed = std::erase_if(m_queue,
                                            [aAttempt](const EngineRequest& aRequest) {
                                              return aRequest.m_attempt == aAttempt;
                                            }) +
                              std::erase_if(m_running, [aAttempt](const Running& aRunning) {
                                return aRunning.m_request.m_attempt == aAttempt;
                              });
  FillSlots();
  StartPrompt();
  return removed > 0;
}

std::vector<std::uint64_t> EngineFake::Crash(Time aNow) {
  Progress(aNow);
  std::vector<std::uint64_t> lost;
  for (const Running& running : m_running) {
    lost.push_back(running.m_request.m_attempt);
  }
  for (const EngineRequest& request : m_queue) {
    lost.push_back(request.m_attempt);
  }
  m_running.clear();
  m_queue.clear();
  for (const CachedPrefix& cached : m_cache) {
    m_cacheChanges.push_back({cached.m_prefix, cached.m_tokens, false});
  }
  m_cache.clear();
  m_cachedTokens = 0;
  return lost;
}

EngineLoad EngineFake::Load() const {
  EngineLoad load;
  load.m_running = static_cast<std::int64_t>(m_running.size());
  load.m_queued = static_cast<std::int64_t>(m_queue.size());
  for (const EngineRequest& request : m_queue) {
    load.m_queuedTokens += request.m_inputTokens;
  }
  return load;
}

std::vector<CacheChange> EngineFake::TakeCacheChanges() {
  std::vector<CacheChange> changes;
  changes.swap(m_cacheChanges);
  return changes;
}

std::int64_t EngineFake::CachedTokens(const EngineRequest& aRequest) {
  const auto found =
    std::find_if(m_cache.begin(), m_cache.end(), [&aRequest](const CachedPrefix& aCached) {
      return aRequest.m_prefix != 0 && aCached.m_prefix == aRequest.m_prefix;
    });
  if (found == m_cache.end()) {
    return 0;
  }
  m_cache.splice(m_cache.begin(), m_cache, found);
  return std::min(found->m_tokens, aRequest.m_prefixTokens);
}

void EngineFake::AddToCache(const EngineRequest& aRequest) {
  if (aRequest.m_prefix == 0) {
    return;
  }
  const auto found =
    std::find_if(m_cache.begin(), m_cache.end(), [&aRequest](const CachedPrefix& aCached) {
      return aCached.m_prefix == aRequest.m_prefix;
    });
  if (found != m_cache.end()) {
    m_cachedTokens -= found->m_tokens;
    m_cache.erase(found);
  }
  m_cache.push_front({aRequest.m_prefix, aRequest.m_prefixTokens});
  m_cachedTokens += aRequest.m_prefixTokens;
  m_cacheChanges.push_back({aRequest.m_prefix, aRequest.m_prefixTokens, true});
  while (m_cachedTokens > m_settings.m_cacheTokens && m_cache.size() > 1) {
    const CachedPrefix oldest = m_cache.back();
    m_cachedTokens -= oldest.m_tokens;
    m_cacheChanges.push_back({oldest.m_prefix, oldest.m_tokens, false});
    m_cache.pop_back();
  }
}

} // namespace fennelline
