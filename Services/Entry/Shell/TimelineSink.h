#pragma once

#include "LibBase/Log.h"
#include "LibBase/Time.h"
#include "LibCoordination/TimelineRecord.h"
#include "Services/Entry/Event.h"

namespace fennelline {

/// Takes the time line's records and writes those that people want to see to the log.
class TimelineSink {
public:
  TimelineSink();

  void OnEvent(const Event& aEvent, Time aNow);
  void Record(TimelineRecord aRecord, Time aNow);

private:
  Logger m_log;
};

} // namespace fennelline
