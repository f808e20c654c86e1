#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace fennelline {

/// One structured log line: a JSON object that begins with its event's name.
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

/// Which lines go first when there are more than the budget allows.
enum class LogPriority : std::uint8_t {
  /// What went as it should.
  Routine,
  /// Failures, refusals and changes of what the process believes.
  Notable,
};

/// Writes structured lines to a descriptor without ever waiting for its reader. Each rank has its
/// budget of bytes a second; lines beyond it, and lines that the reader does not take in time, are
/// dropped and counted, and the counts are logged.
class EdgeLog {
public:
  EdgeLog(int aDescriptor, std::string aNode);
  ~EdgeLog();
  EdgeLog(const EdgeLog&) = delete;
  EdgeLog& operator=(const EdgeLog&) = delete;

  void Write(LogPriority aRank, const LogLine& aLine, Time aNow);
  /// Hands buffered lines to the descriptor; called every few milliseconds and at the end.
  void Flush();
  std::uint64_t CountDropped() const { return m_droppedInAll; }

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
  std::int64_t m_second = 0;
  std::uint64_t m_droppedInAll = 0;
};

} // namespace fennelline
