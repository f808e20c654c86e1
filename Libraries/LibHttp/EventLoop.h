#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibWire/Poller.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelline {

/// What one turn of the loop did.
struct LoopTurn {
  /// From the end of the wait to the end of the last callback.
  Duration m_time{0};
  std::size_t m_descriptors = 0;
  std::size_t m_timers = 0;
  std::size_t m_tasks = 0;
};

enum class LoopWork : std::uint8_t { Waiting, Descriptor, Timer, Task };

constexpr NameTable<LoopWork, 4> kLoopWorkNames = {{
  {LoopWork::Waiting, "waiting"},
  {LoopWork::Descriptor, "descriptor"},
  {LoopWork::Timer, "timer"},
  {LoopWork::Task, "task"},
}};

/// What the loop does now. Other threads may read it.
struct LoopActivity {
  std::atomic<std::uint64_t> m_turn = 0;
  std::atomic<LoopWork> m_work = LoopWork::Waiting;
  /// The descriptor whose callback runs, or ran last.
  std::atomic<int> m_descriptor = -1;
};

/// A single-threaded event loop for file descriptors and timers.
class EventLoop {
public:
  using OnReady = std::function<void(const Readiness&)>;
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;
  static constexpr TimerId kNoTimer = 0;

  Result<void> Open();
  /// Runs until Stop() is called.
  void Run();
  void Stop() { m_stopped = true; }
  /// Runs one iteration, waiting for at most aMaxWait.
  void RunOnce(Duration aMaxWait);

  /// Sets a callback for the end of each turn.
  void SetOnTurn(std::function<void(const LoopTurn&)> aOnTurn) { m_onTurn = std::move(aOnTurn); }
  const LoopActivity& Activity() const { return m_activity; }

  /// The time at which the current iteration began to run callbacks.
  Time Now() const { return m_now; }

  /// Watches a descriptor for reading and returns the identifier of the watch.
  std::uint64_t Watch(int aDescriptor, OnReady aOnReady);
  void SetInterest(std::uint64_t aWatch, bool aReading, bool aWriting);
  void Unwatch(std::uint64_t aWatch);

  TimerId At(Time aWhen, Task aTask);
  TimerId After(Duration aDelay, Task aTask) { return At(m_now + aDelay, std::move(aTask)); }
  /// Runs the task periodically for as long as the loop runs.
  void Every(Duration aInterval, Task aTask);
  void Cancel(TimerId aTimer);
  /// Runs the task at the end of the current iteration.
  void Post(Task aTask) { m_posted.push_back(std::move(aTask)); }

private:
  struct Watched {
    int m_descriptor = 0;
    std::shared_ptr<OnReady> m_onReady;
  };
  using TimerKey = std::pair<Time, TimerId>;

  Duration TimeToNextTimer() const;
  void RunReady(const std::vector<Readiness>& aReady);
  void RunTimers();
  void RunPosted();
  void BeginWork(LoopWork aWork) { m_activity.m_work.store(aWork, std::memory_order_relaxed); }

  SystemClock m_clock;
  Poller m_poller;
  Time m_now = m_clock.Now();
  bool m_stopped = false;
  std::uint64_t m_lastWatch = 0;
  std::unordered_map<std::uint64_t, Watched> m_watched;
  TimerId m_lastTimer = kNoTimer;
  std::map<TimerKey, Task> m_timers;
  std::unordered_map<TimerId, Time> m_timerTimes;
  std::vector<Task> m_posted;
  std::function<void(const LoopTurn&)> m_onTurn;
  LoopActivity m_activity;
  /// The current turn, and when the last one ended.
  LoopTurn m_turn;
  Time m_turnEnded = m_now;
};

} // namespace fennelline
