#include "LibHttp/EventLoop.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Upper bound for one poll, which also bounds the delay of a timer that the poll missed.
constexpr Duration kMaxPollWait = Seconds(1);

/// Added to the wait because the poller counts whole milliseconds and must not wake before the
/// timer is due.
constexpr Duration kPollResolution = Milliseconds(1);

} // namespace

Result<void> EventLoop::Open() {
  return m_poller.Open();
}

std::uint64_t EventLoop::Watch(int aDescriptor, OnReady aOnReady) {
  const std::uint64_t watch = ++m_lastWatch;
  m_watched[watch] = {.m_descriptor = aDescriptor,
                      .m_onReady = std::make_shared<OnReady>(std::move(aOnReady))};
  m_poller.Add(aDescriptor, watch, false);
  return watch;
}

void EventLoop::SetInterest(std::uint64_t aWatch, bool aReading, bool aWriting) {
  const auto found = m_watched.find(aWatch);
  if (found == m_watched.end()) {
    return;
  }
  if (aReading) {
    m_poller.Change(found->second.m_descriptor, aWatch, aWriting);
  } else {
    m_poller.Pause(found->second.m_descriptor, aWatch, aWriting);
  }
}

void EventLoop::Unwatch(std::uint64_t aWatch) {
  const auto found = m_watched.find(aWatch);
  if (found != m_watched.end()) {
    m_poller.Remove(found->second.m_descriptor);
    m_watched.erase(found);
  }
}

EventLoop::TimerId EventLoop::At(Time aWhen, Task aTask) {
  const TimerId timer = ++m_lastTimer;
  m_timers.emplace(TimerKey(aWhen, timer), std::move(aTask));
  m_timerTimes.emplace(timer, aWhen);
  return timer;
}

void EventLoop::Every(Duration aInterval, Task aTask) {
  After(aInterval, [this, aInterval, task = std::move(aTask)]() mutable {
    task();
    Every(aInterval, std::move(task));
  });
}

void EventLoop::Cancel(TimerId aTimer) {
  const auto found = m_timerTimes.find(aTimer);
  if (found != m_timerTimes.end()) {
    m_timers.erase(TimerKey(found->second, aTimer));
    m_timerTimes.erase(found);
  }
}

Duration EventLoop::TimeToNextTimer() const {
  if (!m_posted.empty()) {
    return Duration(0);
  }
  if (m_timers.empty()) {
    return kMaxPollWait;
  }
  const Duration left = m_timers.begin()->first.first - m_turnEnded;
  if (left <= Duration(0)) {
    return Duration(0);
  }
  return std::min(left + kPollResolution, kMaxPollWait);
}

void EventLoop::RunReady(const std::vector<Readiness>& aReady) {
  BeginWork(LoopWork::Descriptor);
  for (const Readiness& readiness : aReady) {
    const auto found = m_watched.find(readiness.m_token);
    if (found == m_watched.end()) {
      continue;
    }
    ++m_turn.m_descriptors;
    m_activity.m_descriptor.store(found->second.m_descriptor, std::memory_order_relaxed);
    // The callback may unregister its own watch.
    const std::shared_ptr<OnReady> onReady = found->second.m_onReady;
    (*onReady)(readiness);
  }
}

void EventLoop::RunTimers() {
  BeginWork(LoopWork::Timer);
  // A timer that is set now runs in the next turn at the earliest, so that one which sets itself
  // again without a delay does not keep the descriptors waiting.
  const TimerId last = m_lastTimer;
  while (!m_timers.empty() && m_timers.begin()->first.first <= m_now &&
         m_timers.begin()->first.second <= last) {
    const auto due = m_timers.begin();
    Task task = std::move(due->second);
    m_timerTimes.erase(due->first.second);
    m_timers.erase(due);
    ++m_turn.m_timers;
    task();
  }
}

void EventLoop::RunPosted() {
  BeginWork(LoopWork::Task);
  std::vector<Task> posted;
  posted.swap(m_posted);
  for (const Task& task : posted) {
    ++m_turn.m_tasks;
    task();
  }
}

void EventLoop::Run() {
  m_turnEnded = m_clock.Now();
  while (!m_stopped) {
    RunOnce(kMaxPollWait);
  }
}

void EventLoop::RunOnce(Duration aMaxWait) {
  BeginWork(LoopWork::Waiting);
  const std::vector<Readiness> ready = m_poller.Wait(std::min(TimeToNextTimer(), aMaxWait));
  m_now = m_clock.Now();
  m_turn = {};
  m_activity.m_turn.fetch_add(1, std::memory_order_relaxed);
  RunReady(ready);
  RunTimers();
  RunPosted();
  m_turnEnded = m_clock.Now();
  m_turn.m_time = m_turnEnded - m_now;
  if (m_onTurn) {
    m_onTurn(m_turn);
  }
}

} // namespace fennelline
