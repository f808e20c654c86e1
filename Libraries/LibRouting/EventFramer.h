#pragma once

#include "LibRouting/StreamEvent.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelline {

/// Splits an event stream into complete events, so that a caller never receives a partial one. An
/// attempt that resumes a stream may begin with events that the caller already has; they are
/// skipped according to their id. Otherwise all events of an attempt are passed on, whatever ids
/// they have.
///
/// Comments and empty lines before the first event are left out: a server that sends nothing else
/// has not begun. Servers number the events of a stream. After one with an id, an event without is
/// not of this stream: it may be the error of another server that was to go on with it.
class EventFramer {
public:
  /// aLastEvent: the last event that the caller has.
  explicit EventFramer(std::optional<std::int64_t> aLastEvent = std::nullopt)
    : m_lastEvent(aLastEvent)
    , m_resumesAfter(aLastEvent) {}

  /// Appends received bytes and returns the events they complete, unchanged byte for byte.
  std::string Feed(std::string_view aBytes);
  /// Discards what is not a complete event of the stream, before another attempt resumes it.
  void DropPartial() {
    m_rest.clear();
    m_resumesAfter = m_lastEvent;
    m_hasForeignEvent = false;
    m_fault.reset();
  }
  /// Whether an event has arrived that is not of this stream. More must not be fed then.
  bool HasForeignEvent() const { return m_hasForeignEvent; }
  /// Why the first event of the attempt that is not what a server numbers as the next one is not;
  /// for the log.
  std::optional<EventFault> Fault() const { return m_fault; }
  /// Whether an incomplete event is buffered.
  bool HasPartial() const { return !m_rest.empty(); }
  /// Whether the incomplete event is longer than any that a server sends. More must not be fed
  /// then.
  bool IsOversized() const { return m_rest.size() > kMaxEventBytes; }
  /// The id of the last event that was returned.
  std::optional<std::int64_t> LastEvent() const { return m_lastEvent; }
  std::int64_t CountEvents() const { return m_events; }

private:
  std::optional<EventFault> FindFault(std::string_view aEvent) const;

  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  std::string m_rest;
  std::optional<std::int64_t> m_lastEvent;
  /// Until the attempt has gone on, events up to this one are skipped.
  std::optional<std::int64_t> m_resumesAfter;
  std::int64_t m_events = 0;
  bool m_hasForeignEvent = false;
  std::optional<EventFault> m_fault;
};

} // namespace fennelline
