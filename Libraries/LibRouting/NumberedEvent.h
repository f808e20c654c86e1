#pragma once

#include "LibBase/NameTable.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fennelline {

/// Why received bytes are no event that a server's run made, or not the one that is due.
enum class EventFault : std::uint8_t {
  /// A line that is no field of an event.
  OddLine,
  /// No number of its own: none, several, or something else.
  OddNumber,
  NoData,
  /// Its number is not above that of the event before it.
  NotAbove,
  /// Events before it are missing.
  Gap,
  /// Longer than any event, or comments and empty lines only.
  TooLong,
};

constexpr NameTable<EventFault, 6> kEventFaultNames = {{
  {EventFault::OddLine, "odd-line"},
  {EventFault::OddNumber, "odd-number"},
  {EventFault::NoData, "no-data"},
  {EventFault::NotAbove, "not-above"},
  {EventFault::Gap, "gap"},
  {EventFault::TooLong, "too-long"},
}};

/// An event of a stream as its server writes it. Its first field is its number, the id,
/// which is at least 1 and rises within a stream.
struct NumberedEvent {
  std::int64_t m_number = 0;
  /// Why these bytes are no event; m_number does not count then.
  std::optional<EventFault> m_fault;

  /// aText: lines up to and with the empty one that ends the event. aLeadingField: the name of a
  /// field with a number that the first line may hold; may be empty.
  static NumberedEvent Parse(std::string_view aText, std::string_view aLeadingField);
  /// Whether all lines are empty or comments.
  static bool HoldsNothing(std::string_view aText);
};

} // namespace fennelline
