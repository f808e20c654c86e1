#include "LibPlatform/EventStreamParser.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace fennelline {

namespace {

constexpr std::string_view kIdField = "id: ";
constexpr std::string_view kDataField = "data: ";

} // namespace

std::vector<StreamEvent> EventStreamParser::Feed(const char* aBytes, std::size_t aCount) {
  std::vector<StreamEvent> events;
  for (std::size_t index = 0; index < aCount && !m_hasFault; ++index) {
    if (aBytes[index] != '\n') {
      m_line += aBytes[index];
      m_hasFault = m_line.size() + m_event.m_data.size() > kMaxEventBytes;
      continue;
    }
    if (!m_line.empty() && m_line.back() == '\r') {
      m_line.pop_back();
    }
    TakeLine(m_line, events);
    m_line.clear();
  }
  return events;
}

void EventStreamParser::TakeLine(const std::string& aLine, std::vector<StreamEvent>& aEvents) {
  if (aLine.empty()) {
    const bool isEvent = m_event.m_number > m_lastNumber && !m_event.m_data.empty();
    const bool isNothing = m_event.m_number == 0 && m_event.m_data.empty();
    m_hasFault = !isEvent && !isNothing;
    if (isEvent) {
      m_lastNumber = m_event.m_number;
      aEvents.push_back(std::exchange(m_event, StreamEvent{}));
    }
    return;
  }
  if (aLine.starts_with(kIdField)) {
    TakeNumber(aLine.substr(kIdField.size()));
  } else if (aLine.starts_with(kDataField)) {
    m_event.m_data += aLine.substr(kDataField.size());
  } else {
    m_hasFault = !aLine.starts_with(':');
  }
}

void EventStreamParser::TakeNumber(const std::string& aText) {
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), m_event.m_number);
  m_hasFault = parsed.ec != std::errc() || parsed.ptr != aText.data() + aText.size();
}

} // namespace fennelline
