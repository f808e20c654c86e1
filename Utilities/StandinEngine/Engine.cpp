#include "Utilities/StandinEngine/Engine.h"

#include <algorithm>
#include <cstdlib>

namespace fennelline {

namespace {

constexpr Duration kStepInterval = Milliseconds(5);
/// How long an ended stream stays available for resumption.
constexpr Duration kEndedStreamRetention = Seconds(10);
constexpr int kCrashExitCode = 134;

double ValueOr(const std::map<std::string, double>& aValues, const std::string& aName,
               double aDefault) {
  const auto found = aValues.find(aName);
  return found == aValues.end() ? aDefault : found->second;
}

bool StartsBefore(const std::shared_ptr<Stream>& aLeft, const std::shared_ptr<Stream>& aRight) {
  if (aLeft->m_priority != aRight->m_priority) {
    return aLeft->m_priority > aRight->m_priority;
  }
  return aLeft->m_arrival < aRight->m_arrival;
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : m_versions(aOptions.m_versions)
  , m_checksFence(aOptions.m_checksFence)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_cache(m_options.m_cacheBlocks, m_options.m_cacheLag)
  , m_stepThread([this] { RunSteps(); }) {}

Engine::~Engine() {
  Stop();
  m_stepThread.join();
}

void Engine::Stop() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stopping = true;
  m_changed.notify_all();
}

SubmitStatus Engine::Submit(const ChatRequest& aRequest, std::shared_ptr<Stream>& aStream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!m_versions.contains(aRequest.m_version)) {
    return SubmitStatus::VersionNotLoaded;
  }
  const bool isFull = static_cast<std::int64_t>(m_queued.size()) >= m_options.m_maxQueued;
  if (isFull || m_switches.m_refuse || m_stopping) {
    m_journal.Add(aRequest.m_attempt, aRequest.m_version, aRequest.m_body, "refused");
    return SubmitStatus::Refused;
  }
  if (m_streams.contains(aRequest.m_attempt)) {
    return SubmitStatus::KnownAttempt;
  }
  const bool isBad = m_random.Chance(ValueOr(m_switches.m_badRate, aRequest.m_version, 0.0));
  aStream = std::make_shared<Stream>();
  aStream->m_attempt = aRequest.m_attempt;
  aStream->m_version = aRequest.m_version;
  aStream->m_prompt = aRequest.m_prompt;
  aStream->m_promptTokens = CountTokens(aRequest.m_prompt);
  aStream->m_priority = aRequest.m_priority;
  aStream->m_arrival = ++m_arrivals;
  aStream->m_script = MakeScript(aRequest.m_prompt, aRequest.m_maxTokens, isBad);
  aStream->m_journalRun =
    m_journal.Add(aRequest.m_attempt, aRequest.m_version, aRequest.m_body, "queued");
  m_streams[aRequest.m_attempt] = aStream;
  m_queued.push_back(aStream);
  StartQueued(m_clock.Now());
  return SubmitStatus::Accepted;
}

std::shared_ptr<Stream> Engine::Find(const std::string& aAttempt) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_streams.find(aAttempt);
  return found == m_streams.end() ? nullptr : found->second;
}

bool Engine::Cancel(const std::string& aAttempt) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_streams.find(aAttempt);
  if (found == m_streams.end()) {
    return false;
  }
  const std::shared_ptr<Stream> stream = found->second;
  if (stream->HasEnded()) {
    return true;
  }
  stream->m_state = StreamState::Cancelled;
  stream->m_endedAt = m_clock.Now();
  m_journal.SetState(stream->m_journalRun, "cancelled");
  std::erase(m_queued, stream);
  std::erase(m_running, stream);
  m_changed.notify_all();
  return true;
}

void Engine::RunSteps() {
  std::unique_lock<std::mutex> lock(m_mutex);
  Time last = m_clock.Now();
  bool isIdle = false;
  // A stopping engine continues until all streams have ended, so that none in flight is cut off.
  while (!m_stopping || !m_running.empty() || !m_queued.empty()) {
    m_changed.wait_for(lock, kStepInterval);
    const Time now = m_clock.Now();
    const bool isDue = now - last >= kStepInterval;
    if (!isDue) {
      continue;
    }
    Step(now, now - last);
    last = now;
    if (!isIdle || !m_running.empty()) {
      m_changed.notify_all();
    }
    isIdle = m_running.empty();
  }
  m_changed.notify_all();
}

void Engine::Step(Time aNow, Duration aElapsed) {
  const double tokens = InSeconds(aElapsed) * StreamPace();
  const std::vector<std::shared_ptr<Stream>> running = m_running;
  for (const std::shared_ptr<Stream>& stream : running) {
    Advance(*stream, aNow, tokens * ValueOr(m_switches.m_pace, stream->m_version, 1.0));
  }
  std::erase_if(m_running,
                [](const std::shared_ptr<Stream>& aStream) { return aStream->HasEnded(); });
  StartQueued(aNow);
  RemoveExpiredStreams(aNow);
  m_reports.push_back(ReportNow(aNow));
  while (m_reports.size() > 1 && m_reports[1].m_at + m_options.m_loadLag <= aNow) {
    m_reports.pop_front();
  }
}

double Engine::StreamPace() const {
  const double others = static_cast<double>(std::max<std::size_t>(m_running.size(), 1) - 1);
  const double occupancy =
    others / static_cast<double>(std::max<std::int64_t>(1, m_options.m_slots));
  return m_options.m_tokensPerSecond / (1.0 + occupancy * (m_options.m_fullBatchSlowdown - 1.0));
}

void Engine::StartQueued(Time aNow) {
  std::sort(m_queued.begin(), m_queued.end(), StartsBefore);
  while (!m_queued.empty() && static_cast<std::int64_t>(m_running.size()) < m_options.m_slots) {
    const std::shared_ptr<Stream> stream = m_queued.front();
    m_queued.erase(m_queued.begin());
    m_running.push_back(stream);
    Start(*stream, aNow);
  }
}

void Engine::Start(Stream& aStream, Time aNow) {
  const std::string& marker = m_switches.m_crashMarker;
  if (!marker.empty() && aStream.m_prompt.find(marker) != std::string::npos) {
    std::_Exit(kCrashExitCode);
  }
  const std::vector<std::uint64_t> hashes = BlockHashes(aStream.m_prompt);
  const std::size_t cached = m_cache.Use(hashes, aNow);
  const double cachedShare =
    hashes.empty() ? 0.0 : static_cast<double>(cached) / static_cast<double>(hashes.size());
  const double uncachedTokens = static_cast<double>(aStream.m_promptTokens) * (1.0 - cachedShare);
  const std::chrono::duration<double> prefill(uncachedTokens / m_options.m_promptTokensPerSecond);
  aStream.m_state = StreamState::Running;
  aStream.m_prefillEndsAt = aNow + std::chrono::duration_cast<Duration>(prefill);
  m_journal.SetState(aStream.m_journalRun, "running");
}

void Engine::Advance(Stream& aStream, Time aNow, double aTokens) {
  if (aNow < aStream.m_prefillEndsAt) {
    return;
  }
  // The first token is produced when the prefill ends.
  aStream.m_tokenCredit += aStream.m_done == 0 ? std::max(aTokens, 1.0) : aTokens;
  const std::int64_t whole = static_cast<std::int64_t>(aStream.m_tokenCredit);
  const std::int64_t count = std::min(whole, aStream.m_script.m_tokens - aStream.m_done);
  if (count > 0) {
    aStream.m_tokenCredit -= static_cast<double>(count);
    aStream.m_done += count;
    aStream.m_eventEnds.push_back(aStream.m_done);
  }
  if (aStream.m_done == aStream.m_script.m_tokens) {
    aStream.m_state = StreamState::Finished;
    aStream.m_endedAt = aNow;
    m_journal.SetState(aStream.m_journalRun, "finished");
  }
}

void Engine::RemoveExpiredStreams(Time aNow) {
  std::erase_if(m_streams, [aNow](const auto& aEntry) {
    return aEntry.second->HasEnded() && aEntry.second->m_endedAt + kEndedStreamRetention < aNow;
  });
}

EngineReport Engine::ReportNow(Time aNow) const {
  EngineReport report{.m_at = aNow, .m_leaving = m_switches.m_leaving};
  report.m_running = static_cast<std::int64_t>(m_running.size());
  report.m_queued = static_cast<std::int64_t>(m_queued.size());
  for (const std::shared_ptr<Stream>& stream : m_queued) {
    report.m_queuedTokens += stream->m_promptTokens + stream->m_script.m_tokens;
  }
  report.m_tokensPerSecond = StreamPace();
  return report;
}

EngineReport Engine::Report() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  EngineReport report = m_reports.empty() ? ReportNow(m_clock.Now()) : m_reports.front();
  // Leaving is a switch, not a measurement, so it is reported without lag.
  report.m_leaving = m_switches.m_leaving;
  return report;
}

CacheChanges Engine::CacheChangesAfter(std::uint64_t aNumber, Duration aWait) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const Time end = m_clock.Now() + aWait;
  CacheChanges changes = m_cache.ChangesAfter(aNumber, m_clock.Now());
  while (changes.m_next == aNumber && m_clock.Now() < end && !m_stopping) {
    m_changed.wait_for(lock, kStepInterval);
    changes = m_cache.ChangesAfter(aNumber, m_clock.Now());
  }
  return changes;
}

} // namespace fennelline
