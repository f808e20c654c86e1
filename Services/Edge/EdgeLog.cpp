#include "Services/Edge/EdgeLog.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace fennelline {

namespace {

/// Bytes per second. A node of the target size handles about 50 requests per second, each with two
/// lines of 400 bytes.
constexpr std::size_t kRoutineBytesPerSecond = 120'000;
constexpr std::size_t kNotableBytesPerSecond = 120'000;

/// Limit in bytes for lines that a slow reader has not consumed yet.
constexpr std::size_t kMaxBufferedBytes = 512UL * 1024;

/// Bytes per write(). A pipe that polls as writable accepts this many without blocking (PIPE_BUF).
constexpr std::size_t kBytesPerWrite = 4096;

void AppendEscaped(std::string& aText, std::string_view aValue) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kLastAscii = 0x7e;
  for (const char character : aValue) {
    const unsigned char code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aText += '\\';
      aText += character;
    } else if (code < kFirstPrintable || code > kLastAscii) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04x", code);
      aText += escape.data();
    } else {
      aText += character;
    }
  }
}

} // namespace

LogLine::LogLine(std::string_view aEvent) {
  Text("event", aEvent);
}

LogLine& LogLine::Raw(std::string_view aName, std::string_view aValue) {
  m_fields += ",\"";
  m_fields += aName;
  m_fields += "\":";
  m_fields += aValue;
  return *this;
}

LogLine& LogLine::Text(std::string_view aName, std::string_view aValue) {
  Raw(aName, "\"");
  AppendEscaped(m_fields, aValue);
  m_fields += '"';
  return *this;
}

LogLine& LogLine::Flag(std::string_view aName, bool aValue) {
  return Raw(aName, aValue ? "true" : "false");
}

LogLine& LogLine::Real(std::string_view aName, double aValue) {
  if (!std::isfinite(aValue)) {
    return Raw(aName, "null");
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", aValue);
  return Raw(aName, text.data());
}

EdgeLog::EdgeLog(int aDescriptor, std::string aNode)
  : m_descriptor(aDescriptor)
  , m_node(std::move(aNode)) {}

EdgeLog::~EdgeLog() {
  Flush();
}

std::string FormatLogLine(const LogLine& aLine, std::string_view aNode, Time aNow) {
  const std::int64_t milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch()).count();
  std::string text = "{\"at\":" + std::to_string(milliseconds) + ",\"node\":\"";
  text += aNode;
  text += '"';
  text += aLine.Fields();
  text += "}\n";
  return text;
}

void EdgeLog::Append(const LogLine& aLine, Time aNow) {
  m_buffer += FormatLogLine(aLine, m_node, aNow);
}

void EdgeLog::StartSecond(Time aNow) {
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  if (second == m_budgetSecond) {
    return;
  }
  m_budgetSecond = second;
  const bool hasDropped = m_routine.m_dropped + m_notable.m_dropped > 0;
  if (hasDropped) {
    LogLine line("log-dropped");
    line.Count("routine", m_routine.m_dropped).Count("notable", m_notable.m_dropped);
    Append(line, aNow);
  }
  m_routine = {};
  m_notable = {};
}

void EdgeLog::Write(LogPriority aPriority, const LogLine& aLine, Time aNow) {
  StartSecond(aNow);
  Budget& budget = aPriority == LogPriority::Routine ? m_routine : m_notable;
  const std::size_t maxBytes =
    aPriority == LogPriority::Routine ? kRoutineBytesPerSecond : kNotableBytesPerSecond;
  // Half of the buffer is reserved for notable lines.
  const std::size_t maxBuffered =
    aPriority == LogPriority::Routine ? kMaxBufferedBytes / 2 : kMaxBufferedBytes;
  const std::size_t size = aLine.Fields().size();
  if (budget.m_bytes + size > maxBytes || m_buffer.size() + size > maxBuffered) {
    ++budget.m_dropped;
    ++m_totalDropped;
    return;
  }
  budget.m_bytes += size;
  Append(aLine, aNow);
}

void EdgeLog::Flush() {
  std::size_t done = 0;
  while (done < m_buffer.size()) {
    pollfd writable{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kBytesPerWrite, m_buffer.size() - done);
    const ssize_t count = ::write(m_descriptor, m_buffer.data() + done, size);
    if (count <= 0) {
      break;
    }
    done += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, done);
}

} // namespace fennelline
