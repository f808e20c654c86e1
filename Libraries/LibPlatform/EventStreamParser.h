#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// A server-sent event.
struct StreamEvent {
  std::uint64_t m_number = 0;
  std::string m_data;
};

/// An incremental parser for text/event-stream with numbered events. Comment lines are skipped.
class EventStreamParser {
public:
  /// Returns the events that these bytes complete, up to the first fault.
  std::vector<StreamEvent> Feed(const char* aBytes, std::size_t aCount);
  /// Whether bytes have arrived that are no event with a number above the one before it.
  bool HasFault() const { return m_hasFault; }

private:
  /// Longer than any event that an engine sends.
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  void TakeLine(const std::string& aLine, std::vector<StreamEvent>& aEvents);
  void TakeNumber(const std::string& aText);

  std::string m_line;
  StreamEvent m_event;
  std::uint64_t m_lastNumber = 0;
  bool m_hasFault = false;
};

} // namespace fennelline
