#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// One part of a prompt. Requests may share parts; the last part is specific to the request or
/// session.
struct PromptPart {
  std::uint64_t m_id = 0;
  std::int64_t m_tokens = 0;
};

/// Metadata of a caller's request.
struct RequestMetadata {
  std::string m_requestId;
  std::string m_session;
  std::string m_key;
  /// How long the caller waits from now; none if it does not say.
  std::optional<Duration> m_callerTimeout;
  /// The caller resumes a stream after this event.
  std::optional<std::int64_t> m_lastEvent;
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_mostOutputTokens = 0;
  /// The caller's estimate of the output tokens; zero if there is none.
  std::int64_t m_lengthHintTokens = 0;
  std::vector<PromptPart> m_promptParts;
};

/// Metadata that the router adds to a forwarded request, besides the caller's own headers.
struct ForwardMetadata {
  Duration m_timeLeft{0};
  std::string m_replica;
  std::string m_account;
  /// Empty to keep the caller's model.
  std::string m_model;
  std::optional<std::int64_t> m_lastEvent;
  /// 0 is the highest priority, 9 the lowest; none for the server's default.
  std::optional<int> m_priority;
};

/// Metadata of a backend server's answer.
struct ResponseMetadata {
  std::string m_requestId;
  bool m_hasSeal = false;
  /// The server reports that it did not run the request.
  bool m_notRun = false;
  bool m_isEventStream = false;
  /// The body has a content encoding, so it was altered on its way from the server.
  bool m_isEncoded = false;
  /// The model's rough confidence in its answer, 0 to 100.
  std::optional<int> m_confidence;
  /// Requests per second that the server takes from all entries together; none if it names no
  /// limit.
  std::optional<double> m_requestLimit;
  /// The value of a limit that cannot be read; empty if there is none.
  std::string m_unreadableRequestLimit;
  /// For how long the server stays cold, and a value of this that cannot be read.
  std::optional<Duration> m_coldLeft;
  std::string m_unreadableColdLeft;
  /// The server falls over when it has to turn away more requests per second than this; none if it
  /// does not say so.
  std::optional<double> m_maxRejections;
  /// The server says that it is leaving.
  bool m_isLeaving = false;
  /// With a rejection: how long the server wants no more requests of this entry.
  std::optional<Duration> m_wait;
  /// The value of a wait that cannot be read; empty if there is none.
  std::string m_unreadableWait;
  /// The replica that answered, if reported.
  std::string m_replica;
};

} // namespace fennelline
