#include "LibPlatform/EventStreamParser.h"

#include <cstdlib>
#include <string_view>
#include <utility>

namespace fennelline {

namespace {

constexpr std::string_view kIdField = "id: ";
constexpr std::string_view kDataField = "data: ";
constexpr int kDecimal = 10;

} // namespace

std::vector<StreamEvent> EventStreamParser::Feed(const char* aBytes, std::size_t aCount) {
  std::vector<StreamEvent> events;
  for (std::size_t index = 0; index < aCount; ++index) {
    if (aBytes[index] != '\n') {
      m_line += aBytes[index];
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
    if (!m_event.m_data.empty()) {
      aEvents.push_back(std::exchange(m_event, StreamEvent{}));
    }
    return;
  }
  if (aLine.starts_with(kIdField)) {
    m_event.m_number = std::strtoull(aLine.c_str() + kIdField.size(), nullptr, kDecimal);
  } else if (aLine.starts_with(kDataField)) {
    m_event.m_data += aLine.substr(kDataField.size());
  }
}

} // namespace fennelline
