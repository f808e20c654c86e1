#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fennelline {

/// One thing that happened, as the time line keeps it. The recorder adds process, clock and number.
struct TimelineRecord {
  /// A fixed name in lower case with dots, such as "claim.granted" or "request.answered".
  std::string m_name;
  /// The request's key, or empty.
  std::string m_request;
  /// The session, or empty.
  std::string m_session;
  /// The model version, such as "tagger@3", or empty.
  std::string m_version;
  /// Further fields, in the order of writing.
  std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace fennelline
