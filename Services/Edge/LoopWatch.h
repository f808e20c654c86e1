#pragma once

#include "LibHttp/EventLoop.h"
#include "Services/Edge/EdgeLog.h"
#include "Services/Edge/EdgeMetrics.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace fennelline {

struct LoopWatchSettings {
  /// Turns of the loop that take longer are logged.
  Duration m_loggedTurn = Milliseconds(100);
  /// How often a thread of its own looks whether the loop goes on.
  Duration m_checkInterval = Seconds(1);
  /// A turn that has taken this long is logged while it lasts, by that thread.
  Duration m_stallTime = Seconds(2);
  /// Where that thread writes its lines, and the node that they name.
  int m_descriptor = 1;
  std::string m_node;
};

/// Shows when the event loop spins or stands still: all connections wait for it meanwhile.
class LoopWatch {
public:
  LoopWatch(EventLoop& aLoop, EdgeLog& aLog, EdgeMetrics& aMetrics, LoopWatchSettings aSettings);
  ~LoopWatch();
  LoopWatch(const LoopWatch&) = delete;
  LoopWatch& operator=(const LoopWatch&) = delete;

  void Start();
  /// Called by a timer; aInterval: how often it is due.
  void OnTimer(Duration aInterval, Time aNow);

private:
  void OnTurn(const LoopTurn& aTurn);
  void WatchForStalls();
  void LogStall(Duration aTime, Time aNow) const;

  EventLoop& m_loop;
  EdgeLog& m_log;
  EdgeMetrics& m_metrics;
  LoopWatchSettings m_settings;
  Time m_lastTimer{};
  std::mutex m_mutex;
  std::condition_variable m_ended;
  bool m_isEnding = false;
  std::thread m_thread;
};

} // namespace fennelline
