#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// A server-sent event.
struct StreamEvent {
  std::uint64_t m_number = 0;
  std::string m_data;
};

/// An incremental parser for text/event-stream. Comment lines are skipped.
class EventStreamParser {
public:
  /// Returns the events that these bytes complete.
  std::vector<StreamEvent> Feed(const char* aBytes, std::size_t aCount);

private:
  void TakeLine(const std::string& aLine, std::vector<StreamEvent>& aEvents);

  std::string m_line;
  StreamEvent m_event;
};

} // namespace fennelline
