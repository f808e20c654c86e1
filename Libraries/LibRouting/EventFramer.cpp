#include "LibRouting/EventFramer.h"

#include <algorithm>
#include <charconv>

namespace fennelline {

namespace {

/// Returns the position after the empty line that ends the first event, or npos if it is
/// incomplete.
std::size_t FindEnd(std::string_view aText, std::size_t aFrom) {
  const std::size_t plain = aText.find("\n\n", aFrom);
  const std::size_t withReturns = aText.find("\n\r\n", aFrom);
  constexpr std::size_t kPlainLength = 2;
  constexpr std::size_t kReturnsLength = 3;
  if (plain == std::string_view::npos && withReturns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < withReturns ? plain + kPlainLength : withReturns + kReturnsLength;
}

std::optional<std::int64_t> ParseId(std::string_view aEvent) {
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const std::size_t lineEnd = std::min(aEvent.find('\n'), aEvent.size() - 1);
    std::string_view line = aEvent.substr(0, lineEnd);
    aEvent.remove_prefix(lineEnd + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(std::min(line.find_first_not_of(' ', kField.size()), line.size()));
    std::int64_t id = 0;
    const std::from_chars_result parsed =
      std::from_chars(line.data(), line.data() + line.size(), id);
    return parsed.ec == std::errc() ? std::optional<std::int64_t>(id) : std::nullopt;
  }
  return std::nullopt;
}

/// Whether all lines are empty or comments.
bool HoldsNothing(std::string_view aEvent) {
  while (!aEvent.empty()) {
    if (aEvent.find_first_of(":\r\n") != 0) {
      return false;
    }
    aEvent.remove_prefix(std::min(aEvent.find('\n'), aEvent.size() - 1) + 1);
  }
  return true;
}

} // namespace

std::optional<EventFault> EventFramer::FindFault(std::string_view aEvent) const {
  const StreamEvent event = StreamEvent::Parse(aEvent, {});
  if (event.m_fault || !m_lastEvent) {
    return event.m_fault;
  }
  if (!m_resumesAfter && event.m_number <= *m_lastEvent) {
    return EventFault::NotAbove;
  }
  return event.m_number > *m_lastEvent + 1 ? std::optional<EventFault>(EventFault::Gap)
                                           : std::nullopt;
}

std::string EventFramer::Feed(std::string_view aBytes) {
  // The terminator of an event may span the buffered and the new bytes.
  constexpr std::size_t kOverlap = 2;
  std::size_t from = m_rest.size() - std::min(m_rest.size(), kOverlap);
  m_rest.append(aBytes);
  const std::string_view text = m_rest;
  std::string whole;
  std::size_t begin = 0;
  for (std::size_t end = FindEnd(text, from); end != std::string_view::npos;
       end = FindEnd(text, begin)) {
    const std::string_view event = text.substr(begin, end - begin);
    const std::optional<std::int64_t> id = ParseId(event);
    m_fault = m_fault ? m_fault : FindFault(event);
    if (!id && m_lastEvent) {
      m_hasForeignEvent = true;
      break;
    }
    const bool isKnown = id && m_resumesAfter && *id <= *m_resumesAfter;
    if (!isKnown && !HoldsNothing(event)) {
      whole.append(event);
      ++m_events;
      m_lastEvent = id ? id : m_lastEvent;
      m_resumesAfter.reset();
    }
    begin = end;
  }
  m_rest.erase(0, begin);
  return whole;
}

} // namespace fennelline
