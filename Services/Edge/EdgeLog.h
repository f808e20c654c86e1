#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace fennelline {

/// One structured log line: a JSON object whose first field is the event name.
class LogLine {
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& Text(std::string_view aName, std::string_view aValue);
  LogLine& Flag(std::string_view aName, bool aValue);
  LogLine& Real(std::string_view aName, double aValue);
  LogLine& Ms(std::string_view aName, Duration aValue) {
    return Real(aName, InFractionalMilliseconds(aValue));
  }
  template<typename Number>
  requires std::is_integral_v<Number> LogLine& Count(std::string_view aName, Number aValue) {
    return Raw(aName, std::to_string(aValue));
  }
  const std::string& Fields() const { return m_fields; }

private:
  LogLine& Raw(std::string_view aName, std::string_view aValue);

  std::string m_fields;
};

/// Returns the line as it is written, with its time and node.
std::string FormatLogLine(const LogLine& aLine, std::string_view aNode, Time aNow);

/// Determines which lines are kept when the log exceeds its budget.
enum class LogPriority : std::uint8_t {
  /// Normal operation.
  Routine,
  /// Failures, refusals and changes of the routing state.
  Notable,
};

/// Writes structured lines to a file descriptor without blocking on its reader. Each priority has a
/// budget in bytes per second. Lines over budget, and lines that do not fit into the buffer because
/// the reader is slow, are dropped and counted; the counts are logged.
class EdgeLog {
public:
  EdgeLog(int aDescriptor, std::string aNode);
  ~EdgeLog();
  EdgeLog(const EdgeLog&) = delete;
  EdgeLog& operator=(const EdgeLog&) = delete;

  void Write(LogPriority aPriority, const LogLine& aLine, Time aNow);
  /// Writes buffered lines to the descriptor. Called periodically and at exit.
  void Flush();
  std::uint64_t CountDropped() const { return m_totalDropped; }

private:
  struct Budget {
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
  };
  void Append(const LogLine& aLine, Time aNow);
  void StartSecond(Time aNow);

  int m_descriptor;
  std::string m_node;
  std::string m_buffer;
  Budget m_routine;
  Budget m_notable;
  std::int64_t m_budgetSecond = 0;
  std::uint64_t m_totalDropped = 0;
};

} // namespace fennelline
