#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fennelline {

/// A request to a backend server.
struct BackendRequest {
  /// "IP:PORT".
  std::string m_address;
  std::string m_path;
  std::string m_body;
  /// Sent as Fennelline-Attempt.
  std::string m_attempt;
  /// The model version, sent as "model" in the body. Empty for plain services.
  std::string m_version;
  int m_priority = 0;
  bool m_stream = false;
  /// Resume the attempt's stream after event m_resumeAfter instead of starting a new one.
  bool m_resume = false;
  std::uint64_t m_resumeAfter = 0;
  Duration m_timeout = Seconds(60);
  /// Maximum time without data within a stream before the connection is considered broken.
  Duration m_idleTimeout = Seconds(2);
};

/// How a call failed.
enum class BackendCallFailure : std::uint8_t {
  /// No byte of the request was sent, so it was not executed.
  NotSent,
  /// The backend server rejected the request and confirmed that it was not executed.
  Refused,
  /// The connection failed or timed out after the request was sent, so it may have been executed.
  Broken,
  /// The backend server responded with an error.
  ServerError,
  /// The stream cannot be resumed.
  StreamLost,
};

struct BackendUsage {
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// The version that was run, as reported by the backend server.
  std::string m_version;
};

/// Callbacks of a call, run on the thread that made the call. Each call ends with exactly one of
/// m_finished and m_failed. A cancelled call fails as Broken.
struct BackendObserver {
  /// Called with the head of a successful response.
  std::function<void(int aStatus, const std::string& aContentType)> m_head;
  /// For a stream, called for each event with "data: {...}\n\n". The final "data: [DONE]" is
  /// omitted, since m_finished signals the end. Otherwise called once with the complete body, as
  /// event 0.
  std::function<void(std::string aBytes, std::uint64_t aEvent, std::int64_t aTokens)> m_chunk;
  std::function<void(const BackendUsage&)> m_finished;
  std::function<void(BackendCallFailure, const std::string& aDetail)> m_failed;
};

/// A load report of a backend server, which may be stale.
struct BackendLoad {
  std::int64_t m_runningRequests = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  std::int64_t m_slots = 0;
  std::vector<std::string> m_versions;
  bool m_leaving = false;
};

} // namespace fennelline
