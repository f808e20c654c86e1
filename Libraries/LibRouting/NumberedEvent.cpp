#include "LibRouting/NumberedEvent.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fennelline {

namespace {

/// Removes the first line and returns it without its end.
std::string_view TakeLine(std::string_view& aText) {
  const std::size_t end = std::min(aText.find('\n'), aText.size());
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Digits only: what has a sign or anything else around it was not written as a number.
std::optional<std::int64_t> ParseDigits(std::string_view aText) {
  std::int64_t number = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isNumber = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return isNumber && !aText.starts_with('-') ? std::optional<std::int64_t>(number) : std::nullopt;
}

} // namespace

NumberedEvent NumberedEvent::Parse(std::string_view aText, std::string_view aLeadingField) {
  std::optional<std::int64_t> number;
  bool hasData = false;
  bool isFirstLine = true;
  while (!aText.empty()) {
    std::string_view line = TakeLine(aText);
    if (line.empty()) {
      break;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    const bool isFirst = std::exchange(isFirstLine, false);
    if (name == "id") {
      if (number || ParseDigits(value).value_or(0) == 0) {
        return {.m_number = 0, .m_fault = EventFault::OddNumber};
      }
      number = ParseDigits(value);
      continue;
    }
    const bool isLeading = isFirst && !aLeadingField.empty() && name == aLeadingField;
    // Parsers of event streams take a carriage return for the end of a line.
    const bool isField = line.find('\r') == std::string_view::npos &&
                         (isLeading ? ParseDigits(value).has_value()
                                    : name == "data" || name == "event" || name == "retry");
    if (!isField) {
      return {.m_number = 0, .m_fault = EventFault::OddLine};
    }
    // The number comes first, so a line before it was not written with this event.
    if (!number && !isLeading) {
      return {.m_number = 0, .m_fault = EventFault::OddNumber};
    }
    hasData = hasData || name == "data";
  }
  if (!number) {
    return {.m_number = 0, .m_fault = EventFault::OddNumber};
  }
  return {.m_number = *number,
          .m_fault = hasData ? std::nullopt : std::optional<EventFault>(EventFault::NoData)};
}

bool NumberedEvent::HoldsNothing(std::string_view aText) {
  while (!aText.empty()) {
    const std::string_view line = TakeLine(aText);
    if (!line.empty() && !line.starts_with(':')) {
      return false;
    }
  }
  return true;
}

} // namespace fennelline
