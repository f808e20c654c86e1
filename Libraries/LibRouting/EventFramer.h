#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelline {

/// Splits an event stream into complete events, so that a caller never receives a partial one.
/// Events that the caller already has, according to their id, are skipped.
class EventFramer {
public:
  /// Events with an id up to aLastEvent are skipped.
  explicit EventFramer(std::optional<std::int64_t> aLastEvent = std::nullopt)
    : m_lastEvent(aLastEvent) {}

  /// Appends received bytes and returns the events they complete, unchanged byte for byte.
  std::string Feed(std::string_view aBytes);
  /// Discards an incomplete event before another attempt resumes the stream.
  void DropPartial() { m_rest.clear(); }
  /// Whether an incomplete event is buffered.
  bool HasPartial() const { return !m_rest.empty(); }
  /// Whether the incomplete event is longer than any that a server sends. More must not be fed
  /// then.
  bool IsOversized() const { return m_rest.size() > kMaxEventBytes; }
  /// The id of the last event that was returned.
  std::optional<std::int64_t> LastEvent() const { return m_lastEvent; }
  std::int64_t CountEvents() const { return m_events; }

private:
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  std::string m_rest;
  std::optional<std::int64_t> m_lastEvent;
  std::int64_t m_events = 0;
};

} // namespace fennelline
