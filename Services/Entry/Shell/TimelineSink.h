#pragma once

#include "LibBase/Log.h"
#include "LibBase/Time.h"
#include "LibTimeline/TimelineRecorder.h"
#include "Services/Entry/Event.h"

#include <string>

namespace fennelline {

/// Stores timeline records for operators and logs those that do not concern a single request.
class TimelineSink {
public:
  explicit TimelineSink(const std::string& aProcess);

  void OnEvent(const Event& aEvent, Time aNow);
  void Record(TimelineRecord aRecord, Time aNow);
  /// The hybrid logical clock of this process.
  std::uint64_t ReadClock(Time aNow) { return m_recorder.ReadClock(aNow); }
  void Observe(std::uint64_t aRemote, Time aNow) { m_recorder.Observe(aRemote, aNow); }
  const TimelineRecorder& Recorder() const { return m_recorder; }

private:
  TimelineRecorder m_recorder;
  Logger m_log;
};

} // namespace fennelline
