#pragma once

#include "LibRouting/NumberedEvent.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelline {

/// What is known of a stream before its first byte.
struct StreamStart {
  /// The last event that the caller has; the stream goes on after it.
  std::optional<std::int64_t> m_after;
  /// Another number that its first event may follow on.
  std::optional<std::int64_t> m_otherStart;
  /// Whether its server numbers the events. If not, they are only kept whole.
  bool m_isNumbered = true;
  /// See NumberedEvent::Parse().
  std::string_view m_leadingField;
};

/// Splits an event stream into complete events and checks each, so that a caller never receives a
/// partial event or bytes that are no event of the stream. Several attempts may feed it, one after
/// the other.
///
/// Events are numbered from 1, or on from the event that the caller has. The first event of an
/// attempt that has another number is held back until the next one: numbers that rise from there in
/// steps are taken for the server's own way of counting. One that follows on it by one shows that
/// events before it are missing, and a lower one that one of the two is spoilt.
///
/// Events that the caller already has, at the beginning of an attempt that resumes a stream, are
/// left out, and so are comments and empty lines before its first event.
class EventFramer {
public:
  explicit EventFramer(StreamStart aStart = {})
    : m_start(aStart)
    , m_lastEvent(aStart.m_after) {}

  /// Appends received bytes and returns the events they complete, unchanged byte for byte. Must not
  /// be called after a fault.
  std::string Feed(std::string_view aBytes);
  /// Why the bytes received last are no event of the stream. Nothing from them on is returned.
  std::optional<EventFault> Fault() const { return m_fault; }
  /// Whether no other server can be told where to go on: events were returned that have no numbers,
  /// or of which the last may be the one that is spoilt.
  bool IsPlaceUnknown() const {
    const bool mayLastBeSpoilt =
      m_fault == EventFault::NotAbove && m_hasGoneOn && (!m_isCounted || m_isLastDoubtful);
    return mayLastBeSpoilt || (!m_start.m_isNumbered && m_events > 0);
  }
  /// Discards what is not a complete event of the stream, before another attempt resumes it.
  void BeginAttempt();
  /// Whether an attempt that ends here would end within an event, with one that was held back, or
  /// before the last one that the caller has.
  bool HasPartial() const {
    const bool endsBefore =
      !m_hasGoneOn && m_lastKnown >= 0 && m_lastKnown < m_lastEvent.value_or(0);
    return !m_rest.empty() || !m_held.empty() || endsBefore;
  }
  /// The number of the last event that was returned.
  std::optional<std::int64_t> LastEvent() const { return m_lastEvent; }
  std::int64_t CountEvents() const { return m_events; }

private:
  /// Takes one complete event and returns the events that can be passed on now.
  std::string Take(std::string_view aText);
  std::string Accept(std::string_view aText, std::int64_t aNumber);
  std::string Refuse(EventFault aFault);
  bool IsNext(std::int64_t aNumber) const;

  StreamStart m_start;
  /// Bytes of events that are not complete, and where the first line among them begins whose end
  /// was not found yet.
  std::string m_rest;
  std::size_t m_line = 0;
  /// The event that is held back, and its number.
  std::string m_held;
  std::int64_t m_heldNumber = 0;
  std::optional<std::int64_t> m_lastEvent;
  std::string m_lastText;
  /// Another event came with the number of the last one.
  bool m_isLastDoubtful = false;
  std::int64_t m_events = 0;
  /// Comments and empty lines before the first event.
  std::size_t m_emptyBytes = 0;
  /// The last event of the attempt that the caller had before.
  std::int64_t m_lastKnown = -1;
  /// The attempt has gone on after the last event.
  bool m_hasGoneOn = false;
  /// The numbers of the stream rise by one.
  bool m_isCounted = false;
  std::optional<EventFault> m_fault;
};

} // namespace fennelline
