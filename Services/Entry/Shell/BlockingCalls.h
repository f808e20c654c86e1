#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <tbb/concurrent_queue.h>
#include <thread>
#include <vector>

namespace fennelline {

/// A thread pool for blocking calls to backend servers and the platform, so that the reducer never
/// blocks. A thread is started when all others are busy, up to a limit; further calls are queued.
///
/// The threads wait on a oneTBB queue instead of a oneTBB arena: idle arena workers spin for a
/// while after each task, and with hundreds of them that costs more than the calls.
class BlockingCalls {
public:
  explicit BlockingCalls(std::size_t aMaxConcurrent);
  /// Waits for calls in progress.
  ~BlockingCalls();
  BlockingCalls(const BlockingCalls&) = delete;
  BlockingCalls& operator=(const BlockingCalls&) = delete;

  void Run(std::function<void()> aCall);

private:
  void RunThread();

  std::size_t m_maxConcurrent;
  /// An empty function makes one thread exit.
  tbb::concurrent_bounded_queue<std::function<void()>> m_calls;
  /// Number of running and queued calls.
  std::atomic<std::size_t> m_open{0};
  std::mutex m_mutex;
  std::vector<std::thread> m_threads;
};

} // namespace fennelline
