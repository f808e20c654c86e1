#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <tbb/concurrent_queue.h>
#include <thread>
#include <vector>

namespace fennelline {

/// Runs calls that block (on backend servers and the platform) on threads of their own, so that
/// the reducer never waits. Threads are started when all others are busy, up to a bound; calls
/// above it wait.
///
/// The threads wait on a oneTBB queue and not in a oneTBB arena: idle workers of an arena spin for
/// a while after each task, and with hundreds of them that costs more than the calls.
class BlockingCalls {
public:
  explicit BlockingCalls(std::size_t aMaxConcurrent);
  /// Waits for the calls that still run.
  ~BlockingCalls();
  BlockingCalls(const BlockingCalls&) = delete;
  BlockingCalls& operator=(const BlockingCalls&) = delete;

  void Run(std::function<void()> aCall);

private:
  void RunThread();

  std::size_t m_maxConcurrent;
  /// An empty function ends one thread.
  tbb::concurrent_bounded_queue<std::function<void()>> m_calls;
  /// Calls that run or wait.
  std::atomic<std::size_t> m_open{0};
  std::mutex m_mutex;
  std::vector<std::thread> m_threads;
};

} // namespace fennelline
