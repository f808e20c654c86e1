#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "Utilities/StandinEngine/PrefixCache.h"
#include "Utilities/StandinEngine/Stream.h"
#include "Utilities/StandinSupport/Journal.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace fennelline {

struct EngineOptions {
  std::set<std::string> m_versions;
  std::int64_t m_slots = 8;
  std::int64_t m_maxQueued = 64;
  /// Decoding speed of a stream that runs alone.
  double m_tokensPerSecond = 200.0;
  /// Prefill speed.
  double m_promptTokensPerSecond = 20'000.0;
  /// The slowdown factor of each stream when all slots are occupied.
  double m_fullBatchSlowdown = 1.5;
  std::size_t m_cacheBlocks = 4096;
  Duration m_cacheLag = Milliseconds(200);
  Duration m_loadLag = Milliseconds(100);
  Duration m_loadTime = Milliseconds(100);
  std::string m_platformAddress;
  bool m_checksFence = true;
  std::uint64_t m_seed = 1;
};

struct EngineSwitches {
  /// The fraction of bad answers by version.
  std::map<std::string, double> m_badRate;
  /// The relative decoding speed by version; 1 if missing.
  std::map<std::string, double> m_pace;
  /// A prompt that contains this text ends the process when its stream starts to run.
  std::string m_crashMarker;
  bool m_leaving = false;
  /// Connections stay open but no more data is sent on them.
  bool m_silent = false;
  bool m_refuse = false;
};

/// The load report served by GET /load.
struct EngineReport {
  Time m_at;
  std::int64_t m_running = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  bool m_leaving = false;
};

struct ChatRequest {
  std::string m_attempt;
  std::string m_version;
  std::string m_prompt;
  std::string m_body;
  std::int64_t m_maxTokens = 0;
  int m_priority = 0;
};

enum class SubmitStatus { Accepted, VersionNotLoaded, Refused, KnownAttempt };

/// Simulates a model engine with continuous batching: every step produces tokens for each running
/// stream, and a free slot goes to the queued stream with the highest priority. The member
/// functions are thread-safe unless stated otherwise; m_mutex must be held to read streams.
class Engine {
public:
  explicit Engine(EngineOptions aOptions);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  SubmitStatus Submit(const ChatRequest& aRequest, std::shared_ptr<Stream>& aStream);
  std::shared_ptr<Stream> Find(const std::string& aAttempt);
  bool Cancel(const std::string& aAttempt);
  EngineReport Report();
  CacheChanges CacheChangesAfter(std::uint64_t aNumber, Duration aWait);
  /// Drops cache changes that are not visible yet. The caller holds m_mutex.
  void DropPendingChanges() { m_cache.DropPendingChanges(m_clock.Now()); }
  /// Wakes all waiting threads and ends their waits.
  void Stop();
  const EngineOptions& Options() const { return m_options; }

  std::mutex m_mutex;
  /// Notified after each step and each switch change.
  std::condition_variable m_changed;
  SystemClock m_clock;
  EngineSwitches m_switches;
  std::set<std::string> m_versions;
  std::uint64_t m_highestFence = 0;
  bool m_checksFence = true;
  bool m_stopping = false;
  Journal m_journal{"version"};

private:
  void RunSteps();
  void Step(Time aNow, Duration aElapsed);
  void StartQueued(Time aNow);
  void Start(Stream& aStream, Time aNow);
  void Advance(Stream& aStream, Time aNow, double aTokens);
  void RemoveExpiredStreams(Time aNow);
  EngineReport ReportNow(Time aNow) const;
  double StreamPace() const;

  EngineOptions m_options;
  Random m_random;
  PrefixCache m_cache;
  std::map<std::string, std::shared_ptr<Stream>> m_streams;
  std::vector<std::shared_ptr<Stream>> m_running;
  std::vector<std::shared_ptr<Stream>> m_queued;
  std::deque<EngineReport> m_reports;
  std::uint64_t m_arrivals = 0;
  std::thread m_stepThread;
};

} // namespace fennelline
