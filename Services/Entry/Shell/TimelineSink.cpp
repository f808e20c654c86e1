#include "Services/Entry/Shell/TimelineSink.h"

#include <spdlog/spdlog.h>

namespace fennelline {

TimelineSink::TimelineSink(const std::string& aProcess)
  : m_recorder(aProcess)
  , m_log(MakeLogger("timeline")) {}

void TimelineSink::OnEvent(const Event& /*aEvent*/, Time /*aNow*/) {}

void TimelineSink::Record(TimelineRecord aRecord, Time aNow) {
  std::string fields;
  for (const std::pair<std::string, std::string>& field : aRecord.m_fields) {
    fields += " " + field.first + "=" + field.second;
  }
  const bool ofRequest = !aRecord.m_request.empty();
  m_log->log(ofRequest ? spdlog::level::debug : spdlog::level::info, "{}{}{}", aRecord.m_name,
             ofRequest ? " request=" + aRecord.m_request : "", fields);
  m_recorder.Record(std::move(aRecord), aNow);
}

} // namespace fennelline
