#include "LibRouting/EventFramer.h"

#include <utility>

namespace fennelline {

namespace {

/// Longer than any event that a server sends.
constexpr std::size_t kMaxEventBytes = 256UL * 1024;
/// Comments and empty lines of a server that keeps its connection alive until the first event.
constexpr std::size_t kMaxEmptyBytes = 16UL * 1024;

} // namespace

void EventFramer::BeginAttempt() {
  m_rest.clear();
  m_line = 0;
  m_held.clear();
  m_emptyBytes = 0;
  m_lastKnown = -1;
  m_hasGoneOn = false;
  m_fault.reset();
}

std::string EventFramer::Feed(std::string_view aBytes) {
  std::size_t searched = m_rest.size();
  m_rest.append(aBytes);
  std::string whole;
  std::size_t begin = 0;
  for (std::size_t end = m_rest.find('\n', searched); end != std::string::npos && !m_fault;
       end = m_rest.find('\n', searched)) {
    searched = end + 1;
    const std::string_view line = std::string_view(m_rest).substr(m_line, end - m_line);
    m_line = searched;
    if (line.empty() || line == "\r") {
      whole += Take(std::string_view(m_rest).substr(begin, searched - begin));
      begin = searched;
    }
  }
  m_rest.erase(0, begin);
  m_line -= begin;
  if (m_rest.size() > kMaxEventBytes) {
    whole += Refuse(EventFault::TooLong);
  }
  return whole;
}

bool EventFramer::IsNext(std::int64_t aNumber) const {
  return aNumber - 1 == m_lastEvent.value_or(0) ||
         (m_events == 0 && m_start.m_otherStart && aNumber - 1 == *m_start.m_otherStart);
}

std::string EventFramer::Refuse(EventFault aFault) {
  m_fault = m_fault.value_or(aFault);
  return {};
}

std::string EventFramer::Accept(std::string_view aText, std::int64_t aNumber) {
  m_events += m_held.empty() ? 1 : 2;
  m_lastEvent = aNumber;
  m_hasGoneOn = true;
  m_lastText = aText;
  std::string events = std::exchange(m_held, {});
  events += aText;
  return events;
}

std::string EventFramer::Take(std::string_view aText) {
  const bool isAtBegin = m_events == 0 && !m_lastEvent && m_held.empty();
  if (isAtBegin && NumberedEvent::HoldsNothing(aText)) {
    m_emptyBytes += aText.size();
    return m_emptyBytes > kMaxEmptyBytes ? Refuse(EventFault::TooLong) : std::string();
  }
  if (!m_start.m_isNumbered) {
    ++m_events;
    return std::string(aText);
  }
  const NumberedEvent event = NumberedEvent::Parse(aText, m_start.m_leadingField);
  if (event.m_fault) {
    return Refuse(*event.m_fault);
  }
  const std::int64_t number = event.m_number;
  if (m_hasGoneOn) {
    if (number <= *m_lastEvent) {
      m_isLastDoubtful = number == *m_lastEvent && aText != m_lastText;
      return Refuse(EventFault::NotAbove);
    }
    return m_isCounted && !IsNext(number) ? Refuse(EventFault::Gap) : Accept(aText, number);
  }
  if (!m_held.empty()) {
    if (number - 1 == m_heldNumber) {
      return Refuse(EventFault::Gap);
    }
    return number > m_heldNumber ? Accept(aText, number) : Refuse(EventFault::NotAbove);
  }
  if (m_lastEvent && number <= *m_lastEvent) {
    const bool rises = number > m_lastKnown;
    m_lastKnown = number;
    return rises ? std::string() : Refuse(EventFault::NotAbove);
  }
  if (IsNext(number)) {
    m_isCounted = m_isCounted || m_events == 0;
    return Accept(aText, number);
  }
  if (m_isCounted) {
    return Refuse(EventFault::Gap);
  }
  m_held = aText;
  m_heldNumber = number;
  return {};
}

} // namespace fennelline
