#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelline {

/// Cuts an event stream into whole events, so that a caller never gets part of one. Events that a
/// caller has already, by their id, are passed over.
class EventFramer {
public:
  /// Events up to this id are passed over.
  explicit EventFramer(std::optional<std::int64_t> aLastEvent = std::nullopt)
    : m_lastEvent(aLastEvent) {}

  /// Takes bytes as they arrived and returns the whole events that they complete, byte for byte.
  std::string Feed(std::string_view aBytes);
  /// Another run goes on: what is left of an event that broke off is dropped.
  void DropPartial() { m_rest.clear(); }
  /// Whether an event has begun and not ended.
  bool HasPartial() const { return !m_rest.empty(); }
  /// The last event passed on.
  std::optional<std::int64_t> LastEvent() const { return m_lastEvent; }
  std::int64_t CountEvents() const { return m_events; }

private:
  std::string m_rest;
  std::optional<std::int64_t> m_lastEvent;
  std::int64_t m_events = 0;
};

} // namespace fennelline
