#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// One part of a prompt. Requests share parts; the last one is the request's or session's own.
struct PromptPart {
  std::uint64_t m_id = 0;
  std::int64_t m_tokens = 0;
};

/// What a caller's request says of itself.
struct RequestMetadata {
  std::string m_requestId;
  std::string m_session;
  std::string m_key;
  /// How long the caller waits from now; none where it does not say.
  std::optional<Duration> m_callerTimeout;
  /// The caller goes on with a stream after this event.
  std::optional<std::int64_t> m_lastEvent;
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_mostOutputTokens = 0;
  std::vector<PromptPart> m_promptParts;
};

/// What the router tells a backend server of a request, beside the caller's own headers.
struct ForwardMetadata {
  Duration m_timeLeft{0};
  std::string m_replica;
  std::string m_account;
  /// Empty where the caller's stays.
  std::string m_model;
  std::optional<std::int64_t> m_lastEvent;
  /// 0 is first, 9 last; none where the server's default holds.
  std::optional<int> m_priority;
};

/// What a backend server's answer says of itself.
struct ResponseMetadata {
  std::string m_requestId;
  bool m_hasSeal = false;
  /// The server says that it did not run the request.
  bool m_notRun = false;
  bool m_isEventStream = false;
  /// The body is not as the server made it.
  bool m_isEncoded = false;
  /// The model's own rough opinion of its answer, 0 to 100.
  std::optional<int> m_confidence;
  /// Who answered, where that is told.
  std::string m_replica;
};

} // namespace fennelline
