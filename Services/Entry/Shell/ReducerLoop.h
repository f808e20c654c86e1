#pragma once

#include "Services/Entry/Shell/EventQueue.h"

#include <atomic>
#include <concepts>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace fennelline {

/// Carries out effects. Called on the reducer's thread, so it must not block.
template<typename Runner>
concept IsEffectRunner = requires(Runner aRunner, EntryEffect aEffect, const EntryReducer& aReducer,
                                  const Event& aEvent, Time aNow) {
  aRunner.OnEvent(aEvent, aNow);
  aRunner.Run(std::move(aEffect), aReducer, aNow);
};

/// The reducer's thread: processes events in order and passes the effects to the runner.
template<IsEffectRunner Runner, typename Clock>
class ReducerLoop {
public:
  ReducerLoop(EventQueue& aQueue, EntryReducer& aReducer, Runner& aRunner, const Clock& aClock)
    : m_queue(aQueue)
    , m_reducer(aReducer)
    , m_runner(aRunner)
    , m_clock(aClock) {}
  ~ReducerLoop() { Stop(); }
  ReducerLoop(const ReducerLoop&) = delete;
  ReducerLoop& operator=(const ReducerLoop&) = delete;

  void Start() {
    m_thread = std::thread([this]() { RunEvents(); });
    m_ticker = std::thread([this]() { RunTicks(); });
  }

  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stop = true;
    }
    m_wake.notify_all();
    if (m_ticker.joinable()) {
      m_ticker.join();
    }
    if (m_thread.joinable()) {
      m_queue.Post(Tick{});
      m_thread.join();
    }
  }

private:
  bool IsStopped() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stop;
  }

  void RunEvents() {
    while (!IsStopped()) {
      EventQueue::Item item = m_queue.Pop();
      const Time now = m_clock.Now();
      if (const StateQuery* query = std::get_if<StateQuery>(&item)) {
        (*query)(m_reducer, now);
        continue;
      }
      const Event& event = std::get<Event>(item);
      m_runner.OnEvent(event, now);
      for (EntryEffect& effect : m_reducer.Reduce(event, now)) {
        m_runner.Run(std::move(effect), m_reducer, now);
      }
      m_busy.store(m_reducer.Requests().OpenCount() > 0, std::memory_order_relaxed);
    }
  }

  /// Short ticks are only needed while requests are open.
  Duration TickInterval() const {
    return m_busy.load(std::memory_order_relaxed) ? kTickInterval : kIdleTickInterval;
  }

  void RunTicks() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_wake.wait_for(lock, TickInterval(), [this]() { return m_stop; })) {
      m_queue.Post(Tick{});
    }
  }

  EventQueue& m_queue;
  EntryReducer& m_reducer;
  Runner& m_runner;
  const Clock& m_clock;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::atomic<bool> m_busy{false};
  std::thread m_thread;
  std::thread m_ticker;
};

} // namespace fennelline
