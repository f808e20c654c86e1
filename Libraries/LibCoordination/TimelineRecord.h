#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fennelline {

/// One event on the timeline. The recorder adds process, clock and sequence number.
struct TimelineRecord {
  /// A fixed dotted name in lower case, such as "claim.granted" or "request.answered".
  std::string m_name;
  /// The key of the request, or empty.
  std::string m_request;
  /// The session, or empty.
  std::string m_session;
  /// The model version, such as "tagger@3", or empty.
  std::string m_version;
  /// Further fields, in the order in which they are written.
  std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace fennelline
