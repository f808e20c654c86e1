#include "Services/Edge/LoopWatch.h"

#include <unistd.h>
#include <utility>

namespace fennelline {

namespace {

/// Timers that are later by this are logged: other entries wait for this one meanwhile.
constexpr Duration kLoggedLoopHold = Milliseconds(250);

} // namespace

LoopWatch::LoopWatch(EventLoop& aLoop, EdgeLog& aLog, EdgeMetrics& aMetrics,
                     LoopWatchSettings aSettings)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_settings(std::move(aSettings)) {}

LoopWatch::~LoopWatch() {
  if (!m_thread.joinable()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isEnding = true;
  }
  m_ended.notify_one();
  m_thread.join();
  m_loop.SetOnTurn({});
}

void LoopWatch::Start() {
  m_lastTimer = m_loop.Now();
  m_loop.SetOnTurn([this](const LoopTurn& aTurn) { OnTurn(aTurn); });
  m_thread = std::thread([this] { WatchForStalls(); });
}

void LoopWatch::OnTimer(Duration aInterval, Time aNow) {
  const Duration held = aNow - std::exchange(m_lastTimer, aNow) - aInterval;
  if (held >= kLoggedLoopHold) {
    m_metrics.OnLoopHeld(held);
    LogLine line("loop-held");
    line.Ms("held", held);
    m_log.Write(LogPriority::Notable, line, aNow);
  }
}

void LoopWatch::OnTurn(const LoopTurn& aTurn) {
  m_metrics.OnLoopTurn(aTurn.m_time);
  if (aTurn.m_time < m_settings.m_loggedTurn) {
    return;
  }
  LogLine line("loop-turn");
  line.Ms("took", aTurn.m_time).Count("descriptors", aTurn.m_descriptors);
  line.Count("timers", aTurn.m_timers).Count("tasks", aTurn.m_tasks);
  line.Count("last-descriptor", m_loop.Activity().m_descriptor.load());
  m_log.Write(LogPriority::Notable, line, m_loop.Now());
}

void LoopWatch::WatchForStalls() {
  const SystemClock clock;
  std::uint64_t turn = 0;
  Time turnSeenAt = clock.Now();
  Time checkedAt = turnSeenAt;
  Duration nextLog = m_settings.m_stallTime;
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_ended.wait_for(lock, m_settings.m_checkInterval, [this] { return m_isEnding; })) {
    const Time now = clock.Now();
    // If this thread did not run either, the process or its machine was suspended.
    const bool wasSuspended =
      now - std::exchange(checkedAt, now) > m_settings.m_checkInterval + m_settings.m_stallTime;
    const std::uint64_t current = m_loop.Activity().m_turn;
    if (current != turn || wasSuspended) {
      turn = current;
      turnSeenAt = now;
      nextLog = m_settings.m_stallTime;
    } else if (now - turnSeenAt >= nextLog) {
      LogStall(now - turnSeenAt, now);
      nextLog *= 2;
    }
  }
}

void LoopWatch::LogStall(Duration aTime, Time aNow) const {
  const LoopActivity& activity = m_loop.Activity();
  LogLine line("loop-stalled");
  line.Ms("for", aTime).Text("work", NameOf(kLoopWorkNames, activity.m_work.load()));
  line.Count("descriptor", activity.m_descriptor.load());
  const std::string text = FormatLogLine(line, m_settings.m_node, aNow);
  // The log belongs to the thread that stands still.
  static_cast<void>(::write(m_settings.m_descriptor, text.data(), text.size()) > 0);
}

} // namespace fennelline
